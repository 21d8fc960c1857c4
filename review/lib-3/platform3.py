"""Stand-ins for the users' platform: store, executors, a small cell of VMs.

They follow the users' pages: the store is linearizable and loses nothing; an
executor keeps the highest fence number, leases, runs and ends of its boot.
Everything listens on loopback addresses. Every event that a client, an executor
or the store sees goes to one Record.
"""
import base64
import http.client
import json
import os
import re
import signal
import socket
import subprocess
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST, PREFIX, BACKEND = "jobs.example", "/jobs/", "svc"
ROOM = {"cpu": 16000, "memMb": 65536, "gpu": 0}


def now():
    return time.monotonic()


def unix_ms():
    return int(time.time() * 1000)


class Record:
    """What was sent, answered and run, by the seconds since the begin."""

    def __init__(self, path):
        self.began, self.lock = now(), threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def add(self, text):
        with self.lock:
            self.file.write(f"{now() - self.began:8.3f} {text}\n")
            self.file.flush()


def free_ports(address, count):
    held = []
    for _ in range(count):
        one = socket.socket()
        one.bind((address, 0))
        held.append(one)
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass  # A peer that was killed.


def serve(handle, address, port=0):
    """handle(method, path, query, headers, body) -> (status, bytes) or None, in
    which case the connection ends without an answer."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_):
            pass

        def work(self):
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            url = urlsplit(self.path)
            query = {k: v[0] for k, v in parse_qs(url.query).items()}
            out = handle(self.command, url.path, query, self.headers, body)
            if out is None:
                self.close_connection = True
                return
            head = (f"HTTP/1.1 {out[0]} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(out[1])}\r\n\r\n").encode()
            self.wfile.write(head + out[1])

        do_GET = do_POST = work

    server = Server((address, port), Handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


def js(status, **fields):
    return status, json.dumps(fields).encode()


class Store:
    """The log of the platform. `gate(vm)` may turn a VM away: it returns None to
    serve it, else an answer, or "silent"."""

    def __init__(self, keep_s=300.0, append_s=0.002):
        self.keep_s, self.append_s = keep_s, append_s
        self.topics = {}  # Name: [first offset, [(time, record)]].
        self.newest = {}  # Keyed topic: {key: (value, offset)}.
        self.producers = {}
        self.cond = threading.Condition()
        self.gate = lambda vm, path: None

    def listen(self, address, vm):
        return serve(lambda *call: self.handle(vm, *call), address)

    def handle(self, vm, method, path, query, _headers, body):
        answer = self.gate(vm, path)
        if answer == "silent":
            time.sleep(5)
            return None
        if answer is not None:
            return answer
        topic = query.get("topic", "")
        if path == "/log-append":
            time.sleep(self.append_s)
            return self.append(topic, query, body)
        if path == "/log-read":
            return self.read(topic, query)
        if path == "/log-newest":
            return self.list_newest(topic, query)
        return js(404)

    def end(self, topic):
        first, records = self.topics.setdefault(topic, [0, []])
        return first + len(records)

    def put(self, topic, key, value):
        """`key` is text, or bytes of another writer."""
        name = key.encode() if isinstance(key, str) else key
        raw = json.dumps(value).encode() if value is not None else b""
        with self.cond:
            self.store(topic, [bytes([len(name)]) + name + raw])

    def store(self, topic, records):
        offset = self.end(topic)
        self.topics[topic][1] += [(now(), r) for r in records]
        if topic.startswith("keyed."):
            for i, r in enumerate(records):
                # JSON can't carry other bytes in the answer to /log-newest.
                key, value = r[1:1 + r[0]].decode("utf-8", "replace"), r[1 + r[0]:]
                table = self.newest.setdefault(topic, {})
                table.pop(key, None)
                if value:
                    table[key] = (value, offset + i)
        self.cond.notify_all()
        return offset

    def append(self, topic, query, body):
        records = []
        while body:
            size = int.from_bytes(body[:4], "big")
            records.append(body[4:4 + size])
            body = body[4 + size:]
        with self.cond:
            if "producer" in query:
                key = (topic, query["producer"])
                epoch, seq = int(query["epoch"]), int(query["seq"])
                known = self.producers.get(key)
                if known and epoch < known["epoch"]:
                    return js(409, reason="fenced")
                if known and epoch == known["epoch"]:
                    if seq in known["done"]:
                        return known["done"][seq]
                    if seq != known["seq"] + 1:
                        return js(409, reason="seq", expected=known["seq"] + 1)
            if "at" in query and int(query["at"]) != self.end(topic):
                return js(412, end=self.end(topic))
            offset = self.store(topic, records)
            answer = js(200, offset=offset, end=self.end(topic))
            if "producer" in query:
                done = known["done"] if known and known["epoch"] == epoch else {}
                done = dict(list(done.items())[-4:])
                done[seq] = answer
                self.producers[key] = {"epoch": epoch, "seq": seq, "done": done}
            return answer

    def read(self, topic, query):
        start, until = int(query["from"]), now() + int(query.get("waitMs", 0)) / 1000
        left = int(query.get("maxKb", 1024)) * 1024
        with self.cond:
            while self.end(topic) <= start and now() < until:
                self.cond.wait(min(0.2, until - now()))
            log = self.topics[topic]
            old = now() - self.keep_s
            while log[1] and log[1][0][0] < old:
                log[1].pop(0)
                log[0] += 1
            if start < log[0]:
                return js(410, first=log[0])
            out = self.end(topic).to_bytes(8, "big") + log[0].to_bytes(8, "big")
            for _, record in log[1][start - log[0]:]:
                left -= len(record) + 4
                if left < 0:
                    break
                out += len(record).to_bytes(4, "big") + record
            return 200, out

    def list_newest(self, topic, query):
        with self.cond:
            table = self.newest.get(topic, {})
            keys = sorted(k for k in table if k > query.get("dependsOn", ""))
            items = [{"key": k, "value": base64.b64encode(table[k][0]).decode(),
                      "offset": table[k][1]} for k in keys[:500]]
            return js(200, items=items, hasMore=len(keys) > 500, end=self.end(topic))


class Advice:
    """The service that knows which executors may run a step: here, all."""

    def __init__(self, cell, valid_ms):
        self.cell, self.valid_s = cell, valid_ms / 1000
        self.server = serve(self.handle, "127.0.3.1")

    def handle(self, _method, _path, _query, _headers, body):
        call = json.loads(body)
        time.sleep(0.01)
        known = {one.id: one for one in self.cell.executors}
        good = [[w, f"{call['step']}|{w}|{known[w].born}|{now():.3f}"]
                for w in call["workers"] if w in known]
        return js(200, good=good, validMs=int(self.valid_s * 1000))

    def accepts(self, executor, task, ticket):
        parts = ticket.split("|")
        return (len(parts) == 4 and parts[0] == task.rsplit(".", 1)[0] and
                parts[1] == executor.id and parts[2] == str(executor.born) and
                now() < float(parts[3]) + self.valid_s)


class Executor:
    """One executor. The task's `spec` is "work_ms", or "work_ms fail". Set
    `late(path)` to a time in seconds to carry an order out late and leave it
    unanswered."""

    def __init__(self, store, record, name, address, stop_s=0.05, advice=None):
        self.store, self.record, self.id, self.advice = store, record, name, advice
        self.address, self.stop_s = address, stop_s
        self.cond = threading.Condition()
        self.late = lambda path: None
        self.up, self.server, self.lives = False, None, 0
        self.done = set()  # Tasks that have ended done, in any life.
        self.boot()
        threading.Thread(target=self.work, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    # A life.
    def boot(self):
        with self.cond:
            self.lives += 1
            self.born, self.zero = unix_ms(), now()
            self.fence = self.lease = self.forgotten = self.seq = 0
            self.runs, self.ends, self.refused, self.number = {}, [], {}, 0
            self.up = True
        self.server = serve(self.handle, self.address,
                            self.server.server_address[1] if self.server else 0)
        self.record.add(f"executor {self.id} is up, life {self.lives}")
        self.tell()

    def crash(self, silent=False):
        """Ends the life; `silent`: its address doesn't answer any more."""
        with self.cond:
            self.up = False
            for task, one in self.runs.items():
                self.record.add(f"run {task} #{one['run']} is lost with {self.id}")
            self.runs = {}
            self.cond.notify_all()
        self.record.add(f"executor {self.id} crashed")
        if not silent:
            self.server.shutdown()
            self.server.server_close()

    def clock(self):
        return int((now() - self.zero) * 1000)

    def entry(self):
        host, port = self.server.server_address
        return {"backend": BACKEND, "address": f"{host}:{port}", "zone": "z",
                "version": "v1", "slots": 8, "state": "ready", "capacity": ROOM,
                "labels": ["a", "r1"], "born": self.born, "seq": self.seq}

    def tell(self):
        self.seq += 1
        self.store.put("keyed.servers", self.id, self.entry())

    def beat(self):
        while True:
            time.sleep(1.5)
            if self.up:
                self.tell()

    # Its runs.
    def end(self, task, how):
        one = self.runs.pop(task)
        self.number += 1
        self.ends.append([self.number, task, one["run"], how, ""])
        self.refused[task] = max(self.refused.get(task, 0), one["run"])
        if how == "done":
            self.done.add(task)
        self.record.add(f"run {task} #{one['run']} ends {how} on {self.id}")
        self.cond.notify_all()

    def work(self):
        while True:
            time.sleep(0.005)
            with self.cond:
                for task, one in list(self.runs.items()):
                    if self.clock() > self.lease:
                        self.end(task, "lapsed")
                    elif one["stop"] and now() > one["stop"]:
                        self.end(task, "stopped")
                    elif now() > one["until"]:
                        self.end(task, "failed" if one["fails"] else "done")

    def handle(self, _method, path, _query, headers, body):
        life = self.lives
        if not self.up:
            time.sleep(30)  # Without power: nothing answers.
            return None
        if headers.get("Target-Instance") not in (None, self.id):
            return js(421, clockMs=self.clock())
        call = json.loads(body)
        delay = self.late(path)
        if delay is not None:
            self.record.add(f"{self.id} leaves {path} {call.get('task', '')} "
                            f"unanswered, carried out in {delay:.1f} s")
            threading.Timer(delay, self.carry_out, (path, call)).start()
            time.sleep(delay + 1)
            return None
        answer = self.carry_out(path, call)
        return answer if self.up and life == self.lives else None

    def carry_out(self, path, call):
        with self.cond:
            if not self.up:
                return None
            if call.get("fencingToken", 0) < self.fence:
                return js(409, clockMs=self.clock(), reason="fence")
            self.fence = call.get("fencingToken", 0)
            if "untilMs" in call:
                most = self.clock() + 10000
                self.lease = max(self.lease, min(call["untilMs"], most))
            if path == "/run-start":
                return self.start(call)
            if path == "/run-stop":
                return self.stop(call)
            return self.hold(call)

    def start(self, call):
        task, run = call["task"], call["run"]
        one = self.runs.get(task)
        if one and one["run"] == run:
            return js(200, clockMs=self.clock())
        if one or run <= self.refused.get(task, 0):
            return js(409, clockMs=self.clock(), reason="old")
        if call["untilMs"] < self.clock():
            return js(409, clockMs=self.clock(), reason="late")
        if self.advice and not self.advice.accepts(self, task, call.get("ticket", "")):
            return js(409, clockMs=self.clock(), reason="ticket")
        words = call["spec"].split()
        self.runs[task] = {"run": run, "until": now() + int(words[0]) / 1000,
                           "fails": "fail" in words, "stop": 0, "began": now(),
                           "for": int(words[0]) / 1000}
        self.record.add(f"run {task} #{run} starts on {self.id}, life {self.lives}")
        return js(200, clockMs=self.clock())

    def stop(self, call):
        task, run = call["task"], call["run"]
        self.refused[task] = max(self.refused.get(task, 0), run)
        one = self.runs.get(task)
        if one and one["run"] <= run and not one["stop"]:
            one["stop"] = now() + self.stop_s
        return js(200, clockMs=self.clock())

    def hold(self, call):
        seen = call.get("lastSeen", 0)
        for one in self.ends:
            if self.forgotten < one[0] <= seen:
                self.record.add(f"end of {one[1]} #{one[2]} {one[3]} on {self.id} "
                                "is taken note of")
        self.forgotten = max(self.forgotten, seen)
        self.ends = [one for one in self.ends if one[0] > seen]
        until, life = now() + call.get("waitMs", 0) / 1000, self.lives
        while not self.ends and now() < until and self.up and life == self.lives:
            self.cond.wait(min(0.1, until - now()))
        rows = [[t, one["run"], "", min(100, int(100 * (now() - one["began"]) /
                                                 one["for"])), 100]
                for t, one in self.runs.items()]
        return js(200, clockMs=self.clock(), born=self.born, running=rows,
                  ended=self.ends[:500])


