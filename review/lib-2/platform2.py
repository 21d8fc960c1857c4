"""Stand-ins for the platform of the review's second part: the store, executors, the
advice service and clients, all on loopback and in one asyncio loop, beside real
`azurespurd platform` processes that are started as the deploy file says.

The stand-ins follow the users' pages. Where a page is silent they behave like a sound
store, executor or client.
"""
import asyncio
import base64
import collections
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "bin", "azurespurd")
TEMPLATE = os.path.join(ROOT, "deploy", "azurespurd.conf")
HOST, PREFIX, BACKEND, ROUTE = "front.example", "/jobs/", "huvo11a", "r-jobs"
SILENCE = "silence"  # A handler's answer: none, and the channel stays open.
RESET = "reset"
START = time.monotonic()
# A script that is told to stop ends what it started, as after an interrupt.
signal.signal(signal.SIGTERM, lambda *_: os.kill(os.getpid(), signal.SIGINT))


def now():
    """Seconds since the script began."""
    return time.monotonic() - START


_used_ports = set()


def free_port():
    """A port below those that the system gives to outgoing channels, so that it is
    still free when a process starts again. Scripts that run side by side begin at
    different ones."""
    first, last = 12000, 32000
    begin = first + os.getpid() % 200 * 100
    for port in [*range(begin, last), *range(first, begin)]:
        if port in _used_ports:
            continue
        try:
            with socket.socket() as tcp, \
                    socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        _used_ports.add(port)
        return port
    raise RuntimeError("no free port")


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self._file = open(self.path, "w", encoding="utf-8")

    def add(self, text):
        self._file.write(f"{now():9.3f} {text}\n")

    def say(self, text):
        self.add(text)
        self._file.flush()
        print(f"{now():9.3f} {text}", flush=True)

    def close(self):
        self._file.close()


# HTTP/1.1, as much of it as the pages speak.

class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.headers, self.body = method, headers, body
        self.path, _, query = target.partition("?")
        self.query = {}
        for pair in filter(None, query.split("&")):
            name, _, value = pair.partition("=")
            self.query[name] = unescape(value)

    def json(self):
        return json.loads(self.body or b"{}")


def unescape(text):
    parts = text.split("%")
    out = parts[0].encode()
    for part in parts[1:]:
        out += bytes([int(part[:2], 16)]) + part[2:].encode()
    return out.decode("utf-8", "replace")


