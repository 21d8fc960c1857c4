"""Real processes: each VM that is told to stop ends with 0 in its time.

The VMs get SIGTERM while callers go on, and each request that was open is answered
or its connection closed. Uses the stand-ins of the review; wants the program at
target/bin. Each case plays in a cell of three VMs of its own.

    stop.py [CASE ...]

Exits with 1 if a VM ended otherwise or a caller was left waiting, 2 if a case could
not be played.
"""
import os
import signal
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "lib"))
from cell import Cell  # noqa: E402
from standins import now  # noqa: E402

GRACE_S = 6.0  # Between SIGTERM and SIGKILL.
CALLER_WAIT_S = 8.0  # Longer than any VM may live on.
CALLERS_PER_VM = 4
SLOW_S = 1.0


def leave_store_alone(cell):
    """Nothing is wrong."""


def silence_store(cell):
    """The store answers no append."""
    cell.store.on_append = lambda topic, body: "drop"


def slow_store(cell):
    """The store takes a second for each append."""
    cell.store.APPEND_S = SLOW_S


def refuse_all(cell):
    """The store answers 503 to all."""
    cell.store.down = True


def change_settings(cell):
    """The settings change, with SIGHUP, just before the stop."""
    for vm in cell.vms:
        vm.process.send_signal(signal.SIGHUP)


def stop_twice(cell):
    """A second SIGTERM follows while the first is carried out."""
    def again():
        for vm in cell.vms:
            if vm.process.poll() is None:
                vm.process.send_signal(signal.SIGTERM)

    threading.Timer(0.3, again).start()


CASES = {case.__name__: case for case in (
    leave_store_alone, silence_store, slow_store, refuse_all, change_settings,
    stop_twice)}
DURING_START = "stop_during_start"


class Caller(threading.Thread):
    """Submits and asks until it is told to end."""

    def __init__(self, cell, vm, number):
        super().__init__(daemon=True)
        self.cell, self.vm, self.number = cell, vm, number
        self.go_on = True
        self.longest_s = 0.0

    def run(self):
        for i in range(10000):
            if not self.go_on:
                return
            job = f"{self.number:04x}{i:012x}"
            began = now()
            self.cell.submit(self.vm, job, work_ms=50, timeout=CALLER_WAIT_S)
            self.cell.ask(self.vm, "GET", job, timeout=CALLER_WAIT_S)
            self.longest_s = max(self.longest_s, now() - began)
            time.sleep(0.01)


def stop_all(cell):
    """Returns what the VMs did wrong."""
    asked = now()
    for vm in cell.vms:
        vm.process.send_signal(signal.SIGTERM)
    wrong = []
    for vm in cell.vms:
        while vm.process.poll() is None and now() < asked + GRACE_S:
            time.sleep(0.01)
        code = vm.process.poll()
        cell.record.add(f"{vm.name} ended with {code} after "
                        f"{now() - asked:.3f} s")
        if code != 0:
            wrong.append(f"{vm.name}: exit code {code}")
    return wrong


def play(name):
    """Returns an exit code."""
    folder = tempfile.mkdtemp(prefix="azurespur-stop-")
    cell = Cell(folder, vms=3, workers=2)
    callers = []
    try:
        if name == DURING_START:
            time.sleep(0.02)
        elif not cell.wait_ready():
            print(f"{name}: the VMs aren't ready")
            return 2
        callers = [Caller(cell, vm, 1 + CALLERS_PER_VM * i + j)
                   for i, vm in enumerate(cell.vms)
                   for j in range(CALLERS_PER_VM)]
        for caller in callers:
            caller.start()
        if name != DURING_START:
            time.sleep(1)
            CASES[name](cell)
            time.sleep(0.5)
        wrong = stop_all(cell)
        for caller in callers:
            caller.go_on = False
        for caller in callers:
            caller.join(2 * CALLER_WAIT_S)
        # The two requests of a turn have up to three seconds each.
        waited = max(caller.longest_s for caller in callers)
        if waited >= CALLER_WAIT_S:
            wrong.append(f"a caller waited {waited:.1f} s")
        print(f"{name}: {wrong or 'all ended with 0'}, longest turn of a caller "
              f"{waited:.2f} s; record in {folder}")
        return 1 if wrong else 0
    finally:
        cell.end()


def main():
    names = sys.argv[1:] or [*CASES, DURING_START]
    unknown = [name for name in names if name not in (*CASES, DURING_START)]
    if unknown:
        print(f"no case \"{unknown[0]}\"; there are "
              f"{', '.join((*CASES, DURING_START))}")
        return 2
    return max(play(name) for name in names)


sys.exit(main())
