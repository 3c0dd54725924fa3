"""Stand-ins of the second review: the platform's store, searchers, callers and the platform that
starts the gateways and ends those that exceed their memory. Standard library only; loopback only.

They behave as the users' pages say; a case switches single disruptions on."""

import asyncio
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAY = os.path.join(ROOT, "target/src/app/ebonywick")

HELD, BROKEN, CANNOT_RUN = 0, 1, 2

_used_ports = set()


def free_port(ip="127.0.0.1", kind=socket.SOCK_STREAM):
    """A port below the system's range for outgoing connections, so that none takes it later. Drawn
    at random, because another case may choose ports at the same moment."""
    while True:
        port = random.SystemRandom().randrange(12000, 32000)
        if port in _used_ports:
            continue
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        _used_ports.add(port)
        return port


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()


class Message:
    def __init__(self, first, fields, body=b""):
        self.first, self.fields, self.body = first, fields, body

    @property
    def status(self):
        return int(self.first.split()[1])

    def field(self, name, default=""):
        return next((v for n, v in self.fields if n == name.lower()), default)


async def read_message(reader, reply=False):
    """The next message; None at the end of the stream. Raises IncompleteReadError in between."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = [(n.strip().lower(), v.strip()) for n, v in
              (line.split(":", 1) for line in lines[1:] if line)]
    out = Message(lines[0], fields)
    length = out.field("content-length")
    if length:
        out.body = await reader.readexactly(int(length))
    elif "chunked" in out.field("transfer-encoding"):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            out.body += piece[:-2]
    elif reply:
        out.body = await reader.read(-1)
    return out


def encode(status, fields=(), body=b"", length=True):
    out = f"HTTP/1.1 {status} X\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields)
    if length:
        out += f"Content-Length: {len(body)}\r\n"
    return out.encode("latin-1") + b"\r\n" + body


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


class Store:
    """The platform's store: objects by kind and name, lists, watches and conditional writes."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.era = 1
        self.kinds = {}
        self.events = []
        self.down = None
        self.copy = None

    async def start(self, ip="127.0.0.1"):
        self.changed = asyncio.Condition()
        self.port = free_port(ip)
        self.address = f"{ip}:{self.port}"
        self.server = await asyncio.start_server(self._serve, ip, self.port, limit=1 << 22)

    async def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if old and old["spec"] == spec:
            return old
        if old and kind == "servers" and {**old["spec"], "sequence": 0} == {**spec, "sequence": 0}:
            # A report that changes nothing but its number is no change.
            old["spec"] = spec
            return old
        self.revision += 1
        objects[name] = {"meta": {"name": name, "revision": self.revision,
                                  "created": old["meta"]["created"] if old else self.revision,
                                  "finalizers": [], "deleting": False},
                         "spec": spec, "status": old["status"] if old else None}
        await self._event(kind, objects[name], False)
        return objects[name]

    async def delete(self, kind, name):
        gone = self.kinds.get(kind, {}).pop(name, None)
        if gone:
            self.revision += 1
            await self._event(kind, gone, True)
        return gone

    async def _event(self, kind, it, deleted):
        self.events.append((self.revision, kind, json.loads(json.dumps(it)), deleted))
        async with self.changed:
            self.changed.notify_all()

    def take_copy(self):
        self.copy = json.dumps([self.revision, self.kinds, [list(e) for e in self.events]])

    async def restore_copy(self):
        self.revision, self.kinds, events = json.loads(self.copy)
        self.events = [tuple(e) for e in events]
        self.era += 1

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                if self.down == "reset":
                    reset(writer)
                    return
                if self.down == "silent":
                    await asyncio.sleep(3600)
                if self.down == "busy":
                    status, body = 503, {}
                else:
                    status, body = await self._answer(request)
                writer.write(encode(status, [("Content-Type", "application/json"),
                                             ("Store-Era", self.era)], json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        method, target, _ = request.first.split()
        path, _, text = target.partition("?")
        query = dict(it.split("=", 1) for it in text.split("&") if it)
        parts = path.split("/")[3:]
        kind, name = parts[0], (parts[1] if len(parts) > 1 else None)
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name is None:
            items = [it for n, it in sorted(objects.items()) if n > query.get("after", "")]
            return 200, {"items": items[:500], "has_more": len(items) > 500, "at": self.revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "DELETE":
            return (200, await self.delete(kind, name) or {})
        body = json.loads(request.body)
        name = name or body["meta"]["name"]
        if method == "POST" and name in objects:
            return 409, objects[name]
        if method == "PUT" and name not in objects:
            return 404, {}
        if len(parts) > 2:
            objects[name]["status"] = body["status"]
            return 200, objects[name]
        return 200, await self.put(kind, name, body["spec"])

    async def _watch(self, kind, since, wait_ms):
        if since > self.revision:
            return 410, {}
        era, until = self.era, time.monotonic() + wait_ms / 1000
        while True:
            found = [e for e in self.events if e[0] > since and e[1] == kind]
            left = until - time.monotonic()
            if found or left <= 0 or era != self.era:
                return 200, {"events": [{"deleted": e[3], "object": e[2]} for e in found],
                             "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Searcher:
    """A searcher: slots, a queue, a connection limit, stamps, and reports to the store."""

    serial = itertools.count(1)

    def __init__(self, store, record, service, zone="z-a", slots=4, queue=24, work_s=0.02,
                 max_connections=76, body=lambda request: b"r" * 96, id_=None):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.slots, self.queue, self.work_s, self.body = slots, queue, work_s, body
        self.max_connections = max_connections
        self.id = id_ or f"i-{service}-{next(self.serial)}"
        self.running = self.waiting = self.connections = self.sequence = 0
        self.free = asyncio.Semaphore(slots)
        self.state = "ready"
        self.cold_ms = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.arrivals = []
        self.extra_fields = lambda request: []
        # A disruption: called in place of the answer to a request that has run.
        self.spoil = None
        self.refuse = lambda request: None
        self.writers = set()

    async def start(self, ip="127.0.0.1", port=None):
        self.ip, self.port = ip, port or free_port(ip)
        self.server = await asyncio.start_server(self._serve, ip, self.port, limit=1 << 20)
        await self.report()
        self.reporter = asyncio.create_task(self._report_often())

    async def report(self):
        self.sequence += 1
        await self.store.put("servers", self.id, {
            "backend": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "cold_remaining_ms": self.cold_ms, "sequence": self.sequence, "born": self.born})

    async def _report_often(self):
        while True:
            await asyncio.sleep(1.2)
            if not self.store.down:
                await self.report()

    async def crash(self):
        self.reporter.cancel()
        self.server.close()
        for it in list(self.writers):
            reset(it)

    async def _serve(self, reader, writer):
        if self.connections >= self.max_connections:
            reset(writer)
            return
        self.connections += 1
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                if not await self._handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, request, reader, writer):
        rid = request.field("x-request-id")
        named = [("X-Request-Id", rid)]
        if request.field("x-expect-instance") not in ("", self.id):
            writer.write(encode(421, named + [("X-Instance-Id", self.id)]))
            return True
        self.arrivals.append((time.monotonic(), rid))
        refusal = self.refuse(request)
        if refusal is not None:
            self.record(f"searcher {self.id} refuses {rid} {refusal}")
            writer.write(encode(503, named + [("X-Not-Executed", "1")] + refusal))
            return True
        if self.running >= self.slots and self.waiting >= self.queue:
            writer.write(encode(503, named + [("X-Not-Executed", "1")]))
            return True
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        self.running += 1
        self.runs.append((time.monotonic(), rid))
        self.record(f"searcher {self.id} runs {rid}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self.free.release()
        stamp = f"{self.id}.{rid}"
        fields = named + [("X-Server-Stamp", stamp), ("Keep-Alive", "timeout=15"),
                          ("X-Server-Load", f"{self.running},{self.waiting},{self.slots}")]
        fields += self.extra_fields(request)
        if self.spoil is not None and await self.spoil(self, request, fields, writer):
            return False
        writer.write(encode(200, fields, self.body(request)))
        await writer.drain()
        return True


class Gateway:
    """One machine of the system, started as the deploy file says."""

    def __init__(self, record, store, name, ip="127.0.0.1", zone="z-a", seeds=(), memory_mb=182,
                 descriptors=2870, share=0.17, more=""):
        self.record, self.name, self.memory_mb = record, name, memory_mb
        names = ["callers", "readiness", "directory", "control", "metrics"]
        self.ports = {it: free_port(ip) for it in names}
        self.ports["heartbeats"] = free_port(ip, socket.SOCK_DGRAM)
        self.ip, self.process, self.peak_mb, self.ends, self.stopping = ip, None, 0.0, [], False
        lines = [f'host: "{name}"', f'failure_domain: "{zone}"', f'store: "{store.address}"']
        lines += [f'{it}: "{ip}:{port}"' for it, port in self.ports.items()]
        self.control = f"{ip}:{self.ports['control']}"
        lines += ["seeds: [" + ",".join(f'"{it}"' for it in seeds) + "]",
                  f"processor_share: {share}", f"memory_mb: {memory_mb}",
                  f"max_descriptors: {descriptors}", "grace_s: 6", "extra_call_ratio: 0.2",
                  "extra_call_window_s: 10", "extra_call_slack: 113", "stale_keys: accept",
                  "log_level: info"]
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.settings = os.path.join(self.folder, "settings.yaml")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write("\n".join(lines) + "\n" + more)

    def start(self):
        self.log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen([GATEWAY, "gateway", "--settings", self.settings],
                                        cwd=ROOT, stdout=self.log, stderr=subprocess.STDOUT)
        self.record(f"gateway {self.name} started")
        self.watcher = asyncio.create_task(self._watch())

    def memory_now_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
                fields = dict(it.split(":", 1) for it in status)
            return int(fields["RssAnon"].split()[0]) / 1000
        except (OSError, KeyError):
            return 0.0

    async def _watch(self):
        """The platform: ends a process that exceeds its memory, and starts it again."""
        process, why = self.process, None
        while process.poll() is None:
            now = self.memory_now_mb()
            self.peak_mb = max(self.peak_mb, now)
            if now > self.memory_mb and why is None:
                why = f"ended by the platform: {now:.0f} MB of {self.memory_mb} MB"
                process.kill()
            await asyncio.sleep(0.01)
        if self.stopping:
            return
        self.ends.append(why or f"ended by itself with {process.returncode}")
        self.record(f"gateway {self.name} {self.ends[-1]}")
        await asyncio.sleep(0.5)
        self.start()

    async def ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                answer = await ask(self.ip, self.ports["readiness"],
                                   b"GET /ebonywick/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1)
                if answer and answer.status == 200:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    def stop(self, number=signal.SIGKILL):
        self.stopping = True
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)


    def end(self):
        self.stop()
        if self.process:
            self.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def ask(ip, port, request, seconds):
    """One request on a new connection: its answer, or None if the connection ends without one."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port, limit=1 << 22), 1)
    try:
        writer.write(request)
        return await asyncio.wait_for(read_message(reader, reply=True), seconds)
    except (ConnectionError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


def request_of(method, path, host, rid, deadline_ms, body=b"", more=()):
    fields = [("Host", host), ("X-Request-Id", rid), ("X-Deadline-Ms", deadline_ms), *more]
    if body or method != "GET":
        fields.append(("Content-Length", len(body)))
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields)
    return head.encode("latin-1") + b"\r\n" + body


class Callers:
    """Ordinary callers, each request on a new connection."""

    def __init__(self, record, host):
        self.record, self.host, self.answers = record, host, {}

    async def send(self, gateway, rid, path, deadline_ms, method="GET", body=b"", more=()):
        request = request_of(method, path, self.host, rid, deadline_ms, body, more)
        self.record(f"caller {rid} sends {method} {path}, {len(body)} bytes, to "
                    f"{gateway.name}")
        answer = None
        try:
            answer = await ask(gateway.ip, gateway.ports["callers"], request,
                               deadline_ms / 1000 + 2)
            outcome = str(answer.status) if answer else "closed without an answer"
        except (OSError, asyncio.TimeoutError) as error:
            outcome = f"no answer: {type(error).__name__}"
        self.answers[rid] = outcome
        self.record(f"caller {rid} gets {outcome}")
        return answer


class Kept:
    """A caller's connection that is kept open for several requests."""

    def __init__(self, record, callers, gateway):
        self.record, self.callers, self.gateway = record, callers, gateway

    async def open(self):
        try:
            self.reader, self.writer = await asyncio.open_connection(
                self.gateway.ip, self.gateway.ports["callers"], limit=1 << 22)
        except OSError:
            return None
        return self

    async def send(self, rid, path, deadline_ms, method="GET", body=b""):
        self.record(f"caller {rid} sends {method} {path}, {len(body)} bytes, to "
                    f"{self.gateway.name}")
        outcome = "closed without an answer"
        try:
            self.writer.write(request_of(method, path, self.callers.host, rid, deadline_ms, body))
            answer = await asyncio.wait_for(read_message(self.reader, reply=True),
                                            deadline_ms / 1000 + 2)
            if answer:
                outcome = str(answer.status)
        except asyncio.TimeoutError:
            outcome = "no answer in time"
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.callers.answers[rid] = outcome
        self.record(f"caller {rid} gets {outcome}")
        return outcome


def summary(record, gateways, callers):
    for it in gateways:
        record(f"gateway {it.name}: peak {it.peak_mb:.0f} MB of {it.memory_mb} MB, "
               f"ended {len(it.ends)} times")
    outcomes = list(callers.answers.values())
    record("callers: " + ", ".join(f"{outcomes.count(it)} {it}" for it in sorted(set(outcomes))))


def configuration(version, routes, services, max_connections=76, cold_per_s=0.0):
    return {"version": version, "routes": routes,
            "backends": [{"name": it, "health_check_path": "/health", "protocol": "h1",
                          "tls": False, "max_connections": max_connections, "cold_start_s": 3.0,
                          "cold_per_s": cold_per_s} for it in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def run(case):
    """Runs `case(record)`, which returns the exit status, for 115 s at most."""
    import resource
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    gateways = []

    async def main():
        try:
            return await asyncio.wait_for(case(record, gateways), 112)
        except asyncio.TimeoutError:
            record("case not ended in time")
        except Exception as error:  # pylint: disable=broad-except
            record(f"case failed: {error!r}")
        return CANNOT_RUN

    status = CANNOT_RUN
    loop = asyncio.new_event_loop()
    # Connections that end together with the case.
    loop.set_exception_handler(lambda _, context: None)
    if os.path.exists(GATEWAY):
        status = loop.run_until_complete(main())
    else:
        record("the gateway has not been built")
    for it in gateways:
        it.end()
    record(f"result: {['held', 'broken', 'could not run'][status]}, disruption "
           f"{'on' if TROUBLE else 'off'}")
    sys.stdout.flush()
    os._exit(status)
