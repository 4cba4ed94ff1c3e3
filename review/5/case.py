"""LOST: an executor goes down and up by turns, and a job on it is given up."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import rig as review

GAP_S = 1.4
FOR_S = 6.5
JOB = "00000000000000aa"


def main():
    rig = review.Rig(os.path.dirname(os.path.abspath(__file__)))
    try:
        rig.configure()
        for i in range(8):
            rig.add_executor("e%d" % i, "r%d" % (i % 2),
                             labels=["x"] if i == 0 else [])
        rig.start_instances(3)
        if rig.wait(rig.owner, 10) is None:
            return 2
        time.sleep(4)
        entry = rig.instances[0]
        status, text = entry.call("POST", "/q/" + JOB, {
            "task-spec": "run_ms=5000",
            "steps": [{"count": 1, "cpu": 1000, "mem-mb": 100, "gpu": 1,
                       "estimate-ms": 5000, "needs": "x"}]})
        rig.record("client: POST", JOB, "->", status, text)
        if status != 200:
            return 2
        flapping = rig.executors[0]
        time.sleep(GAP_S / 2)
        until = review.now() + FOR_S
        while review.trouble() and review.now() + GAP_S / 2 < until:
            flapping.crash()
            time.sleep(GAP_S / 2)
            flapping.restart()
            time.sleep(GAP_S / 2)
        time.sleep(14)
        status, text = entry.call("GET", "/q/" + JOB)
        rig.record("client: GET", JOB, "->", status, text)
        failed = [r for r in rig.runs if r["how"] == "failed"]
        rig.record("runs:", [(r["run"], r["how"]) for r in rig.runs])
        if status == 200 and '"failed"' in text and not failed:
            rig.record("LOST is broken: the job is shown as failed, and no run",
                       "has ended as failed")
            return 1
        return 0 if '"completed"' in text else 2
    finally:
        rig.close()


sys.exit(main())
