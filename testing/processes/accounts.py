"""Real processes: changes of access keys, and caps of accounts, hold at every VM.

Uses the stand-ins of the review; wants the program at target/bin. Each case plays
in a cell of three VMs of its own. keys.py checks what a key allows.

    accounts.py [CASE ...]

Exits with 1 if a rule was broken, 2 if a case could not be played.
"""
import http.client
import json
import os
import re
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "lib"))
from cell import BACKEND, HOST, PREFIX, Cell  # noqa: E402
from standins import now  # noqa: E402

APPLY_S = 3.0  # A confirmed policy is in force at VMs that reach the store.
REFUSED_APPLY_S = 9.0  # The same where the store refuses this VM alone.
CAP_CORES = 4
TASK_CORES = 2


class Accounts:
    """A cell whose policy names two accounts."""

    def __init__(self, folder):
        self.keys = {"harbour": ["harbour-key-1", "harbour-key-2"],
                     "meadow": ["meadow-key"]}
        self.cell = Cell(folder, vms=3, workers=4)
        self.publish()

    def publish(self):
        cell = self.cell
        cell.version += 3
        manifest = {
            "version": cell.version,
            "routes": [cell.route("r-batch", HOST)],
            "services": [{"name": BACKEND}],
            "tenants": [{"name": name, "apiKeys": keys, "weight": 20,
                         "cap": {"cpu": CAP_CORES * 1000}}
                        for name, keys in self.keys.items()]}
        cell.store.put("keyed.op", "config", json.dumps(manifest).encode())

    def call(self, vm, method, job, key=None):
        """Returns the status; 0 if there was no answer in time."""
        body = None
        if method == "POST":
            step = {"count": 6, "cpu": TASK_CORES * 1000, "memMb": 64,
                    "estimateMs": 500}
            body = json.dumps({"spec": "500", "steps": [step]})
        headers = {"Host": HOST, "Content-Type": "application/json",
                   "Deadline-Ms": "3000"}
        if key is not None:
            headers["Authorization"] = "Bearer " + key
        connection = http.client.HTTPConnection("127.0.0.1", vm.front, timeout=3)
        try:
            connection.request(method, PREFIX + job, body, headers)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def wait_for(self, vm, key, wanted, limit_s):
        """Counts the pending jobs until that is answered with `wanted`."""
        end = now() + limit_s
        status = None
        while now() < end:
            status = self.call(vm, "GET", "", key)
            if status == wanted:
                return status
            time.sleep(0.1)
        return status


def expect(broken, what, status, wanted):
    if status not in wanted:
        broken.append(f"{what}: {status}, not one of {wanted}")


def keys_change(accounts, broken):
    accounts.keys = {"harbour": ["harbour-key-3"], "meadow": ["meadow-key"]}
    accounts.publish()
    for vm in accounts.cell.vms:
        expect(broken, f"removed key at {vm.name}",
               accounts.wait_for(vm, "harbour-key-1", 401, APPLY_S), (401,))
        expect(broken, f"added key at {vm.name}",
               accounts.wait_for(vm, "harbour-key-3", 200, APPLY_S), (200,))


def keys_change_while_the_store_refuses_a_vm(accounts, broken):
    refused = accounts.cell.vms[2]
    refused.refused_by_store = True
    accounts.keys = {"harbour": ["harbour-key-3"], "meadow": ["meadow-key"]}
    accounts.publish()
    expect(broken, "removed key at the refused VM",
           accounts.wait_for(refused, "harbour-key-1", 401, REFUSED_APPLY_S),
           (401,))
    expect(broken, "added key at the refused VM",
           accounts.wait_for(refused, "harbour-key-3", 200, APPLY_S), (200,))


def removed_key_after_a_restart(accounts, broken):
    """The VM restarts while the store refuses it."""
    refused = accounts.cell.vms[2]
    accounts.keys = {"harbour": ["harbour-key-3"], "meadow": ["meadow-key"]}
    accounts.publish()
    accounts.wait_for(refused, "harbour-key-1", 401, APPLY_S)
    refused.refused_by_store = True
    refused.process.kill()
    refused.process.wait()
    refused.start()
    end = now() + 6
    while now() < end:
        expect(broken, "removed key after the restart",
               accounts.call(refused, "GET", "", "harbour-key-1"), (0, 401, 503))
        time.sleep(0.1)


def find_leader(cell):
    """The VM whose log tells of the newest term; a term has a rising epoch."""
    newest = {}
    for vm in cell.vms:
        with open(vm.log.name, encoding="utf-8", errors="replace") as file:
            epochs = [int(epoch) for epoch in re.findall(
                r'"AZ9308".*?"epoch":"(\d+)"', file.read())]
        newest[vm] = max(epochs, default=0)
    return max(newest, key=newest.get)


def cap_holds_with_a_new_leader(accounts, broken):
    """The leader is killed while an account has more work than its cap."""
    cell = accounts.cell
    for i in range(4):
        expect(broken, "submission",
               accounts.call(cell.vms[i % 3], "POST", f"00000000000000b{i}",
                             "harbour-key-1"), (200,))
    killed = False
    end = now() + 12
    while now() < end:
        cores = TASK_CORES * sum(len(worker.running()) for worker in cell.workers)
        if cores > CAP_CORES:
            broken.append(f"{cores} cores in use, cap {CAP_CORES}")
            return
        if not killed and now() > end - 10:
            killed = True
            leader = find_leader(cell)
            leader.process.kill()
            leader.process.wait()
        time.sleep(0.02)
    if not cell.history:
        broken.append("no task ran")


CASES = {case.__name__: case for case in (
    keys_change, keys_change_while_the_store_refuses_a_vm,
    removed_key_after_a_restart, cap_holds_with_a_new_leader)}


def play(name):
    """Returns an exit code."""
    accounts = Accounts(tempfile.mkdtemp(prefix="azurespur-accounts-"))
    try:
        if not accounts.cell.wait_ready():
            print(f"{name}: the VMs aren't ready")
            return 2
        for vm in accounts.cell.vms:
            accounts.wait_for(vm, "meadow-key", 200, APPLY_S)
        broken = []
        CASES[name](accounts, broken)
        print(f"{name}: {'; '.join(broken) or 'held'}")
        return 1 if broken else 0
    finally:
        accounts.cell.end()


def main():
    names = sys.argv[1:] or list(CASES)
    unknown = [name for name in names if name not in CASES]
    if unknown:
        print(f"no case \"{unknown[0]}\"; there are {', '.join(CASES)}")
        return 2
    return max([play(name) for name in names])


sys.exit(main())
