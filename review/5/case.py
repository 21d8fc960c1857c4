"""A worker restarts under its id as one of another kind."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from cell import Cell  # noqa: E402
from standins import now  # noqa: E402

DOWN_S = 0.5
# The list names the new life of the worker this long after its start: the lag_ms
# of the users' site files, below heartbeatMs (1500).
LIST_LAG_S = 0.8
LABEL = "a"


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cell = Cell(HERE, vms=3, workers=4, kinds="aabb")
    try:
        if not cell.wait_ready():
            return 2
        time.sleep(1)
        # More than the two workers of kind a can run at a time.
        for i in range(8):
            status, _ = cell.submit(cell.vms[i % 3], f"00000000000000f{i}",
                                    work_ms=1500, count=4, label=LABEL)
            if status != 200:
                return 2
        time.sleep(0.7)
        if trouble:
            worker = cell.workers[0]
            worker.crash()
            time.sleep(DOWN_S)
            worker.kind = "b"
            worker.boot(announce=False)
            time.sleep(LIST_LAG_S)
            worker.announce()
        end = now() + 20
        while now() < end and len(
                [row for row in cell.history if row[5] == "done"]) < 32:
            time.sleep(0.1)
        wrong = [row for worker in cell.workers for row in worker.kinds_started
                 if row[3] != LABEL]
        for task, run, name, kind in wrong:
            cell.record.add(f"BROKEN ROUTE: {task} run {run}, which requires label "
                            f"{LABEL}, was started on {name} of kind {kind}")
        done = len([row for row in cell.history if row[5] == "done"])
        print(f"{done} of 32 tasks done, {len(wrong)} started without the label")
        if not trouble and done < 32:
            return 2
        return 1 if wrong else 0
    finally:
        cell.end()


sys.exit(main())
