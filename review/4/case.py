"""A manifest removes the route of accepted submissions."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from cell import HOST, Cell  # noqa: E402
from standins import now  # noqa: E402

OTHER = "other.example"


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cell = Cell(HERE, vms=3, workers=3)
    try:
        cell.publish([HOST, OTHER])
        if not cell.wait_ready():
            print("the VMs aren't ready")
            return 2
        time.sleep(2.5)
        # Three steps, one after the other, of 2 s each.
        for i, vm in enumerate(cell.vms):
            status, _ = cell.submit(vm, f"00000000000000d{i}", work_ms=2000,
                                    count=2, steps=3, host=OTHER)
            if status != 200:
                return 2
        time.sleep(1)
        if trouble:
            cell.publish([HOST])
        time.sleep(20)
        rows = cell.all_runs()
        done = {row[0] for row in rows if row[5] == "done"}
        last = max(row[4] or now() for row in rows)
        idle = now() - last
        cell.record.add(f"{len(done)} of 18 tasks are done; the last run ended "
                        f"{idle:.1f} s ago; all workers are empty")
        for i, vm in enumerate(cell.vms):
            cell.ask(vm, "GET", f"00000000000000d{i}", host=OTHER)
        print(f"{len(done)} of 18 tasks done, nothing runs since {idle:.1f} s")
        return 1 if len(done) < 18 and idle > 14 else 0
    finally:
        cell.end()


sys.exit(main())
