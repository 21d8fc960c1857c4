"""A worker restarts under its id, and its entry in the list lags."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from cell import Cell, find_overlaps  # noqa: E402
from standins import now  # noqa: E402

DOWN_S = 0.5
# The list names the new life of the worker this long after its start: the lag_ms
# of the users' site files, below heartbeatMs (1500).
LIST_LAG_S = 0.8
WORKERS = 8
SUBMISSIONS = 16
TASKS_EACH = 4  # All tasks together fill the workers.


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cell = Cell(HERE, vms=3, workers=WORKERS)
    try:
        if not cell.wait_ready():
            print("the VMs aren't ready")
            return 2
        time.sleep(1)
        total = SUBMISSIONS * TASKS_EACH
        for i in range(SUBMISSIONS):
            status, _ = cell.submit(cell.vms[i % 3], f"00000000000000a{i:x}",
                                    work_ms=4000, count=TASKS_EACH)
            if status != 200:
                return 2
        time.sleep(1.5)
        if trouble:
            worker = cell.workers[0]
            worker.crash()
            time.sleep(DOWN_S)
            worker.boot(announce=False)
            time.sleep(LIST_LAG_S)
            worker.announce()
        end = now() + 25
        while now() < end and len(
                [row for row in cell.history if row[5] == "done"]) < total:
            time.sleep(0.1)
        time.sleep(1)
        overlaps = find_overlaps(cell.all_runs())
        for a, b in overlaps:
            cell.record.add(f"BROKEN TWICE: {a[0]}: run {a[1]} on {a[2]} and run "
                            f"{b[1]} on {b[2]} at the same time, {b[3]:.3f} to "
                            f"{min(a[4] or 1e9, b[4] or 1e9):.3f}")
        done = {row[0] for row in cell.history if row[5] == "done"}
        cell.record.add(f"{len(done)} of {total} tasks are done, {len(overlaps)} "
                        "overlaps")
        print(f"{len(done)} of {total} tasks done, {len(overlaps)} overlaps")
        if not trouble and len(done) < total:
            return 2
        return 1 if overlaps else 0
    finally:
        cell.end()


sys.exit(main())
