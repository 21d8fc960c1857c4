"""The store is down while more than 500 tasks end on an executor."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from cell import Cell  # noqa: E402
from standins import now  # noqa: E402

DOWN_S = 4.5
SUBMISSIONS = 40
TASKS_EACH = 32
TASK_CPU = 100
WORKER_CPU = 64000


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cell = Cell(HERE, vms=3, workers=2, cpu=WORKER_CPU)
    try:
        if not cell.wait_ready():
            print("the VMs aren't ready")
            return 2
        time.sleep(1)
        began = now()
        for i in range(SUBMISSIONS):
            status, _ = cell.submit(cell.vms[i % 3], f"{0xb000 + i:016x}",
                                    work_ms=5000 + 70 * i, count=TASKS_EACH,
                                    cpu=TASK_CPU)
            if status != 200:
                return 2
        total = SUBMISSIONS * TASKS_EACH
        while now() < began + 5 and sum(
                len(worker.running()) for worker in cell.workers) < total:
            time.sleep(0.05)
        cell.record.add("running on each worker: " + ", ".join(
            str(len(worker.running())) for worker in cell.workers))
        time.sleep(max(0, began + 5 - now()))
        if trouble:
            cell.store.down = True
            cell.record.add("store: down, answers 503")
        time.sleep(DOWN_S)
        cell.store.down = False
        cell.record.add("store: up")
        time.sleep(12)
        workers = {worker.name: worker for worker in cell.workers}
        done_at = {}  # Task -> (ended, run, worker) of its first end `done`.
        twice = not_noted = 0
        for task, run, worker, start, end, how in cell.all_runs():
            if task in done_at and start > done_at[task][0]:
                ended, first, where = done_at[task]
                # Only an end that was taken note of, then or later, counts.
                if not workers[where].took_note(task, first, ended):
                    not_noted += 1
                    continue
                twice += 1
                cell.record.add(f"BROKEN TWICE: {task} run {run} is started on "
                                f"{worker} at {start:.3f}, after run {first} had "
                                f"ended done on {where} at {ended:.3f}; that end "
                                "is taken note of, without a lapse between")
            if how == "done" and task not in done_at:
                done_at[task] = (end, run, worker)
        cell.record.add(f"{len(done_at)} of {total} tasks done, {twice} started "
                        f"again; {not_noted} more whose end wasn't taken note of")
        print(f"{len(done_at)} of {total} tasks done, {twice} started again")
        if not trouble and len(done_at) < total:
            return 2
        return 1 if twice else 0
    finally:
        cell.end()


sys.exit(main())
