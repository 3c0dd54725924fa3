"""Small stand-ins for the cases: the platform's store, searchers, consumers, and the gateways.

All of them use loopback addresses and free ports. The gateways are the project's own program,
started as separate processes with the command of deploy/system.toml and settings with the fields
of deploy/settings.yaml; only the path of the settings file differs. Everything else runs in the
event loop of the case.
"""
import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target/src/app/ebonywick")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 3  # after these the store removes the entry of a silent searcher
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run."""


def free_port(ip="127.0.0.1"):
    with socket.socket() as it:
        it.bind((ip, 0))
        return it.getsockname()[1]


class Record:
    """Writes record.txt in the folder of the case."""

    def __init__(self, folder):
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()
        self("trouble", "yes" if TROUBLE else "no")

    def __call__(self, *words):
        line = f"{time.monotonic() - self.started:8.3f} " + " ".join(str(it) for it in words)
        print(line, file=self.out, flush=True)


class Message:
    """A request or reply with its header fields (lower-case names) and body."""

    def __init__(self, start, fields, body):
        self.start, self.fields, self.body = start, fields, body

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])

    @property
    def id(self):
        return self.fields.get("x-request-id", "")


async def read_message(reader, bodyless=False):
    """Reads one message; None if the stream ends before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as ex:
        if ex.partial:
            raise ConnectionError(f"stream ended inside a header: {ex.partial!r}")
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = 0 if bodyless else int(fields.get("content-length", 0))
    body = await reader.readexactly(length)
    return Message(lines[0], fields, body)


def encode_reply(status, fields=(), body=b""):
    head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields)
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