def render(template, fields):
    """The part of the platform's template language that the deploy file uses."""

    def value(name, scope):
        for part in name.split("."):
            scope = scope[int(part)] if isinstance(scope, list) else scope.get(part)
            if scope is None:
                return None
        return scope

    def section(match):
        got = value(match.group(1), fields)
        inner = match.group(2)
        if got in (None, False, "", 0):
            return ""
        return inner.replace("{{.}}", str(got))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m.group(1), fields)), text)


class Vm:
    """One process of the entry role, with the command of the deploy file."""

    def __init__(self, folder, store, record, name, address, advice=None, zone="z"):
        self.record, self.name, self.address = record, name, address
        self.front, ready, peer, last = free_ports(address, 4)
        self.gate = store.listen(address, name)
        fields = {
            "nodeName": name, "zone": zone, "ip": address,
            "portRange": [peer, last],
            "listen": {"front": f"{address}:{self.front}",
                       "readiness": f"{address}:{ready}"},
            "platform": {"address": "%s:%d" % self.gate.server_address},
            "bounds": {"holdMaxMs": 10000},
            "limits": {"cpuShare": 0.25, "cores": 1, "linkMbps": 1000.0}}
        if advice:
            fields["advice"] = "%s:%d" % advice.server.server_address
        with open(os.path.join(ROOT, "deploy", "azurespurd.conf"),
                  encoding="utf-8") as file:
            text = render(file.read(), fields)
        self.settings = os.path.join(folder, name + ".conf")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.log = os.path.join(folder, name + ".log")
        self.ready, self.metrics, self.process = ready, last, None

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"),
                  encoding="utf-8") as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command.split(), cwd=ROOT, stdout=log, stderr=log,
                env={"AZURESPUR_CONFIG": self.settings, "PATH": os.environ["PATH"],
                     "HOME": "/tmp", "LANG": "C.UTF-8"})
        self.record.add(f"VM {self.name} is started")

    def kill(self, sig=signal.SIGKILL):
        self.process.send_signal(sig)
        if sig in (signal.SIGKILL, signal.SIGTERM):
            self.process.wait()
        self.record.add(f"VM {self.name} gets {sig.name}")

    def call(self, method, path, body=None, timeout=3.0, port=None):
        """(status, body), or (0, reason) without an answer."""
        one = http.client.HTTPConnection(self.address, port or self.front,
                                         timeout=timeout)
        try:
            raw = json.dumps(body).encode() if body is not None else None
            one.request(method, path, raw, {
                "Host": HOST, "Content-Type": "application/json",
                "Deadline-Ms": str(int(timeout * 1000))})
            answer = one.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException) as error:
            return 0, type(error).__name__
        finally:
            one.close()

    def is_ready(self):
        return self.call("GET", "/readiness", timeout=1.0, port=self.ready)[0] == 200

    def leads(self):
        status, text = self.call("GET", "/metrics", timeout=1.0, port=self.metrics)
        return status == 200 and re.search(r"^azurespur_leading 1", text, re.M)


