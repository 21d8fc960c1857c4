"""The store turns one VM away while a manifest removes a route."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from cell import HOST, Cell  # noqa: E402
from standins import now  # noqa: E402

OTHER = "other.example"
REFUSED_S = 9.0
CONFIG_APPLY_MS = 2000
OUTER_MS = 5000


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cell = Cell(HERE, vms=3, workers=3)
    try:
        cell.publish([HOST, OTHER])
        if not cell.wait_ready():
            return 2
        time.sleep(5)
        vm = cell.vms[2]
        status, _ = cell.submit(vm, "00000000000000e0", work_ms=500, host=OTHER)
        if status != 200:
            return 2
        time.sleep(2)
        began = now()
        if trouble:
            vm.refused_by_store = True
            cell.record.add(f"store: turns {vm.name} away, with 503")
        time.sleep(0.2)
        cell.publish([HOST])
        confirmed = now()
        limit = confirmed + (CONFIG_APPLY_MS + OUTER_MS) / 1000
        broken = 0
        number = 0
        while now() < began + REFUSED_S - 0.3:
            time.sleep(0.4)
            number += 1
            sent = now()
            status, _ = cell.submit(vm, f"00000000000001{number:02x}",
                                    work_ms=500, host=OTHER)
            if sent > limit and status // 100 == 2:
                broken += 1
                cell.record.add("BROKEN CONFIG: a request on a route that was "
                                f"removed {sent - confirmed:.1f} s before is "
                                "accepted")
        vm.refused_by_store = False
        cell.record.add("store: serves all VMs")
        time.sleep(3)
        rows = cell.all_runs()
        cell.record.add(f"runs in all: {len(rows)}")
        print(f"{broken} submissions accepted on a removed route, too late")
        return 1 if broken else 0
    finally:
        cell.end()


sys.exit(main())
