"""Benchmarks of the control plane: config, domain, cold, drain, outage, control.

Each function starts its fleets on ports from 28000 upwards, ends them and returns the
figures of section 11 of docs/design.md. Absolute times depend on the other load of the
machine, so each result includes the load average.
"""
import datetime
import http.client
import json
import os
import sys
import threading
import time

from fleet import Fleet, FleetError, boot_ns, request

BASE_PORT = 28000
SERVICE = "katalog"
# Outcomes of the load tool for requests that got no complete, valid reply of a host.
NO_REPLY_OUTCOMES = ("cut", "no_reply", "timed_out", "invalid")


def milliseconds(nanoseconds):
    return round(nanoseconds / 1e6, 1)


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def result(name, baseline, value, **more):
    """Returns the fields that all benchmarks have; `more` adds fields and overrides them."""
    return {"name": name, "baseline": baseline, "value": value,
            "ratio": round(value / baseline, 3) if baseline else None, "extra_load": 0.0,
            "coverage_min": None, "wrong": 0, **more,
            "load_average": round(os.getloadavg()[0], 1)}


def new_fleet(after=None):
    """Creates a fleet and prints its folder of logs and records to standard error. Its ports
    follow those of the fleet `after`, which may not have bound all of its own yet."""
    fleet = Fleet(base_port=after.next_port if after else BASE_PORT)
    print(f"fleet in {fleet.folder}", file=sys.stderr)
    return fleet


def wait_serving(fleet, nodes=None, limit=30.0):
    """Waits until the nodes (default: all) are ready and every node lists them as entry
    hosts. Readiness alone means a current configuration; a host is listed once it also
    serves callers, for which it needs a lease."""
    fleet.wait_ready(nodes, limit)
    wanted = {f"entry-{it}" for it in nodes or fleet.http_ports}
    end = time.monotonic() + limit
    waiting = dict(fleet.http_ports)
    while waiting:
        if time.monotonic() > end:
            raise FleetError(f"nodes {list(waiting)} do not list {wanted}; see {fleet.folder}")
        node, port = waiting.popitem()
        code, body = request(port, "GET", "/v1/entry-hosts", headers={"X-Caller": "bench"})
        if code != 200 or not wanted <= {it["id"] for it in body["hosts"]}:
            waiting = {node: port, **waiting}
            time.sleep(0.05)


def wait_witnesses(fleet, count, limit):
    """Waits until the roster names `count` witnesses and no change of witnesses is in
    progress; they are appointed one at a time. Returns False after `limit` seconds."""
    end = time.monotonic() + limit
    while True:
        roster = request(fleet.http_ports[1], "GET", "/v1/control/config?kind=roster")[1]
        if len(roster["witnesses"]) >= count and not roster["previous_witnesses"]:
            return True
        if time.monotonic() > end:
            return False
        time.sleep(0.1)


class LoadRun:
    """One run of the load tool, which records all requests."""

    def __init__(self, fleet, seconds, rate, connections=16, name="load", deadline_ms=1000):
        self.name = name
        self.fleet = fleet
        self.record = fleet.folder / f"{name}.jsonl"
        hosts = [it for port in fleet.http_ports.values()
                 for it in ("--host", f"127.0.0.1:{port}")]
        self.process = fleet.spawn(
            name, fleet.build / "src/tools/load/ebonywick-load", *hosts, "--service", SERVICE,
            "--rate", rate, "--connections", connections, "--deadline-ms", deadline_ms,
            "--duration-ms", int(seconds * 1000), "--record", self.record)

    def report(self, limit=60.0):
        """Waits for the end of the run and returns the report of its only stream."""
        if self.process.wait(limit) != 0:
            raise FleetError(f"the load tool failed; see {self.fleet.folder}/{self.name}.log")
        text = (self.fleet.folder / f"{self.name}.log").read_text().strip().splitlines()[-1]
        (stream,) = json.loads(text)["streams"].values()
        return stream

    def requests(self):
        with open(self.record, encoding="utf-8") as lines:
            return [json.loads(it) for it in lines]


def load_summary(report):
    """The counts of a load report that a benchmark's result includes."""
    return {"sent": report["sent"], "answered": report["answered"],
            "not_answered": report["sent"] - report["answered"], "kinds": report["kinds"],
            "ends": {it: report[it] for it in (*NO_REPLY_OUTCOMES, "not_run", "unknown", "no_host",
                                               "connect_failed") if report[it]},
            "failed_connections": report["failed_connections"], "wrong": report["wrong"],
            "coverage_min": report["coverage_min"]}


