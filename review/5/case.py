"""The answer to one append is lost; the client gives up and cancels."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from cell import Cell  # noqa: E402
from standins import now  # noqa: E402

JOB = "00000000000000c1"
CLIENT_WAIT_S = 0.3
OTHER_CLIENTS = 3  # One client of four leaves early.
LATE_S = 2.0  # When the unanswered append is done.
CANCEL_MS = 3000
STOP_MS = 400
CONTACT_MS = 3000


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cell = Cell(HERE, vms=3, workers=3)
    try:
        if not cell.wait_ready():
            print("the VMs aren't ready")
            return 2
        time.sleep(1)
        lost = []

        def lose_one(topic, body):
            if trouble and not lost and bytes.fromhex(JOB)[::-1] in body:
                lost.append(now())
                cell.record.add("store: an append is not answered, and done 2 s "
                                "later")
                return "late", LATE_S
            return None

        cell.store.on_append = lose_one
        for i in range(OTHER_CLIENTS):
            status, _ = cell.submit(cell.vms[i], f"00000000000000b{i}",
                                    work_ms=500)
            if status != 200:
                print("another client wasn't served")
                return 2
        vm = cell.vms[0]
        cell.submit(vm, JOB, work_ms=3500, steps=3, timeout=CLIENT_WAIT_S)
        status, _ = cell.ask(vm, "DELETE", JOB)
        cancelled = now()
        if status not in (200, 410):
            print(f"cancelling answered {status or 'nothing'}; can't be judged")
            return 2
        time.sleep(15)
        # Calm again: the append has been done, and contactMs has passed.
        calm = (lost[0] + LATE_S if lost else 0) + CONTACT_MS / 1000
        limit = max(cancelled + CANCEL_MS / 1000, calm)
        broken = 0
        for task, run, worker, began, ended, how in cell.all_runs():
            if not task.startswith(JOB):
                continue
            if began > limit:
                broken += 1
                cell.record.add(f"BROKEN UNASKED: {task} run {run} is started on "
                                f"{worker} {began - cancelled:.3f} s after the "
                                "cancelling was acknowledged")
            elif ended is None or ended > limit + STOP_MS / 1000:
                broken += 1
                cell.record.add(f"BROKEN UNASKED: {task} run {run} on {worker} "
                                "runs on after cancel_ms and stopMs")
        cell.ask(vm, "GET", JOB)
        print(f"cancelling answered {status}; {broken} starts or runs after it")
        return 1 if broken else 0
    finally:
        cell.end()


sys.exit(main())