class Cell:
    def __init__(self, folder, record, vms=3, executors=4, keep_s=300.0,
                 queue=None):
        self.record, self.store = record, Store(keep_s)
        wanted = (queue or {}).get("advice")
        self.advice = Advice(self, wanted["validMs"]) if wanted else None
        route = {"name": "q", "host": HOST, "pathPrefix": PREFIX, "backend": BACKEND,
                 "type": "non_idempotent", "timeoutMs": 3000, "priority": 1,
                 "maxAttempts": 4, "stretch": 2.0, "targetDurationMs": 3000}
        route.update(queue or {})
        self.store.put("keyed.op", "config", {
            "version": 3, "routes": [route], "services": [
                {"name": BACKEND, "healthPath": "/health", "admissionControl": False}]})
        self.executors = [Executor(self.store, record, f"i-{i:04x}", f"127.0.1.{i + 1}",
                                   advice=self.advice) for i in range(executors)]
        self.vms = [Vm(folder, self.store, record, f"edge-{i}", f"127.0.2.{i + 1}",
                       self.advice) for i in range(vms)]
        for vm in self.vms:
            vm.start()

    def wait(self, what, seconds, every=0.05):
        until = now() + seconds
        while now() < until:
            if what():
                return True
            time.sleep(every)
        return False

    def until_ready(self, seconds=15):
        return self.wait(lambda: all(vm.is_ready() for vm in self.vms), seconds)

    def leader(self):
        return next((vm for vm in self.vms if vm.process and
                     vm.process.poll() is None and vm.leads()), None)

    def submit(self, vm, job, work, steps=1, count=1, **step):
        body = {"spec": work, "steps": [
            dict({"count": count, "cpu": 1000, "memMb": 256, "estimateMs": 500,
                  "dependsOn": [i - 1] if i else []}, **step) for i in range(steps)]}
        status, text = vm.call("POST", PREFIX + job, body)
        self.record.add(f"POST {job} at {vm.name}: {status}")
        return status

    def state(self, vm, job):
        status, text = vm.call("GET", PREFIX + job)
        return status, (json.loads(text).get("state", "") if status == 200 else "")

    def stop(self):
        for vm in self.vms:
            if vm.process and vm.process.poll() is None:
                vm.process.kill()
                vm.process.wait()
