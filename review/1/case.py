"""All VMs are killed while clients hold channels to them, and start again."""
import http.client
import os
import select
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from cell import HOST, PREFIX, Cell  # noqa: E402
from standins import now  # noqa: E402

CHANNELS = 8  # To each VM.
INTERVAL_S = 0.5  # Between two requests on a channel.
RESTART_DELAY_S = 0.5
RECOVERY_S = 12
JUDGED_S = 20
JOB = "00000000000000a0"


class Client(threading.Thread):
    """Asks for a submission's state on one channel, as long as that is open;
    after a broken channel on a new one, at the next VM."""

    def __init__(self, cell, number, sent):
        super().__init__(daemon=True)
        self.cell, self.number, self.sent = cell, number, sent
        self.channel = None
        self.stopping = False

    def run(self):
        while not self.stopping:
            began = now()
            self.sent.append((began, self.ask()))
            self.wait(max(0, INTERVAL_S - (now() - began)))

    def wait(self, left_s):
        """Closes the channel once the VM has closed it, as clients do."""
        began = now()
        if self.channel is not None and self.channel.sock is not None:
            if select.select([self.channel.sock], [], [], left_s)[0]:
                self.channel.close()
                self.channel = None
        time.sleep(max(0, left_s - (now() - began)))

    def ask(self):
        if self.channel is None:
            vm = self.cell.vms[self.number % len(self.cell.vms)]
            self.channel = http.client.HTTPConnection("127.0.0.1", vm.front,
                                                      timeout=3)
        try:
            self.channel.request("GET", PREFIX + JOB,
                                 headers={"Host": HOST, "Deadline-Ms": "3000"})
            answer = self.channel.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException):
            self.channel.close()
            self.channel = None
            self.number += 1
            return 0


class Platform(threading.Thread):
    """Starts a process again after each end of it."""

    def __init__(self, cell):
        super().__init__(daemon=True)
        self.cell, self.stopping = cell, False
        self.ends = 0

    def run(self):
        while not self.stopping:
            for vm in self.cell.vms:
                code = vm.process.poll()
                if code is not None and not self.stopping:
                    self.ends += code > 0
                    self.cell.record.add(f"{vm.name} has ended with {code}")
                    time.sleep(RESTART_DELAY_S / len(self.cell.vms))
                    vm.start()
            time.sleep(0.1)


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cell = Cell(HERE, vms=3, workers=3)
    platform = Platform(cell)
    clients, sent = [], []
    try:
        if not cell.wait_ready():
            print("the VMs aren't ready")
            return 2
        time.sleep(1)
        status, _ = cell.submit(cell.vms[0], JOB, work_ms=500)
        if status != 200:
            return 2
        clients = [Client(cell, i, sent) for i in range(CHANNELS * 3)]
        for client in clients:
            client.start()
            time.sleep(INTERVAL_S / len(clients) / 2)
        time.sleep(5)
        before = [status for _, status in sent]
        if trouble:
            cell.record.add("all VMs are killed")
            for vm in cell.vms:
                vm.process.kill()
            for vm in cell.vms:
                vm.process.wait()
            platform.start()
            time.sleep(RESTART_DELAY_S)
        back = now()
        cell.record.add("the VMs are back")
        time.sleep(RECOVERY_S + JUDGED_S + 3)
        judged = [status for at, status in list(sent)
                  if back + RECOVERY_S < at < back + RECOVERY_S + JUDGED_S]
        served = [sum(status == 200 for status in part) / max(1, len(part))
                  for part in (before, judged)]
        broken = served[0] >= 0.25 and served[1] < 0.25
        text = (f"served before: {served[0]:.2f} of {len(before)} requests; sent "
                f"later than {RECOVERY_S} s after the VMs are back: "
                f"{served[1]:.2f} of {len(judged)}; {platform.ends} ends of a "
                "process by itself")
        for vm in cell.vms:
            with open(vm.log.name, encoding="utf-8", errors="replace") as file:
                lines = [line.strip() for line in file if "AZ9007" in line]
            if lines:
                cell.record.add(f"{vm.name} logs {len(lines)} times: {lines[-1]}")
        cell.record.add(("BROKEN RECOVER: " if broken else "") + text)
        print(text)
        return 1 if broken else 0
    finally:
        platform.stopping = True
        for client in clients:
            client.stopping = True
        time.sleep(0.5)
        cell.end()


sys.exit(main())
