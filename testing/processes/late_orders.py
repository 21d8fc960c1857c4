"""Real processes: no task starts again after its end was taken note of.

A share of the starts is not answered and carried out seconds later, while workers
restart under their ids and the list of workers lags behind. Judged by what the
workers saw: two runs of a task at once, a start after an end as done that the leader
has taken note of, a job that is not completed at the end. Uses the stand-ins of the
review; wants the program at target/bin.

    late_orders.py SEED ...

Exits with 1 if a check failed, 2 if a seed could not be played.
"""
import json
import os
import random
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "lib"))
from cell import Cell, PREFIX, find_overlaps  # noqa: E402
from standins import now  # noqa: E402

VMS, WORKERS, CLIENTS = 3, 8, 6
TRAFFIC_S = 40
SETTLE_S = 18  # After the traffic, for all jobs to be completed.
LATE_SHARE = 0.03
LATE_S = (2.0, 6.0)
RESTART_EVERY_S = (0.8, 2.0)
DOWN_S = (0.1, 0.6)
LIST_LAG_S = 0.8


class Client(threading.Thread):
    """Submits jobs to any VM and remembers those that were accepted."""

    COUNTS, WORK_MS, STEPS = [1, 2, 4], [200, 500, 900], [1, 2]
    PAUSE_S = (0.05, 0.25)

    def __init__(self, cell, seed, number):
        super().__init__(daemon=True)
        self.cell, self.seed, self.number = cell, seed, number
        self.go_on = True
        self.accepted = []

    def run(self):
        rng = random.Random(self.seed * 100 + self.number)
        for i in range(100000):
            if not self.go_on:
                return
            job = f"{self.seed % 65536:04x}{self.number:04x}{i:08x}"
            status, _ = self.cell.submit(
                rng.choice(self.cell.vms), job, count=rng.choice(self.COUNTS),
                work_ms=rng.choice(self.WORK_MS), steps=rng.choice(self.STEPS))
            if status == 200:
                self.accepted.append(job)
            time.sleep(rng.uniform(*self.PAUSE_S))


class Notes(dict):
    """All times at which an end of a run was taken note of: the stand-in keeps
    the last one, though a later boot may list an end of the same run again."""

    def __init__(self):
        super().__init__()
        self.times = {}

    def __setitem__(self, run, at):
        self.times.setdefault(run, []).append(at)
        super().__setitem__(run, at)


def keep_times(cell):
    """Makes the workers keep what took_note() asks for."""
    for worker in cell.workers:
        worker.noted, worker.crashes = Notes(), []


def crash(worker):
    worker.crash()
    worker.crashes.append(now())


def took_note(worker, task, run, ended):
    """True if `lastSeen` has reached the end that the worker listed at `ended`,
    on the boot that listed it, and no lease lapsed between the two."""
    over = min((at for at in worker.crashes if at >= ended), default=float("inf"))
    return any(ended <= at <= over and
               not any(ended <= lapse <= at for lapse in worker.lapses)
               for at in worker.noted.times.get((task, run), []))


def delay_some_starts(cell, rng):
    lock = threading.Lock()

    def fate(path, order):
        with lock:
            late = path == "/run-start" and rng.random() < LATE_SHARE
            return rng.uniform(*LATE_S) if late else None

    for worker in cell.workers:
        worker.on_order = fate


def restart_workers(cell, rng):
    end = now() + TRAFFIC_S
    while now() < end:
        time.sleep(rng.uniform(*RESTART_EVERY_S))
        worker = rng.choice(cell.workers)
        crash(worker)
        time.sleep(rng.uniform(*DOWN_S))
        worker.boot(announce=False)
        threading.Timer(LIST_LAG_S, worker.announce).start()


def find_repeats(cell, rows):
    """The runs that began after an end of their task was taken note of."""
    workers = {worker.name: worker for worker in cell.workers}
    done = {}
    for task, run, name, _, ended, how in rows:
        if how == "done" and took_note(workers[name], task, run, ended):
            done[task] = min(ended, done.get(task, ended))
    return [row for row in rows if row[0] in done and row[3] > done[row[0]]]


def find_unfinished(cell, jobs):
    unfinished = []
    for job in jobs:
        status, text = cell.vms[0].call("GET", PREFIX + job)
        state = json.loads(text).get("state") if status == 200 else status
        if state != "completed":
            unfinished.append((job, state))
    return unfinished


def play(seed):
    """Returns an exit code."""
    rng = random.Random(seed)
    folder = tempfile.mkdtemp(prefix=f"azurespur-late-orders-{seed}-")
    cell = Cell(folder, vms=VMS, workers=WORKERS)
    try:
        if not cell.wait_ready():
            print(f"seed {seed}: the VMs aren't ready")
            return 2
        keep_times(cell)
        delay_some_starts(cell, rng)
        clients = [Client(cell, seed, i) for i in range(CLIENTS)]
        for client in clients:
            client.start()
        restart_workers(cell, rng)
        for client in clients:
            client.go_on = False
        for client in clients:
            client.join(10)
        time.sleep(SETTLE_S)
        jobs = [job for client in clients for job in client.accepted]
        rows = cell.all_runs()
        found = {"overlaps": find_overlaps(rows),
                 "starts after a noted end": find_repeats(cell, rows),
                 "not completed": find_unfinished(cell, jobs)}
        for what, entries in found.items():
            for entry in entries:
                cell.record.add(f"FOUND {what}: {entry}")
        counts = ", ".join(f"{len(entries)} {what}"
                           for what, entries in found.items())
        print(f"seed {seed}: {len(jobs)} jobs accepted, {len(rows)} runs, "
              f"{counts}; record in {folder}")
        return 1 if any(found.values()) else 0
    finally:
        cell.end()


def main():
    if len(sys.argv) < 2 or not all(arg.isdigit() for arg in sys.argv[1:]):
        print("usage: late_orders.py SEED ... (whole numbers)")
        return 2
    return max(play(int(arg)) for arg in sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