class Store:
    """The platform's store: objects by kind and name, lists and watches."""

    def __init__(self, record):
        self.record = record
        self.kinds = {}  # kind -> name -> (revision, spec as JSON text)
        self.revision = 100
        self.history = []  # (revision, kind, name, spec as JSON text or None)
        self.changed = asyncio.Event()
        self.down = False

    async def start(self):
        self.port = free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def put(self, kind, name, spec):
        text = spec if isinstance(spec, str) else json.dumps(spec)
        self.revision += 1
        self.kinds.setdefault(kind, {})[name] = (self.revision, text)
        self.note(kind, name, text)

    def delete(self, kind, name):
        if self.kinds.get(kind, {}).pop(name, None):
            self.revision += 1
            self.note(kind, name, None)

    def note(self, kind, name, text):
        self.history.append((self.revision, kind, name, text))
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def encode_object(name, revision, spec):
        meta = json.dumps({"name": name, "revision": revision, "created": 1, "finalizers": [],
                           "deleting": False})
        return f'{{"meta":{meta},"spec":{spec if spec is not None else "{}"},"status":{{}}}}'

    async def serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self.answer(request)
                writer.write(encode_reply(status, [("Content-Type", "application/json")],
                                          body.encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        writer.close()

    async def answer(self, request):
        await asyncio.sleep(0.004)
        path, _, query = request.target.partition("?")
        parts = path.split("/")[3:]
        asked = dict(it.split("=", 1) for it in query.split("&") if it)
        kind = parts[0]
        items = self.kinds.setdefault(kind, {})
        if request.method == "GET" and "watch" in asked:
            return await self.watch(kind, int(asked["watch"]), int(asked.get("wait_ms", 0)))
        if request.method == "GET":
            names = sorted(it for it in items if it > asked.get("after", ""))
            page = ",".join(self.encode_object(it, *items[it]) for it in names[:500])
            more = "true" if len(names) > 500 else "false"
            return 200, f'{{"items":[{page}],"has_more":{more},"at":{self.revision}}}'
        document = json.loads(request.body or b"{}")
        name = document["meta"]["name"] if request.method == "POST" else parts[1]
        if request.method == "POST" and name in items:
            return 409, self.encode_object(name, *items[name])
        if request.method == "PUT" and name not in items:
            return 404, "{}"
        if request.method == "DELETE":
            self.delete(kind, name)
            return 200, "{}"
        self.put(kind, name, document.get("spec", {}))
        return 200, self.encode_object(name, *items[name])

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [it for it in self.history if it[0] > since and it[1] == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        text = ",".join(f'{{"object":{self.encode_object(name, revision, spec)},'
                        f'"deleted":{"true" if spec is None else "false"}}}'
                        for revision, _, name, spec in events)
        return 200, f'{{"events":[{text}],"at":{self.revision}}}'


class Searcher:
    """A searcher with its registration. `reply` may be replaced by the case: it gets the searcher,
    the request, and the connection's reader, writer and the number of requests before on it."""

    def __init__(self, record, store, name, service, zone="z-a", slots=4):
        self.record, self.store, self.name, self.service = record, store, name, service
        self.zone, self.slots = zone, slots
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.ran = []  # ids of requests that it began to work on
        self.reply = Searcher.reply_normally
        self.registered = True
        self.writers = set()

    async def start(self):
        self.port = free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.register()
        self.task = asyncio.ensure_future(self.heartbeats())

    def register(self):
        self.sequence += 1
        self.store.put("servers", self.name, {
            "backend": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born})

    async def heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.registered:
                self.register()

    def exit(self):
        """Ends: nothing listens any more, and its connections are closed."""
        self.record("exits:", self.name)
        self.registered = False
        self.server.close()
        for it in list(self.writers):
            it.close()

    def crash(self):
        """Ends without a word to the store."""
        self.record("crashes:", self.name)
        self.registered = False
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()
        self.lapse = asyncio.get_running_loop().call_later(
            SILENT_HEARTBEATS * HEARTBEAT_S, self.store.delete, "servers", self.name)

    async def restart(self):
        """Starts again under the same id and address, as a new lifetime."""
        self.record("starts again:", self.name)
        self.lapse.cancel()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.registered, self.sequence, self.born = True, 0, int(time.time() * 1000)
        self.register()

    async def serve(self, reader, writer):
        before = 0
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if request.fields.get("x-expect-instance", self.name) != self.name:
                    writer.write(encode_reply(421, [("X-Request-Id", request.id)]))
                    continue
                await self.reply(self, request, reader, writer, before)
                await writer.drain()
                before += 1
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        self.writers.discard(writer)
        writer.close()

    def run(self, request):
        """Notes that it has begun to work on a request; returns the fields of its reply."""
        self.ran.append(request.id)
        self.record("ran", request.id, request.method, request.target, "at", self.name)
        return [("X-Request-Id", request.id), ("X-Server-Stamp", f"{self.name}.{request.id}")]

    async def reply_normally(self, request, reader, writer, before):
        fields = self.run(request)
        await asyncio.sleep(0.01)
        writer.write(encode_reply(200, fields, f"answer to {request.id}".encode()))


class Gateway:
    def __init__(self, record, store, folder, number, seeds=(), zone="z-a", grace_s=6):
        ip = f"127.0.0.{number + 2}"
        self.record, self.name, self.folder = record, f"front-{number}", folder
        self.address = {it: f"{ip}:{free_port(ip)}" for it in
                        ("callers", "readiness", "directory", "control", "heartbeats", "metrics")}
        self.settings = os.path.join(folder, f"{self.name}.yaml")
        lines = {"host": self.name, "failure_domain": zone, **self.address,
                 "store": f"127.0.0.1:{store.port}", "seeds": list(seeds), "processor_share": 0.17,
                 "grace_s": grace_s, "extra_call_ratio": 0.2, "extra_call_window_s": 10,
                 "extra_call_slack": 113, "log_level": "info"}
        with open(self.settings, "w") as out:
            out.writelines(f"{key}: {json.dumps(value)}\n" for key, value in lines.items())

    def start(self):
        if not os.path.exists(PROGRAM):
            raise NotRun(f"{PROGRAM} is not built")
        with open(os.path.join(self.folder, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen([PROGRAM, "gateway", "--settings", self.settings],
                                            stdout=log, stderr=log, cwd=ROOT)
        self.record("started", self.name)

    def signal(self, kind):
        self.record("signal", kind.name, "to", self.name)
        self.process.send_signal(kind)

    def alive(self):
        return self.process.poll() is None

    async def ready(self):
        try:
            host, port = self.address["readiness"].split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /ebonywick/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            reply = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return reply is not None and reply.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.ready():
                self.record("ready", self.name)
                return
            await asyncio.sleep(0.1)
        raise NotRun(f"{self.name} did not become ready")

    async def connect(self, **options):
        host, port = self.address["callers"].split(":")
        return await asyncio.open_connection(host, int(port), **options)


def encode_request(method, path, id, budget_ms, body=None, host="site.example", fields=()):
    head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\n"
            f"X-Deadline-Ms: {budget_ms}\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields))
    if body is not None:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + (body or b"")


def route(name, prefix, service, kind="idempotent", timeout_ms=4000, latency_ms=600, attempts=3):
    return {"name": name, "hostname": "site.example", "path_prefix": prefix, "type": kind,
            "backend": service, "timeout_ms": timeout_ms, "target_latency_ms": latency_ms,
            "priority": 1, "attempts": attempts}


def manifest(version, routes, services, **limits):
    return {"version": version, "routes": routes,
            "backends": [{"name": it, "max_connections": 208, "health_check_path": "/health",
                          "cold_start_s": 3.0, "cold_per_s": 50.0} for it in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 20000, **limits}}


class Site:
    """The stand-ins and gateways of one case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="ebonywick-review-")
        self.store = Store(self.record)
        self.searchers, self.gateways = {}, []

    async def add_searcher(self, name, service, **options):
        it = Searcher(self.record, self.store, name, service, **options)
        await it.start()
        self.searchers[name] = it
        return it

    def add_gateway(self, **options):
        seeds = [it.address["control"] for it in self.gateways]
        it = Gateway(self.record, self.store, self.folder, len(self.gateways), seeds, **options)
        self.gateways.append(it)
        it.start()
        return it

    def end(self):
        for it in self.gateways:
            if it.alive():
                it.process.kill()
            it.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, limit_s=110):
    """Runs `case(site)`, which returns the list of broken promises, and exits."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    # Ends through main(), so that the gateways are ended too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))

    async def main():
        site = Site(folder)
        await site.store.start()
        try:
            return await asyncio.wait_for(case(site), limit_s), site
        finally:
            if os.environ.get("KEEP_LOG"):
                for it in site.gateways:
                    print(open(os.path.join(site.folder, it.name + ".log")).read()[-6000:])
            site.end()

    try:
        broken, site = asyncio.run(main())
    except Exception:  # also a fault of a stand-in, which says nothing about the rule
        traceback.print_exc()
        print("result: could not run")
        sys.exit(EXIT_NOT_RUN)
    for it in broken:
        site.record("broken:", it)
        print("broken:", it)
    site.record("result", "broken" if broken else "held")
    print("result:", "broken" if broken else "held")
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
