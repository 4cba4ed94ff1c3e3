"""A new owner sees only the first 500 ends of an executor, takes the tasks behind
the others for waiting, and starts tasks again that have ended `done`."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "rig-3"))

import rig  # noqa: E402

EXECUTORS = 8
TASKS = 4000
JOB = "00000000000abc01"

# The store leaves the calls of one machine without an answer, as in the site
# file: how "nodes leader silent", count 1, for_s 7.
SILENT_S = 7


async def silent(request, apply):
    raise rig.Silence()


def starts_after_done(case):
    """The starts of tasks of which a run had ended `done` before, if that end
    was taken note of then or later."""
    noted = {(e["executor"], e["task"], e["run"]) for e in case.events
             if e["what"] == "noted" and e["how"] == "done"}
    done = {}
    late = []
    for event in case.events:
        if event["what"] == "end" and event["how"] == "done":
            if (event["executor"], event["task"], event["run"]) in noted:
                done.setdefault(event["task"], event)
        elif event["what"] == "start" and event["task"] in done:
            late.append((event, done[event["task"]]))
    return late


async def main(case):
    await case.setup(3)
    case.store.put("op/config", rig.config())
    for i in range(EXECUTORS - 1):
        await case.add_executor("e-%d" % i, rack="r%d" % (i // 4))
        await case.wait(0.187)
    rare = await case.add_executor(
        "e-x", kind="x", rack="r1",
        capacity={"cpu": 128000, "mem-mb": 256000, "gpu": 8})
    await case.start_instances()
    if not await case.all_ready():
        return None
    await case.wait(2)
    if await case.submit(case.instances[0], JOB, "run_ms=100 gpu=0 cpu=400",
                         [rig.step(TASKS, 400, needs="x", gpu=0,
                                   **{"estimate-ms": 100})]) != 200:
        return None
    await case.wait(1.5)
    owner = case.owner()
    if owner is None:
        return None
    if case.trouble:
        case.log("the store leaves the calls of %s, the owner, without an answer"
                 % owner.name)
        case.store.faults[owner.number] = silent
    until = rig.now_ms() + SILENT_S * 1000
    while rig.now_ms() < until:
        await case.wait(0.25)
        case.log("%d ends are not taken note of; the owner is %s"
                 % (len(rare.ended),
                    case.owner().name if case.owner() else "nobody"))
    case.store.faults[owner.number] = None
    await case.wait(12)
    _, state = await case.state(case.instances[1], JOB)
    case.log("%d tasks have ended done"
             % len({e["task"] for e in case.events
                    if e["what"] == "end" and e["how"] == "done"}))
    return ["TWICE: run %d of %s was started on %s at %.3f s; run %d had ended "
            "done there at %.3f s"
            % (again["run"], again["task"], again["executor"],
               (again["at"] - case.start_ms) / 1000, end["run"],
               (end["at"] - case.start_ms) / 1000)
            for again, end in starts_after_done(case)]


rig.run(main, FOLDER)