def p99_between(requests, begin, end):
    """99th percentile of the latency in ms, over the answered requests whose intended start
    is in [begin, end)."""
    return round(quantile([(it["end"] - it["intended"]) / 1e6 for it in requests
                           if it["outcome"] == "answered" and begin <= it["intended"] < end],
                          0.99), 2)


class VersionWatch:
    """Polls config_version of all nodes, each with its own thread and connection."""

    def __init__(self, fleet, pause=0.02):
        self.seen = {it: [] for it in fleet.http_ports}  # node -> [(boot_ns, version)]
        self.reverts = 0
        self.stopped = False
        self.threads = [threading.Thread(target=self._poll, args=(node, port, pause))
                        for node, port in fleet.http_ports.items()]
        for it in self.threads:
            it.start()

    def _poll(self, node, port, pause):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=2.0)
        last = 0
        while not self.stopped:
            try:
                connection.request("GET", "/v1/status")
                version = json.loads(connection.getresponse().read())["config_version"]
            except (OSError, http.client.HTTPException, ValueError):
                connection.close()
                time.sleep(pause)
                continue
            if version < last:
                self.reverts += 1
            if version != last:
                self.seen[node].append((boot_ns(), version))
            last = version
            time.sleep(pause)

    def in_force_since(self, version):
        """Time at which the last node adopted the version; None if a node has not yet."""
        times = [next((at for at, it in self.seen[node] if it >= version), None)
                 for node in self.seen]
        return None if None in times else max(times)

    def wait(self, version, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            at = self.in_force_since(version)
            if at is not None:
                return at
            time.sleep(0.005)
        return None

    def stop(self):
        self.stopped = True
        for it in self.threads:
            it.join()


def write_config(fleet, change):
    """Changes the stored configuration by a conditional write, without pushing it to a
    host. Returns (version, content, time of acceptance)."""
    connection = http.client.HTTPConnection("127.0.0.1", fleet.store_port, timeout=5.0)
    connection.request("GET", "/objects/ebonywick/config")
    reply = connection.getresponse()
    version = reply.getheader("ETag")
    content = json.loads(reply.read())
    change(content)
    content["change_ids"] = [f"bench-{boot_ns()}", *content["change_ids"]][:16]
    text = json.dumps(content)
    connection.request("PUT", "/objects/ebonywick/config", text, {"If-Match": version})
    reply = connection.getresponse()
    reply.read()
    accepted = boot_ns()
    connection.close()
    if reply.status not in (200, 201):
        raise FleetError(f"conditional write refused: {reply.status}")
    return int(reply.getheader("ETag").strip('"')), text, accepted


def push_config(port, version, text):
    code, body = request(port, "POST", "/v1/control/config", text,
                         {"X-Object-Kind": "config", "X-Object-Version": str(version)})
    if code != 200:
        raise FleetError(f"push refused: {code} {body}")


def bench_config():
    """100 changes at 16 nodes under load: worst time until in force everywhere, reverts."""
    # operator: the `preset` subcommand, which also pushes the change to hosts.
    # store: a conditional write only, so the change spreads by the witnesses' watches and
    # by forwarding between hosts.
    # outage: the store goes down right after the write, and the operator reaches one host.
    kinds = ["operator"] * 30 + ["store"] * 60 + ["outage"] * 10
    times = {"operator": [], "store": [], "outage": []}
    missed = 0
    with new_fleet() as fleet:
        fleet.start(nodes=16, shards=4, replicas=3)
        fleet.apply()
        wait_serving(fleet, limit=30)
        load = LoadRun(fleet, 30, rate=40)
        watch = VersionWatch(fleet)
        begin = time.monotonic()
        try:
            for number, kind in enumerate(kinds):
                time.sleep(max(0.0, begin + number * 0.28 - time.monotonic()))
                if time.monotonic() - begin > 35:
                    break
                name = ("peak", "ordinary")[number % 2]

                def switch(content, name=name):
                    content["preset_in_force"] = name

                if kind == "operator":
                    accepted = boot_ns()
                    code, text = fleet.preset(name)
                    if code != 0:
                        raise FleetError(f"preset failed: {text}")
                    version = int(text.split("version")[1].split()[0])
                else:
                    version, text, accepted = write_config(fleet, switch)
                if kind == "outage":
                    fleet.store_admin(outage="refuse")
                    push_config(fleet.http_ports[number % 16 + 1], version, text)
                at = watch.wait(version, 5.0)
                if kind == "outage":
                    fleet.store_admin(outage="off")
                if at is None:
                    missed += 1
                    times[kind].append(5e9)
                else:
                    times[kind].append(at - accepted)
        finally:
            watch.stop()
        report = load.report()
    all_times = [it for kind in times.values() for it in kind]
    return result("config", 3000, milliseconds(max(all_times)), wanted=1000, changes=len(all_times),
                  not_in_force_in_5_s=missed, reverts=watch.reverts,
                  median={it: milliseconds(quantile(times[it], 0.5)) for it in times},
                  worst={it: milliseconds(max(times[it], default=0)) for it in times},
                  **load_summary(report))


def bench_domain():
    """A preset switch takes a failure domain out and another puts it back, under load."""
    cold_limit = 1
    with new_fleet() as fleet:
        fleet.start(nodes=6, shards=6, replicas=3, cold_concurrency=cold_limit,
                    searcher_arguments=("--delay-us", 5000, "--warm-after", 100))
        fleet.apply()
        wait_serving(fleet)
        load = LoadRun(fleet, 30, rate=150, connections=32)
        time.sleep(8)  # the searchers become warm
        out = boot_ns()
        fleet.searcher_admin(replica=2, reset_stats=True)
        if fleet.preset("maintenance")[0] != 0:
            raise FleetError("preset failed")
        time.sleep(10)
        domain = [it for it in fleet.searcher_stats() if it["searcher"].endswith("-r2")]
        last_call = max(it["last_start_ms"] for it in domain)
        fleet.searcher_admin(replica=2, restart=True)
        fleet.searcher_admin(replica=2, reset_stats=True)
        back = boot_ns()
        if fleet.preset("ordinary")[0] != 0:
            raise FleetError("preset failed")
        report = load.report()
        requests = load.requests()
        domain = [it for it in fleet.searcher_stats() if it["searcher"].endswith("-r2")]
    first = min(it["intended"] for it in requests) + int(4e9)
    before = p99_between(requests, first, out)
    return result("domain", before, p99_between(requests, out, back + int(10e9)),
                  p99_out=p99_between(requests, out, back),
                  p99_return=p99_between(requests, back, back + int(10e9)),
                  last_call_ms=round(last_call, 1), last_call_target_ms=3000,
                  most_cold=max(it["most_concurrent_cold"] for it in domain),
                  cold_limit=cold_limit, collapses=sum(it["collapses"] for it in domain),
                  calls_after_return=sum(it["started"] for it in domain), **load_summary(report))


def single_node_fleets(count, searchers):
    """Starts `count` fleets of one node, each with its own store, which share the searchers
    of the fleet `searchers` but do not know of each other."""
    fleets = []
    for _ in range(count):
        fleet = new_fleet(after=fleets[-1] if fleets else searchers)
        fleet.domains = searchers.domains
        fleet.services = searchers.services
        fleet.presets = searchers.presets
        fleet.start_store()
        fleet.node_ports = {1: fleet.free_ports(3)}
        fleet.http_ports = {1: fleet.node_ports[1]}
        fleet.node_settings = ""
        fleet.start_node(1)
        fleets.append(fleet)
    return fleets


def time_to_limit_one_ms(fleet, searcher, since):
    """Time from `since` (wall clock) until a node of the fleet lowered the concurrency
    limit of the searcher to 1, taken from the logs; None if no node did."""
    times = []
    for path in fleet.folder.glob("entry-*.log"):
        for line in path.read_text().splitlines():
            if f"event=limit_changed searcher={searcher} limit=1 " in line:
                at = datetime.datetime.fromisoformat(line.split()[0].removeprefix("time="))
                times.append(at.timestamp() - since)
    return min((round(1000 * it) for it in times if it >= 0), default=None)


def observe_cold_searcher(fleet, searcher, reported):
    """Turns a searcher cold under load and returns its statistics of the 2 s after the
    fleet can detect it: after the first reply or health report that says so, or after
    three slow replies if the searcher reports that it is warm."""
    def stats():
        return next(it for it in fleet.searcher_stats() if it["searcher"] == searcher)

    fleet.searcher_admin(searcher=searcher, reset_stats=True)
    fleet.searcher_admin(searcher=searcher, reports_cold=reported)
    turned = time.time()
    fleet.searcher_admin(searcher=searcher, cold=True)
    replies = stats()["completed"] + (1 if reported else 3)
    # Health is polled every 500 ms.
    end = time.monotonic() + (0.6 if reported else 3.0)
    while time.monotonic() < end and stats()["completed"] < replies:
        time.sleep(0.005)
    time.sleep(0.05)
    fleet.searcher_admin(searcher=searcher, reset_stats=True)
    time.sleep(2.0)
    return {**stats(), "limit_drop_ms": time_to_limit_one_ms(fleet, searcher, turned)}


def bench_cold():
    """A searcher turns cold under load: most calls at once, one holder against 8 hosts."""
    count = 8
    cold_limit = 1
    statistics = {}
    reports = {}
    with new_fleet() as fleet:
        # A searcher that reports to be cold stays cold during the whole observation. One
        # that reports to be warm becomes warm before its holder has seen 32 good replies.
        fleet.start(nodes=count, shards=4, replicas=3, cold_concurrency=cold_limit,
                    searcher_arguments=("--delay-us", 20000, "--warm-after", 30))
        separate_fleets = single_node_fleets(count, fleet)
        try:
            for it in (fleet, *separate_fleets):
                it.apply()
            for it in (fleet, *separate_fleets):
                wait_serving(it)
            for variant, fleets in (("separate", separate_fleets), ("ebonywick", [fleet])):
                # About 80 % of 48 slots at 20 ms, four calls a query.
                rate = 450 / len(fleets)
                fleet.searcher_admin(cold=False)
                loads = [LoadRun(it, 12, rate=rate, connections=64 // len(fleets) + 8, name=variant)
                         for it in fleets]
                time.sleep(4)  # the concurrency limits ramp up
                statistics[variant] = {"said": observe_cold_searcher(fleet, "s0-r0", True),
                                       "slow": observe_cold_searcher(fleet, "s1-r0", False)}
                reports[variant] = [it.report() for it in loads]
                if variant == "ebonywick":
                    hosts = len({it["host"] for it in loads[0].requests()})
                for it in fleets:
                    if variant == "separate":
                        it.kill(1)
        finally:
            for it in separate_fleets:
                it.stop()
    most = {variant: {case: stats["most_concurrent_cold"] for case, stats in cases.items()}
            for variant, cases in statistics.items()}
    (report,) = reports["ebonywick"]
    return result("cold", max(most["separate"].values()), max(most["ebonywick"].values()),
                  cold_limit=cold_limit, most_at_once=most, hosts_sending=hosts,
                  limit_drop_ms={case: stats["limit_drop_ms"]
                                 for case, stats in statistics["ebonywick"].items()},
                  cold_calls={variant: {case: stats["started"] for case, stats in cases.items()}
                              for variant, cases in statistics.items()},
                  collapses={variant: {case: stats["collapses"] for case, stats in cases.items()}
                             for variant, cases in statistics.items()},
                  p99_ms=report["latency_ms"]["p99"],
                  p99_separate_ms=max(it["latency_ms"]["p99"] for it in reports["separate"]),
                  answered_separate=sum(it["answered"] for it in reports["separate"]),
                  sent_separate=sum(it["sent"] for it in reports["separate"]),
                  **load_summary(report))


def bench_drain():
    """A rolling restart of all nodes under load, with callers that keep their host list."""
    nodes = 3
    drains, restarts, codes = [], [], []
    with new_fleet() as fleet:
        fleet.start(nodes=nodes, shards=4, replicas=3,
                    searcher_arguments=("--delay-us", 3000, "--warm-after", 100))
        fleet.apply()
        wait_serving(fleet)
        load = LoadRun(fleet, 42, rate=100, connections=16)
        time.sleep(5)
        begin = boot_ns()
        for node in range(1, nodes + 1):
            started = boot_ns()
            codes.append(fleet.drain(node))
            drains.append(milliseconds(boot_ns() - started))
            started = boot_ns()
            fleet.start_node(node)
            if node < nodes:
                wait_serving(fleet, [node], limit=20)
                restarts.append(milliseconds(boot_ns() - started))
        finished = boot_ns()
        load.report()
        requests = load.requests()
    outcomes = [it["outcome"] for it in requests]
    first = min(it["intended"] for it in requests)
    return result("drain", p99_between(requests, first + int(1e9), begin),
                  p99_between(requests, begin, finished), sent=len(outcomes),
                  cut=sum(outcomes.count(it) for it in NO_REPLY_OUTCOMES),
                  not_run=outcomes.count("not_run"), unknown=outcomes.count("unknown"),
                  failed_connections=outcomes.count("connect_failed"),
                  exit_codes=codes, drain_ms=drains, ready_again_ms=restarts,
                  wrong=sum("wrong" in it for it in requests),
                  coverage_min=min((it["merged"] / it["total"] for it in requests
                                    if it["outcome"] == "answered"), default=None))


def metrics(port):
    """Returns the samples of GET /metrics that have no labels."""
    code, text = request(port, "GET", "/metrics", timeout=3.0)
    if code != 200:
        raise FleetError(f"/metrics replied {code}")
    lines = [it.split() for it in text.splitlines() if it and it[0] != "#" and "{" not in it]
    return {it[0]: float(it[1]) for it in lines if len(it) == 2}


class StoreCallRate(threading.Thread):
    """Counts the store calls of all nodes every second, with those that an outage refuses."""

    def __init__(self, fleet):
        super().__init__()
        self.fleet = fleet
        self.rates = []  # (boot_ns, calls since the previous sample)
        self.stopped = False
        self.start()

    def run(self):
        last = {}
        while not self.stopped:
            calls = 0
            for node, port in self.fleet.http_ports.items():
                try:
                    now = metrics(port)["ebonywick_store_calls"]
                except (OSError, http.client.HTTPException, FleetError):
                    continue
                before = last.get(node, now)
                # The counter of a restarted node begins at zero.
                calls += now - before if now >= before else now
                last[node] = now
            self.rates.append((boot_ns(), calls))
            time.sleep(1.0)

    def between(self, begin, end):
        rates = [calls for at, calls in self.rates if begin < at <= end]
        return {"mean": round(sum(rates) / len(rates), 1) if rates else None,
                "most": max(rates, default=None)}


def bench_outage():
    """The store is unavailable for 30 s, during which one node is killed and restarted."""
    with new_fleet() as fleet:
        fleet.start(nodes=5, shards=4, replicas=3,
                    searcher_arguments=("--delay-us", 3000, "--warm-after", 100))
        fleet.apply()
        wait_serving(fleet)
        # With fewer than three witnesses, the loss of one host loses the majority.
        if not wait_witnesses(fleet, 3, 15):
            raise FleetError("fewer than three witnesses after 15 s")
        load = LoadRun(fleet, 35, rate=60)
        calls = StoreCallRate(fleet)
        time.sleep(2.5)
        begin = boot_ns()
        fleet.store_admin(outage="refuse")
        time.sleep(8)
        killed_at = boot_ns()
        fleet.kill(5)
        time.sleep(0.5)
        fleet.start_node(5)
        started = boot_ns()
        wait_serving(fleet, [5], limit=20)
        ready_ms = milliseconds(boot_ns() - started)
        # In the second half of the outage the store accepts connections but never replies.
        time.sleep(max(0.0, 16 - (boot_ns() - begin) / 1e9))
        fleet.store_admin(outage="hang")
        time.sleep(max(0.0, 30 - (boot_ns() - begin) / 1e9))
        fleet.store_admin(outage="off", reset_stats=True)
        over = boot_ns()
        time.sleep(2.5)
        calls.stopped = True
        calls.join()
        after = fleet.store_stats()
        load.report()
        requests = load.requests()
        killed = f"127.0.0.1:{fleet.http_ports[5]}"
    # A request is lost if the last of its attempts was not answered.
    last = {it["query"]: it for it in requests}
    lost = [it for it in last.values() if it["outcome"] != "answered"]
    by_kill = [it for it in lost if it["host"] == killed and it["start"] <= killed_at <= it["end"]]
    kinds = {}
    for it in lost:
        kind = f"{it['outcome']} {it.get('kind', '')}".strip()
        kinds[kind] = kinds.get(kind, 0) + 1
    first = min(it["intended"] for it in requests)
    during = calls.between(begin, over)
    before = calls.between(0, begin)
    return result("outage", before["mean"], during["mean"], sent=len(last),
                  lost=len(lost) - len(by_kill), cut_by_kill=len(by_kill), lost_kinds=kinds,
                  lost_at_ms=[milliseconds(it["start"] - begin) for it in lost[:10]],
                  p99_before_ms=p99_between(requests, first, begin),
                  p99_during_ms=p99_between(requests, begin, over), restart_ready_ms=ready_ms,
                  calls_before=before, calls_during=during,
                  calls_after=calls.between(over, boot_ns()),
                  most_after_at_store=max((it["reads"] + it["writes"] + it["watches"]
                                           for it in after["per_second"]), default=0),
                  wrong=sum("wrong" in it for it in requests),
                  coverage_min=min((it["merged"] / it["total"] for it in requests
                                    if it["outcome"] == "answered"), default=None))


def process_usage(pid):
    """Returns the processor time in s and the resident memory in MB of a process."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    seconds = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return seconds, int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def fleet_usage(fleet):
    """Returns (time of the sample, sums over the nodes of the fleet)."""
    sums = {"cpu": 0.0, "rss": 0.0, "control_cpu": 0.0, "sent": 0.0, "received": 0.0, "calls": 0.0}
    at = time.monotonic()
    for node, port in fleet.http_ports.items():
        seconds, resident = process_usage(fleet.processes[f"entry-{node}"].pid)
        values = metrics(port)
        sums["cpu"] += seconds
        sums["rss"] += resident
        sums["control_cpu"] += values["ebonywick_control_cpu_microseconds"] / 1e6
        sums["sent"] += values["ebonywick_control_sent_bytes"]
        sums["received"] += values["ebonywick_control_received_bytes"]
        sums["calls"] += values["ebonywick_store_calls"]
    return at, sums


def slope(points):
    """Slope of the least-squares line through (x, y) points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    return (sum((x - mean_x) * (y - mean_y) for x, y in points) /
            sum((x - mean_x) ** 2 for x, _ in points))


def bench_control():
    """Overhead of control per node with 4, 8, 16 and 32 nodes, without query load."""
    sizes = (4, 8, 16, 32)
    searchers_per_node = 6
    targets = {"cpu_percent": 3.5, "rss_mb": 32.0, "kb_per_s": 7.0}
    fleets, first, per_node, settled = {}, {}, {}, {}
    begin = time.monotonic()
    try:
        for size in sizes:
            fleets[size] = new_fleet(after=next(reversed(fleets.values()), None))
            fleets[size].start(nodes=size, shards=size * searchers_per_node // 3, replicas=3,
                               searcher_arguments=("--warm",))
            fleets[size].apply()
        for it in fleets.values():
            wait_serving(it)
        # Appointing witnesses changes the roster, which is then sent to all hosts and would
        # distort the measurement. It ends about 40 s after the start.
        settled = {size: wait_witnesses(it, min(size, 5), 42 - (time.monotonic() - begin))
                   for size, it in fleets.items()}
        first = {size: fleet_usage(it) for size, it in fleets.items()}
        time.sleep(10)
        for size, it in fleets.items():
            at, sums = fleet_usage(it)
            start, before = first[size]
            rate = {key: (sums[key] - before[key]) / (at - start) / size for key in sums}
            per_node[size] = {"cpu_percent": 100 * rate["cpu"],
                              "control_cpu_percent": 100 * rate["control_cpu"],
                              "rss_mb": sums["rss"] / size,
                              "sent_kb_per_s": rate["sent"] / 1e3,
                              "received_kb_per_s": rate["received"] / 1e3,
                              "kb_per_s": (rate["sent"] + rate["received"]) / 1e3,
                              "store_calls_per_s": rate["calls"]}
    finally:
        for it in fleets.values():
            it.stop()
    keys = per_node[sizes[0]].keys()
    slopes = {key: slope([(size, per_node[size][key]) for size in sizes]) for key in keys}
    # With 4 nodes a host has fewer neighbours and witnesses than in larger fleets, so this
    # size is left out of the extrapolation.
    from_8 = {key: slope([(size, per_node[size][key]) for size in sizes[1:]]) for key in keys}
    at_460 = {key: per_node[32][key] + from_8[key] * (460 - 32) for key in keys}
    rounded = lambda values: {key: float(f"{it:.4g}") for key, it in values.items()}  # noqa: E731
    return result("control", round(per_node[4]["kb_per_s"], 3), round(per_node[32]["kb_per_s"], 3),
                  per_node={size: rounded(it) for size, it in per_node.items()},
                  slope_per_node=rounded(slopes), slope_from_8=rounded(from_8),
                  at_460_nodes=rounded(at_460), targets=targets,
                  bytes_are="sent plus received", witnesses_settled=settled,
                  seconds=round(time.monotonic() - begin, 1))


BENCHES = {"config": bench_config, "domain": bench_domain, "cold": bench_cold,
           "drain": bench_drain, "outage": bench_outage, "control": bench_control}
