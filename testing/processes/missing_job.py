"""Real processes: "no such job" is true at every VM, also after a restart.

One append is not answered and is carried out later. Its caller leaves and asks
another VM, or the same one, for the job. A job that was answered as missing (410)
or cancelled must not start afterwards. Uses the stand-ins of the review; wants
the program at target/bin. Each case plays in a cell of three VMs of its own.

    missing_job.py [CASE ...]

Exits with 1 if an answer was untrue, 2 if a case could not be played.
"""
import os
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "lib"))
from cell import Cell  # noqa: E402
from standins import now  # noqa: E402

JOB = "00000000000000c1"
CLIENT_WAIT_S = 0.3
LATE_S = 2.0  # When the unanswered append is carried out.
WATCH_S = 6.0  # How long the workers are watched after that.


def ask_at_another_vm(cell):
    """The caller leaves its VM and asks another one."""
    submit(cell)
    return cell.ask(cell.vms[1], "GET", JOB)[0]


def ask_at_the_same_vm(cell):
    submit(cell)
    return cell.ask(cell.vms[0], "GET", JOB)[0]


def ask_after_a_kill(cell):
    """The VM that sent the append is killed; the caller asks another one."""
    submit(cell)
    kill(cell.vms[0])
    return cell.ask(cell.vms[1], "GET", JOB)[0]


def ask_after_a_restart(cell):
    """The same, but the caller asks the killed VM's next process."""
    submit(cell)
    kill(cell.vms[0])
    cell.vms[0].start()
    while now() < cell.lost_at + LATE_S - 0.2:
        if cell.vms[0].is_ready():
            break
        time.sleep(0.02)
    return cell.ask(cell.vms[0], "GET", JOB)[0]


def cancel_after_a_kill(cell):
    submit(cell)
    kill(cell.vms[0])
    return cell.ask(cell.vms[2], "DELETE", JOB)[0]


CASES = {case.__name__: case for case in (
    ask_at_another_vm, ask_at_the_same_vm, ask_after_a_kill,
    ask_after_a_restart, cancel_after_a_kill)}


def submit(cell):
    cell.submit(cell.vms[0], JOB, work_ms=500, timeout=CLIENT_WAIT_S)


def kill(vm):
    vm.process.kill()
    vm.process.wait()


def lose_first_append(cell):
    """Leaves the first append of the job without an answer."""
    cell.lost_at = None

    def fate(topic, body):
        if cell.lost_at is None and bytes.fromhex(JOB)[::-1] in body:
            cell.lost_at = now()
            cell.record.add(f"store: an append to {topic} is not answered")
            return "late", LATE_S
        return None

    cell.store.on_append = fate


def play(name):
    """Returns an exit code."""
    folder = tempfile.mkdtemp(prefix="azurespur-missing-job-")
    cell = Cell(folder, vms=3, workers=2)
    try:
        if not cell.wait_ready():
            print(f"{name}: the VMs aren't ready")
            return 2
        time.sleep(1)
        lose_first_append(cell)
        status = CASES[name](cell)
        answered = now()
        if cell.lost_at is None or answered >= cell.lost_at + LATE_S:
            print(f"{name}: the answer came too late to tell anything")
            return 2
        time.sleep(max(0, cell.lost_at + LATE_S + WATCH_S - now()))
        starts = [row for row in cell.all_runs()
                  if row[0].startswith(JOB) and row[3] > answered]
        gone = status in (200, 410) if name.startswith("cancel") else status == 410
        late = cell.ask(cell.vms[2], "GET", JOB)
        print(f"{name}: answered {status}, {len(starts)} starts after it, "
              f"shown at last as {late[0]} {late[1]}; record in {folder}")
        return 1 if gone and starts else 0
    finally:
        cell.end()


def main():
    names = sys.argv[1:] or list(CASES)
    unknown = [name for name in names if name not in CASES]
    if unknown:
        print(f"no case \"{unknown[0]}\"; there are {', '.join(CASES)}")
        return 2
    return max(play(name) for name in names)


sys.exit(main())
