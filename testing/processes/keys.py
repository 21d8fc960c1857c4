"""Real processes: access keys are checked at every VM, also without the store.

A cell of three VMs whose manifest names two accounts. The store turns one VM away
while a key is added: its known keys are served, the new one is not answered 401,
as it may be new. Each key is then looked for in the logs, dumps and metrics.
Uses the stand-ins of the review; wants the program at target/bin.

    keys.py

Exits with 1 if an answer is wrong or a key is shown, 2 if the cell does not start.
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
from cell import HOST, PREFIX, Cell  # noqa: E402
from standins import now  # noqa: E402

JOB = "00000000000000d1"
KEYS = {"team-a": "s3cret-of-a", "team-b": "s3cret-of-b"}
NEW_KEY = "s3cret-new-of-a"
OPEN_PREFIX = "/open/"
APPLY_S = 3.0  # Until a confirmed manifest is in force on each VM.
OLD_S = 2.5  # Until a VM that the store turns away knows that its policy is old.

failures = []


def publish(cell, keys_of_a):
    cell.version += 3
    public = cell.route("r-open", HOST, OPEN_PREFIX)
    public["public"] = True
    manifest = {
        "version": cell.version,
        "routes": [cell.route("r-batch", HOST), public],
        "tenants": [
            {"name": "team-a", "apiKeys": keys_of_a, "weight": 2,
             "cap": {"cpu": 8000}},
            {"name": "team-b", "apiKeys": [KEYS["team-b"]], "weight": 1}]}
    cell.store.put("keyed.op", "config", json.dumps(manifest).encode())


def call(vm, method, path, key=None, body=None, port=None):
    """Returns (status, body); status 0 if there was no answer in time."""
    connection = http.client.HTTPConnection("127.0.0.1", port or vm.front,
                                            timeout=5)
    headers = {"Host": HOST, "Deadline-Ms": "3000"}
    if key is not None:
        headers["Authorization"] = "Bearer " + key
    try:
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        connection.close()


def check(what, got, expected):
    good = got == expected
    print(f"{'ok' if good else 'WRONG'}: {what}: {got}, expected {expected}")
    if not good:
        failures.append(what)


def wait_for(status, vm, key, limit_s=APPLY_S):
    end = now() + limit_s
    got = 0
    while now() < end:
        got = call(vm, "GET", PREFIX, key)[0]
        if got == status:
            break
        time.sleep(0.1)
    return got


def play(cell):
    first, second, cut_off = cell.vms
    body = json.dumps({"spec": "300", "steps": [{"count": 1, "cpu": 1000}]})
    publish(cell, [KEYS["team-a"]])
    for vm in cell.vms:
        check(f"missing key at {vm.name}", wait_for(401, vm, None), 401)
        check(f"unknown key at {vm.name}",
              call(vm, "GET", PREFIX, "s3cret-wrong")[0], 401)
        check(f"known key at {vm.name}", wait_for(200, vm, KEYS["team-b"]), 200)
    check("public route", call(first, "GET", OPEN_PREFIX)[0], 200)
    path = PREFIX + JOB
    check("submission", call(first, "POST", path, KEYS["team-a"], body)[0], 200)
    for method in ("GET", "POST", "DELETE"):
        check(f"{method} of another account's job",
              call(second, method, path, KEYS["team-b"],
                   body if method == "POST" else None)[0], 403)
    check("state for the owner", call(second, "GET", path, KEYS["team-a"])[0],
          200)

    time.sleep(1.0)  # The job ends; a final state is answered by any view.
    cut_off.refused_by_store = True
    time.sleep(OLD_S)
    check("known key without the store",
          call(cut_off, "GET", path, KEYS["team-a"])[0], 200)
    check("another account's job without the store",
          call(cut_off, "GET", path, KEYS["team-b"])[0], 403)
    publish(cell, [KEYS["team-a"], NEW_KEY])
    check("new key at a VM that reads", wait_for(200, first, NEW_KEY), 200)
    time.sleep(APPLY_S)
    # Whether or not another VM has handed the policy on, 401 is untrue by now.
    check("new key without the store is served or may be repeated",
          call(cut_off, "GET", path, NEW_KEY)[0] in (200, 503), True)
    cut_off.refused_by_store = False
    check("new key with the store again",
          wait_for(200, cut_off, NEW_KEY, 2 * APPLY_S), 200)


def find_keys(cell):
    """Looks for the keys in all that a VM tells operators."""
    for vm in cell.vms:
        with open(vm.config, encoding="utf-8") as file:
            operators = int(re.search(r'metrics-listen=".*:(\d+)"',
                                      file.read())[1])
        with open(vm.log.name, encoding="utf-8", errors="replace") as file:
            texts = {"log": file.read()}
        for path in ("/dump", "/metrics"):
            status, texts[path] = call(vm, "GET", path, port=operators)
            check(f"{path} of {vm.name}", status, 200)
        for name, text in texts.items():
            check(f"keys in {name} of {vm.name}", "s3cret" in text, False)


def main():
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(folder, vms=3)
        try:
            if not cell.wait_ready():
                print("the cell did not start")
                return 2
            play(cell)
            find_keys(cell)
        finally:
            cell.end()
    print(f"{len(failures)} wrong")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
