"""Runs a fleet on loopback: nodes with stand-ins for the searchers and the object store.

Used by scripts/history and scripts/bench. Example:

    with Fleet(base_port=24000) as fleet:
        fleet.start(nodes=3, shards=3, replicas=3)
        fleet.apply()
        fleet.wait_ready()
        fleet.store_admin(outage="refuse")
        fleet.searcher_admin(searcher="s0-r0", leaving=True)
        fleet.kill(2)

Only processes started here are ended, each by its id. Nodes are numbered from 1;
node N has the host id `entry-N`. Settings, logs and records are in fleet.folder.
"""
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


class FleetError(Exception):
    """The environment could not be started or controlled, so the run has no result."""


def boot_ns():
    """Time of CLOCK_BOOTTIME in nanoseconds, the clock of all records."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def request(port, method, path, body=None, headers=None, timeout=5.0):
    """Sends one HTTP request to loopback; returns (status, decoded JSON or else the text).
    Raises OSError or http.client.HTTPException if no reply comes."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        text = reply.read().decode(errors="replace")
        try:
            return reply.status, json.loads(text)
        except ValueError:
            return reply.status, text
    finally:
        connection.close()


class Fleet:
    """The processes of one fleet. It uses free ports from base_port upwards."""

    def __init__(self, build=None, base_port=24000, folder=None):
        self.build = pathlib.Path(build or os.environ.get("EBONYWICK_BUILD", ROOT / "build"))
        self.folder = pathlib.Path(folder or tempfile.mkdtemp(prefix="ebonywick-fleet-"))
        self.binary = self.build / "src/app/ebonywick"
        self.next_port = base_port
        self.processes = {}  # name -> Popen
        self.http_ports = {}  # node -> port
        self.services = []
        self.presets = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    # -- ports and processes ------------------------------------------------

    def free_ports(self, count=1):
        """Returns the first of `count` consecutive free ports. All are below the range of
        ephemeral ports (from 32768), so that no outgoing connection occupies them."""
        while True:
            first, self.next_port = self.next_port, self.next_port + count
            if first + count > 32768:
                raise FleetError("no free port left")
            if all(self._is_free(first + it) for it in range(count)):
                return first

    @staticmethod
    def _is_free(port):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
            return True

    def spawn(self, name, *command):
        """Starts a process and appends its output to folder/NAME.log."""
        if not pathlib.Path(command[0]).exists():
            raise FleetError(f"{command[0]} is not built")
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen([str(it) for it in command], stdin=subprocess.DEVNULL,
                                       stdout=log, stderr=log)
        self.processes[name] = process
        return process

    def stop(self):
        """Ends the processes that still run: nodes by SIGKILL, the others by SIGTERM so that
        they write their records."""
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL if name.startswith("entry-")
                                    else signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    # -- start --------------------------------------------------------------

    def start(self, nodes=3, shards=3, replicas=3, domains=("a", "b", "c"), slots=4,
              connections=75, cold_concurrency=1, service="katalog", orders_service=None,
              presets=None, least_coverage=1.0, yields="coverage", service_class="interactive",
              searcher_arguments=(), node_settings="", witness_domain=None):
        """Starts the store, the searchers of one service and the nodes.

        Replica J of a shard is in domains[J], node N in domains[N - 1], both modulo the
        number of domains. `presets` maps names to policy values as in the declaration.
        `searcher_arguments` are more options of the searcher stand-in, `node_settings`
        more lines of each node's settings.
        """
        self.domains = list(domains)
        self.start_store()
        self.add_service(service, shards, replicas, slots, connections, cold_concurrency,
                         least_coverage, yields, service_class, searcher_arguments)
        if orders_service:
            self.add_service(orders_service, shards, replicas, slots, connections,
                             cold_concurrency, least_coverage, yields, service_class,
                             searcher_arguments)
        self.presets = presets or {
            "ordinary": {"deadline_ms": 500},
            "peak": {"deadline_ms": 300, "batch_limit": 16},
            "maintenance": {"deadline_ms": 500, "domains_out": [self.domains[-1]]},
        }
        self.node_ports = {it: self.free_ports(3) for it in range(1, nodes + 1)}
        self.http_ports = {it: first for it, first in self.node_ports.items()}
        self.node_settings = node_settings
        for node in self.node_ports:
            self.start_node(node)

    def start_store(self):
        self.store_port = self.free_ports(2)
        self.store_record = self.folder / "store.jsonl"
        self.spawn("store", self.build / "tests/standins/store/ebonywick-store-standin",
                   "--port", self.store_port, "--admin-port", self.store_port + 1,
                   "--record", self.store_record)
        self.wait_port(self.store_port)

    def add_service(self, name, shards, replicas, slots=4, connections=75, cold_concurrency=1,
                    least_coverage=1.0, yields="coverage", service_class="interactive",
                    searcher_arguments=()):
        """Starts the searchers of a service and adds it to the declaration. Replica J of
        shard I is `sI-rJ`. In the declaration the ids of any service but the first begin
        with its name and `-`; the stand-in still calls these searchers `sI-rJ`."""
        first = self.free_ports(shards * replicas)
        admin = self.free_ports(1)
        record = self.folder / f"searchers-{name}.jsonl"
        self.spawn(f"searchers-{name}",
                   self.build / "tests/standins/upstream/ebonywick-upstream-standin",
                   "--base-port", first, "--shards", shards, "--replicas", replicas,
                   "--admin-port", admin, "--slots", slots, "--connections", connections,
                   "--cold-concurrency", cold_concurrency, "--record", record,
                   *searcher_arguments)
        self.wait_port(admin)
        prefix = f"{name}-" if self.services else ""
        maps = [{"epoch": 1, "shards": [
            {"name": f"s{shard}", "replicas": [
                {"id": f"{prefix}s{shard}-r{it}",
                 "address": f"127.0.0.1:{first + shard * replicas + it}",
                 "failure_domain": self.domains[it % len(self.domains)], "slots": slots,
                 "connections": connections, "cold_concurrency": cold_concurrency}
                for it in range(replicas)]}
            for shard in range(shards)]}]
        self.services.append({"name": name, "class": service_class, "yields_first": yields,
                              "least_coverage": least_coverage, "shard_maps": maps,
                              "_admin": admin, "_record": str(record), "_prefix": prefix})

    def start_node(self, node):
        """Starts node N, for the first time or again after kill() or drain()."""
        first = self.node_ports[node]
        seeds = [f"127.0.0.1:{it + 1}" for it in self.node_ports.values()]
        settings = self.folder / f"entry-{node}.yaml"
        settings.write_text("\n".join([
            f"host: entry-{node}",
            f"failure_domain: {self.domains[(node - 1) % len(self.domains)]}",
            f"http: 127.0.0.1:{first}",
            f"control: 127.0.0.1:{first + 1}",
            f"dispatch: 127.0.0.1:{first + 2}",
            f"store: 127.0.0.1:{self.store_port}",
            f"seeds: {json.dumps(seeds)}",
            self.node_settings, ""]))
        return self.spawn(f"entry-{node}", self.binary, "serve", "--settings", settings)

    def wait_port(self, port, limit=15.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            with socket.socket() as probe:
                if probe.connect_ex(("127.0.0.1", port)) == 0:
                    return
            time.sleep(0.02)
        raise FleetError(f"nothing listens on port {port} after {limit} s")

    # -- operator commands --------------------------------------------------

    def declaration(self, preset="ordinary"):
        """The declaration as JSON, which is valid YAML."""
        services = [{key: value for key, value in it.items() if not key.startswith("_")}
                    for it in self.services]
        return json.dumps({"services": services, "presets": self.presets,
                           "preset_in_force": preset}, indent=1)

    def run_operator_command(self, *arguments, timeout=20.0):
        """Runs an operator subcommand; returns (exit code, output)."""
        completed = subprocess.run([str(self.binary), *arguments, "--store",
                                    f"127.0.0.1:{self.store_port}"], text=True,
                                   timeout=timeout, capture_output=True, check=False)
        return completed.returncode, completed.stdout + completed.stderr

    def apply(self, preset="ordinary"):
        path = self.folder / "services.yaml"
        path.write_text(self.declaration(preset))
        code, text = self.run_operator_command("apply", str(path))
        if code != 0:
            raise FleetError(f"apply failed with {code}: {text}")
        return text

    def preset(self, name):
        """Switches the preset; returns (exit code, output)."""
        return self.run_operator_command("preset", name)

    # -- state --------------------------------------------------------------

    def status(self, node, timeout=2.0):
        """Returns the reply of node N to GET /v1/status, or None without a good reply."""
        try:
            code, body = request(self.http_ports[node], "GET", "/v1/status", timeout=timeout)
        except (OSError, http.client.HTTPException):
            return None
        return body if code == 200 and isinstance(body, dict) else None

    def is_ready(self, node):
        try:
            return request(self.http_ports[node], "GET", "/readyz", timeout=2.0)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_ready(self, nodes=None, limit=30.0):
        """Waits until the nodes (default: all) are ready. Raises FleetError after `limit`
        seconds."""
        waiting = list(nodes or self.http_ports)
        end = time.monotonic() + limit
        while waiting and time.monotonic() < end:
            waiting = [it for it in waiting if not self.is_ready(it)]
            if waiting:
                time.sleep(0.05)
        if waiting:
            raise FleetError(f"nodes {waiting} are not ready after {limit} s; see {self.folder}")

    def wait_witnesses(self, count, limit=30.0):
        """Waits until the roster names `count` witnesses and no change of witnesses is in
        progress; they are appointed one at a time. Raises FleetError after `limit` seconds."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                code, roster = request(next(iter(self.http_ports.values())), "GET",
                                       "/v1/control/config?kind=roster", timeout=2.0)
            except (OSError, http.client.HTTPException):
                code, roster = 0, None
            if (code == 200 and len(roster["witnesses"]) >= count
                    and not roster["previous_witnesses"]):
                return
            time.sleep(0.1)
        raise FleetError(f"the roster names fewer than {count} witnesses after {limit} s")

    # -- faults -------------------------------------------------------------

    def store_admin(self, **command):
        """Sets faults of the store stand-in: outage=off|refuse|hang, late_effect, slow_ms,
        lose_replies, lose_prefix, stale_reads, seed, reset_stats."""
        return self._admin(self.store_port + 1, command)

    def searcher_admin(self, service=None, **command):
        """Sends a command to the searchers of a service (default: the first one)."""
        return self._admin(self._service(service)["_admin"], command)

    def searcher_stats(self, service=None):
        return request(self._service(service)["_admin"], "GET", "/admin/stats")[1]

    def store_stats(self):
        return request(self.store_port + 1, "GET", "/admin/stats")[1]

    def _service(self, name):
        return next(it for it in self.services if name is None or it["name"] == name)

    @staticmethod
    def _admin(port, command):
        code, body = request(port, "POST", "/admin", json.dumps(command))
        if code != 200:
            raise FleetError(f"admin command {command} failed: {code} {body}")
        return body

    def signal_node(self, node, signal_number):
        process = self.processes[f"entry-{node}"]
        if process.poll() is None:
            process.send_signal(signal_number)

    def kill(self, node):
        """Kills node N and waits until it has ended."""
        self.signal_node(node, signal.SIGKILL)
        self.processes[f"entry-{node}"].wait(10)

    def pause(self, node):
        self.signal_node(node, signal.SIGSTOP)

    def resume(self, node):
        self.signal_node(node, signal.SIGCONT)

    def drain(self, node, limit=20.0):
        """Ends node N by SIGTERM, on which it drains; returns its exit code. Raises
        FleetError after `limit` seconds."""
        self.signal_node(node, signal.SIGTERM)
        try:
            return self.processes[f"entry-{node}"].wait(limit)
        except subprocess.TimeoutExpired as error:
            raise FleetError(f"node {node} did not drain within {limit} s") from error

    def restart(self, node):
        """Kills node N and starts it again."""
        self.kill(node)
        return self.start_node(node)

    def records(self):
        """Paths of the records that exist: of the store, the searchers and the load tool."""
        files = [self.store_record, *(pathlib.Path(it["_record"]) for it in self.services)]
        return [it for it in files if it.exists()] + sorted(self.folder.glob("load*.jsonl"))


def seeded_random(seed):
    """Returns the random generator of a fault schedule."""
    return random.Random(seed)
