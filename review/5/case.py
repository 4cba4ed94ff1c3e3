"""MIXED: jobs whose starts were rejected are not counted as pending."""
import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import rig as review

GREY_S = 6.5
JOBS = 4
VISIBLE_S = 3.0 + 2.0  # visible_ms and 2 s


def main():
    rig = review.Rig(os.path.dirname(os.path.abspath(__file__)))
    try:
        rig.configure()
        for i in range(12):
            rig.add_executor("e%d" % i, "r%d" % (i % 2),
                             labels=["x"] if i == 0 else [])
        rig.start_instances(3)
        if rig.wait(rig.owner, 10) is None:
            return 2
        time.sleep(4)
        grey = rig.executors[0]
        if review.trouble():
            grey.grey = True
            rig.record(grey.id, "is unhealthy for", GREY_S, "s: it rejects all starts")
            threading.Timer(GREY_S, setattr, [grey, "grey", False]).start()
        for i in range(JOBS):
            status, text = rig.instances[0].call("POST", "/q/%016x" % (0xa0 + i), {
                "task-spec": "run_ms=3000",
                "steps": [{"count": 1, "cpu": 1000, "mem-mb": 100, "gpu": 1,
                           "estimate-ms": 3000, "needs": "x"}]})
            rig.record("client: POST %016x" % (0xa0 + i), "->", status, text)
            if status != 200:
                return 2
        accepted = review.now()
        wrong = 0
        for i in range(5):
            time.sleep(max(0, accepted + VISIBLE_S + 0.1 + 0.2 * i - review.now()))
            for instance in rig.instances:
                begun = {r["task"].split(".")[0] for r in rig.runs}
                status, text = instance.call("GET", "/q/")
                rig.record("client: GET /q/ at", instance.name, "->", status, text,
                           "not begun:", JOBS - len(begun))
                if status != 200:
                    return 2
                wrong += json.loads(text)["pending"] < (JOBS - len(begun)) / 2
        time.sleep(12)
        rig.record("starts in the end:", len(rig.runs))
        if wrong:
            rig.record("MIXED is broken:", wrong, "answers give under half of the",
                       "jobs that have not begun")
            return 1
        return 0
    finally:
        rig.close()


review.run(main)