async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class HttpServer:
    def __init__(self, handler, port=None):
        self._handler = handler
        self.port = port or free_port()
        self.address = f"127.0.0.1:{self.port}"
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=4 << 20, backlog=512)

    async def stop(self):
        """Closes the port and resets all channels."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self._handler(Request(method, target, headers, body))
                if answer == SILENCE:
                    await asyncio.sleep(3600)
                if answer == RESET:
                    writer.transport.abort()
                    return
                status, reply = answer
                kind = "application/json"
                if isinstance(reply, dict):
                    reply = json.dumps(reply).encode()
                elif isinstance(reply, bytes):
                    kind = "application/octet-stream"
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                             f"Content-Length: {len(reply)}\r\n\r\n".encode() + reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError,
                OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def exchange(address, head, body, opened):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    opened.append(writer)
    writer.write(head + body)
    line, _, reply = await read_message(reader)
    return int(line.split(" ")[1]), reply


async def call(address, method, target, body=b"", headers=None, timeout_s=4.0):
    """Returns (status, body); status None if there was no whole answer."""
    fields = {"Host": HOST, "Content-Type": "application/json",
              "Content-Length": str(len(body)), "Connection": "close"}
    fields.update(headers or {})
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    head = f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode()
    opened = []
    try:
        return await asyncio.wait_for(exchange(address, head, body, opened), timeout_s)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return None, b""
    finally:
        for writer in opened:
            writer.close()


# The store.

class Partition:
    def __init__(self):
        self.first = 0
        self.records = collections.deque()  # (unix seconds, bytes)
        self.newest = {}  # Of a keyed topic: key -> (value, offset).
        self.producers = {}  # name -> [epoch, next seq, {seq: answer}]
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)


class Store:
    """The platform's metadata store, form "log"."""

    def __init__(self, record, append_ms=2.0, answer_ms=2.0, keep_s=300.0):
        self.record = record
        self.append_ms, self.answer_ms, self.keep_s = append_ms, answer_ms, keep_s
        self.topics = {}
        # May return an answer instead of the usual one, before anything is done.
        self.on_call = None
        self.http = HttpServer(self._handle)

    @property
    def address(self):
        return self.http.address

    async def start(self):
        await self.http.start()

    def part(self, topic, number=0):
        return self.topics.setdefault((topic, number), Partition())

    def expire(self, part):
        while part.records and part.records[0][0] + self.keep_s < time.monotonic():
            part.records.popleft()
            part.first += 1

    def add(self, topic, records, number=0):
        part = self.part(topic, number)
        offset = part.end
        for record in records:
            if topic.startswith("keyed."):
                size = record[0]
                key, value = record[1:1 + size], record[1 + size:]
                if value:
                    part.newest[key] = (value, part.end)
                else:
                    part.newest.pop(key, None)
            part.records.append((time.monotonic(), record))
        changed, part.changed = part.changed, asyncio.Event()
        changed.set()
        return offset, part.end

    def put(self, topic, key, value):
        """Writes as the operator or an executor does."""
        key = key.encode()
        self.add(topic, [bytes([len(key)]) + key + value])

    def put_config(self, config):
        self.put("keyed.op", "config", json.dumps(config).encode())

    async def _handle(self, request):
        if self.on_call is not None:
            answer = self.on_call(request)
            if answer is not None:
                return answer
        await asyncio.sleep(self.answer_ms / 1000)
        topic = request.query.get("topic", "")
        part = self.part(topic, int(request.query.get("part", 0)))
        self.expire(part)
        if request.path == "/log-append":
            return await self._append(request, topic, part)
        if request.path == "/log-read":
            return await self._read(request, part)
        if request.path == "/log-newest":
            return self._newest(request, part)
        if request.path == "/log-trim":
            while part.records and part.first < int(request.query["before"]):
                part.records.popleft()
                part.first += 1
            return 200, {}
        return 404, {}

    async def _append(self, request, topic, part):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        records, body = [], request.body
        while body:
            size = int.from_bytes(body[:4], "big")
            records.append(body[4:4 + size])
            body = body[4 + size:]
        async with part.lock:
            await asyncio.sleep(self.append_ms / 1000)
            query = request.query
            if "at" in query and int(query["at"]) != part.end:
                if not self._is_repeat(part, query):
                    return 412, {"end": part.end}
            if "producer" not in query:
                offset, end = self.add(topic, records)
                return 200, {"offset": offset, "end": end}
            epoch, seq = int(query["epoch"]), int(query["seq"])
            state = part.producers.get(query["producer"])
            if state is not None and epoch < state[0]:
                return 409, {"reason": "fenced"}
            if state is None or epoch > state[0]:
                state = part.producers[query["producer"]] = [epoch, seq, {}]
            if seq in state[2]:
                return 200, state[2][seq]
            if seq != state[1]:
                return 409, {"reason": "seq", "expected": state[1]}
            offset, end = self.add(topic, records)
            state[1] = seq + 1
            state[2][seq] = {"offset": offset, "end": end}
            state[2].pop(seq - 5, None)
            return 200, state[2][seq]

    @staticmethod
    def _is_repeat(part, query):
        state = part.producers.get(query.get("producer"))
        return (state is not None and int(query["epoch"]) == state[0]
                and int(query["seq"]) in state[2])

    async def _read(self, request, part):
        start = int(request.query.get("from", 0))
        limit = int(request.query.get("maxKb", 1024)) * 1024
        until = time.monotonic() + int(request.query.get("waitMs", 0)) / 1000
        while start >= part.end and time.monotonic() < until:
            try:
                await asyncio.wait_for(part.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        self.expire(part)
        if start < part.first:
            return 410, {"first": part.first}
        out = [part.end.to_bytes(8, "big"), part.first.to_bytes(8, "big")]
        size = 0
        for i in range(start - part.first, len(part.records)):
            record = part.records[i][1]
            size += 4 + len(record)
            if size > limit and len(out) > 2:
                break
            out.append(len(record).to_bytes(4, "big") + record)
        return 200, b"".join(out)

    @staticmethod
    def _newest(request, part):
        after = request.query.get("dependsOn", "").encode()
        keys = sorted(key for key in part.newest if not after or key > after)
        items, size = [], 0
        for key in keys:
            value, offset = part.newest[key]
            if len(items) == 500 or (items and size + len(value) > 1 << 20):
                break
            size += len(value)
            items.append({"key": key.decode("utf-8", "replace"), "offset": offset,
                          "value": base64.b64encode(value).decode()})
        return 200, {"items": items, "hasMore": len(items) < len(keys),
                     "end": part.end}


# Executors.

class Run:
    def __init__(self, task, number, work_ms, saved, clock):
        self.task, self.number, self.work_ms, self.clock = task, number, work_ms, clock
        self.began = now()
        self.saved_ms = int(saved) if saved else 0
        self.timer = None

    def done_ms(self):
        return min(self.work_ms, self.saved_ms + int((now() - self.began) * 1000))

    def percent(self):
        return 100 * self.done_ms() // max(1, self.work_ms)


class Executor:
    """One executor. The work of a task stands in the submission's `spec`:
    a JSON object with `ms`, or with `ms` by step."""

    def __init__(self, record, store, name, cpu=16000, mem=65536, labels=("a", "r1-1"),
                 heartbeat_s=1.5, hold_max_ms=10000, stop_ms=300, guards=False):
        self.record, self.store, self.name = record, store, name
        self.cpu, self.mem, self.labels = cpu, mem, list(labels)
        self.heartbeat_s, self.hold_max_ms = heartbeat_s, hold_max_ms
        self.stop_ms, self.guards = stop_ms, guards
        self.http = HttpServer(self._handle)
        self.up = False
        self.state = "ready"
        self.history = []  # [task, run, began, ended, how, born]
        self.noted = {}  # (task, run, born) -> when lastSeen reached its end
        self.lapses = []  # Times at which its lease was over.
        self.fences = []
        self.on_order = None  # May return an answer in place of the usual one.
        self.silent_store = False  # Reaches the store?
        self._beat = None

    @property
    def address(self):
        return self.http.address

    async def boot(self):
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic() - random.uniform(0.5, 3.0)
        self.fence, self.lease_ms = 0, 0
        self.running, self.ended, self.highest = {}, [], {}
        self.next_end, self.seq, self.up = 1, 0, True
        self.end_seen = asyncio.Event()
        await self.http.start()
        self._beat = asyncio.create_task(self._beats())
        self._lease = asyncio.create_task(self._watch_lease())
        self.record.add(f"executor {self.name} is up at {self.address}, born {self.born}")

    async def crash(self):
        self.up = False
        self._beat.cancel()
        self._lease.cancel()
        await self.http.stop()
        for run in list(self.running.values()):
            run.timer.cancel()
            self._close(run, "crash")
        self.record.add(f"executor {self.name} crashes")

    def clock(self):
        return int((time.monotonic() - self.clock_zero) * 1000)

    def entry(self):
        return {"backend": BACKEND, "address": self.address, "zone": "z1",
                "version": "v1", "slots": 8, "state": self.state,
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0},
                "labels": self.labels, "clockMs": self.clock(), "seq": self.seq,
                "born": self.born}

    def announce(self):
        self.seq += 1
        self.store.put("keyed.servers", self.name, json.dumps(self.entry()).encode())

    async def _beats(self):
        await asyncio.sleep(random.uniform(0, 0.1))
        while True:
            if not self.silent_store:
                self.announce()
            await asyncio.sleep(self.heartbeat_s)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.clock() > self.lease_ms:
                self.lapses.append(now())
                for run in list(self.running.values()):
                    self._end(run, "lapsed")

    def _close(self, run, how):
        self.running.pop(run.task, None)
        self.history.append([run.task, run.number, run.began, now(), how, self.born])
        self.record.add(f"executor {self.name}: {run.task} run {run.number} ends {how}")

    def _end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        run.timer.cancel()
        saved = str(run.done_ms()) if how != "done" else ""
        self._close(run, how)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ended.append([self.next_end, run.task, run.number, how, saved])
        self.next_end += 1
        seen, self.end_seen = self.end_seen, asyncio.Event()
        seen.set()

    def _keep(self, order):
        until = order.get("untilMs")
        if until is not None:
            self.lease_ms = max(self.lease_ms,
                                min(until, self.clock() + self.hold_max_ms))

    async def _handle(self, request):
        if request.path == "/health":
            return 200, {}
        if request.headers.get("target-instance", self.name) != self.name:
            return 421, {}
        order = request.json()
        if self.on_order is not None:
            answer = await self.on_order(request.path, order)
            if answer is not None:
                return answer
        return await self.do(request.path, order)

    async def do(self, path, order):
        fence = order.get("fencingToken", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        if fence > self.fence:
            self.fence = fence
            self.fences.append((now(), fence))
            self.record.add(f"executor {self.name}: fence {fence}")
        if path == "/run-start":
            return self._start(order)
        if path == "/run-stop":
            return self._stop(order)
        if path == "/hold":
            return await self._hold(order)
        return 404, {}

    def _start(self, order):
        task, number = order["task"], order["run"]
        clock = self.clock()
        present = self.running.get(task)
        if present is not None and present.number == number:
            return 200, {"clockMs": clock}
        if number <= self.highest.get(task, 0) or present is not None:
            self._keep(order)
            return 409, {"clockMs": clock, "reason": "old"}
        if order.get("untilMs", 0) <= clock:
            return 409, {"clockMs": clock, "reason": "late"}
        self._keep(order)
        spec = json.loads(order["spec"])
        ms = spec["ms"]
        if isinstance(ms, list):
            ms = ms[int(task.split(".")[2])]
        run = Run(task, number, ms, order.get("checkpoint"), clock)
        self.running[task] = run
        left = max(1, run.work_ms - run.saved_ms) / 1000
        run.timer = asyncio.get_running_loop().call_later(left, self._end, run, "done")
        self.record.add(f"executor {self.name}: {task} run {number} starts, fence "
                        f"{order.get('fencingToken')}")
        return 200, {"clockMs": clock}

    def _stop(self, order):
        task, number = order["task"], order["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number:
            asyncio.get_running_loop().call_later(
                self.stop_ms / 1000, self._end, run, "stopped")
        return 200, {"clockMs": self.clock()}

    async def _hold(self, order):
        born = self.born
        seen = order.get("lastSeen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.noted.setdefault((end[1], end[2], born), now())
        self.ended = [end for end in self.ended if end[0] > seen]
        self._keep(order)
        wait = min(2000, order.get("waitMs", 0)) / 1000
        if not self.ended and wait > 0:
            try:
                await asyncio.wait_for(self.end_seen.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if not self.up or self.born != born:
            return RESET
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": [[run.task, run.number, str(run.done_ms()),
                                  run.percent(), 1000]
                                 for run in self.running.values()],
                     "ended": self.ended[:500]}


# The program under test.

class Vm:
    """One `azurespurd platform`, with the settings of the deploy file's template."""

    def __init__(self, record, name, zone, store_address, folder, advice=None,
                 hold_max_ms=10000, fail_closed=False):
        self.record, self.name, self.folder = record, name, folder
        self.ports = {key: free_port() for key in
                      ("listen", "readiness", "metrics", "peer")}
        self.front = f"127.0.0.1:{self.ports['listen']}"
        lines = [f'vm-id="{name}"', f'domain="{zone}"',
                 f'listen="{self.front}"',
                 f'readiness-listen="127.0.0.1:{self.ports["readiness"]}"',
                 f'metrics-listen="127.0.0.1:{self.ports["metrics"]}"',
                 f'peer-listen="127.0.0.1:{self.ports["peer"]}"',
                 f'log-url="http://{store_address}"']
        if advice:
            lines.append(f'advice-url="http://{advice}"')
        lines.append(f"max-lease-ms={hold_max_ms}")
        if fail_closed:
            lines.append("fail-closed=true")
        lines += ["cpu-share=0.25", "cpu-speed=1", "link-mbps=1000.0"]
        self.config = os.path.join(folder, name + ".toml")
        with open(self.config, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        self.process = None
        self.exits = []  # Exit codes of processes that ended by themselves.

    def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["AZURESPUR_CONFIG"] = self.config
        self.process = subprocess.Popen([PROGRAM, "platform"], cwd=ROOT, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL,
                                        env=environment)
        log.close()
        self.record.add(f"{self.name} is started")

    def signal(self, number):
        self.record.add(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def check(self):
        """Notes a process that ended by itself."""
        if self.process.poll() is not None:
            self.exits.append(self.process.returncode)

    async def ready(self):
        status, _ = await call(f"127.0.0.1:{self.ports['readiness']}", "GET",
                               "/readiness", timeout_s=1.0)
        return status == 200

    async def dump(self):
        status, body = await call(f"127.0.0.1:{self.ports['metrics']}", "GET", "/dump",
                                  timeout_s=2.0)
        return json.loads(body) if status == 200 else {}


def config(version=1, **route):
    """A manifest with one queue."""
    entry = {"name": ROUTE, "host": HOST, "pathPrefix": PREFIX,
             "type": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": 1000,
             "priority": 1, "backend": BACKEND, "maxAttempts": 4, "stretch": 2.2}
    entry.update(route)
    return {"version": version, "routes": [entry],
            "services": [{"name": BACKEND, "healthPath": "/health", "maxConns": 64,
                          "protocol": "h1", "tls": False, "admissionControl": False,
                          "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Submission:
    def __init__(self, job, body):
        self.job, self.body = job, body
        self.answers = []  # (when, VM, status)
        self.accepted_at = None
        self.state = None


class Cell:
    """A small deployment: store, executors and VMs, each in a zone of its own."""

    def __init__(self, folder, vms=3, executors=6, keep_s=300.0, **executor):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="azurespur-review-")
        self.store = Store(self.record, keep_s=keep_s)
        self.executors = [Executor(self.record, self.store, f"i-{n}", **executor)
                          for n in range(executors)]
        self.vms = [Vm(self.record, f"edge-z{n}-1", f"z{n}", self.store.address,
                       self.temporary.name) for n in range(1, vms + 1)]
        self.submissions = {}

    async def start(self, configuration=None):
        await self.store.start()
        self.store.put_config(configuration or config())
        for executor in self.executors:
            await executor.boot()
        for vm in self.vms:
            vm.start()
        await self.wait_ready()

    async def wait_ready(self, seconds=15.0):
        end = now() + seconds
        while now() < end:
            if all([await vm.ready() for vm in self.vms]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the VMs did not become ready")

    async def leader(self):
        for vm in self.vms:
            if vm.process.poll() is None and (await vm.dump()).get("leading"):
                return vm
        return None

    async def submit(self, steps, ms, vm=None, job=None, tries=5, timeout_s=3.0):
        """Submits as the pages say: repeats after no answer, 502, 503, 504, 429."""
        job = job or f"{random.getrandbits(64):016x}"
        body = json.dumps({"spec": json.dumps({"ms": ms}), "steps": steps}).encode()
        submission = self.submissions.setdefault(job, Submission(job, body))
        for _ in range(tries):
            target = vm or random.choice(self.vms)
            status, _ = await call(target.front, "POST", PREFIX + job, body,
                                   {"Deadline-Ms": str(int(timeout_s * 1000))},
                                   timeout_s)
            submission.answers.append((now(), target.name, status))
            self.record.add(f"POST {job} at {target.name}: {status}")
            if status is not None and 200 <= status < 300:
                submission.accepted_at = submission.accepted_at or now()
                break
            if status in (400, 404):
                break
            await asyncio.sleep(0.5)
        return submission

    async def state(self, job, vm=None, timeout_s=3.0):
        target = vm or random.choice(self.vms)
        status, body = await call(target.front, "GET", PREFIX + job, b"",
                                  {"Deadline-Ms": str(int(timeout_s * 1000))},
                                  timeout_s)
        state = json.loads(body).get("state") if status == 200 else None
        self.record.add(f"GET {job} at {target.name}: {status} {state}")
        return status, state

    async def cancel(self, job, vm=None, timeout_s=3.0):
        target = vm or random.choice(self.vms)
        status, _ = await call(target.front, "DELETE", PREFIX + job, b"",
                               {"Deadline-Ms": str(int(timeout_s * 1000))}, timeout_s)
        self.record.add(f"DELETE {job} at {target.name}: {status}")
        return status

    def accepted(self):
        return [s for s in self.submissions.values() if s.accepted_at is not None]

    def running_of(self, job):
        return [task for executor in self.executors if executor.up
                for task in executor.running if task.startswith(job + ".")]

    def history(self):
        """All runs, the present ones with no end: task, run, began, ended, how,
        executor, born."""
        runs = []
        for executor in self.executors:
            runs += [[*row[:5], executor, row[5]] for row in executor.history]
            if executor.up:
                runs += [[run.task, run.number, run.began, None, "running", executor,
                          executor.born]
                         for run in executor.running.values()]
        return sorted(runs, key=lambda row: row[2])

    async def stop(self):
        for vm in self.vms:
            if vm.process is not None:
                vm.check()
                if vm.process.poll() is None:
                    vm.process.send_signal(signal.SIGCONT)
                    vm.process.kill()
                    vm.process.wait()
        for executor in self.executors:
            if executor.up:
                await executor.crash()
        await self.store.http.stop()
        keep = os.environ.get("KEEP")
        if keep:
            for vm in self.vms:
                with open(os.path.join(self.temporary.name, vm.name + ".log"),
                          "rb") as source, \
                        open(os.path.join(keep, vm.name + ".log"), "wb") as target:
                    target.write(source.read())
        self.temporary.cleanup()
        self.record.close()
