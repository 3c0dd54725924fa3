"""Benchmarks of the query path: straggler, friday, silent, orders, node, hop.

Each of these functions starts its fleet on ports from 26000 upwards, ends it and returns
the figures. `scripts/bench` names a benchmark after its function.
"""

import contextlib
import json
import math
import os
import re
import subprocess
import time

from fleet import Fleet, FleetError, boot_ns, request, seeded_random

BASE_PORT = 26000
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@contextlib.contextmanager
def running_fleet(preset="ordinary", **options):
    """Runs a fleet whose nodes hold all searchers. The searchers start warm and may use
    all slots even when cold, because these benchmarks do not measure the ramp-up."""
    slots = options.setdefault("slots", 4)
    options.setdefault("cold_concurrency", slots)
    options["searcher_arguments"] = ("--warm", *map(str, options.get("searcher_arguments", ())))
    with Fleet(base_port=BASE_PORT) as fleet:
        fleet.start(**options)
        fleet.apply(preset)
        fleet.wait_ready()
        searchers = options["shards"] * options["replicas"]
        wait_until(lambda: sum(len((fleet.status(it) or {}).get("held", ()))
                               for it in fleet.http_ports) == searchers, "all searchers are held")
        yield fleet


def wait_until(condition, what, limit=20.0):
    end = time.monotonic() + limit
    while not condition():
        if time.monotonic() > end:
            raise FleetError(f"not within {limit} s: {what}")
        time.sleep(0.1)


def start_load(fleet, *streams, record=None, seed=1):
    """Starts ebonywick-load. Each stream is a dictionary of the values of --stream, with `_`
    for `-` in the keys."""
    command = [str(fleet.build / "src/tools/load/ebonywick-load"), "--seed", str(seed)]
    for port in fleet.http_ports.values():
        command += ["--host", f"127.0.0.1:{port}"]
    for it in streams:
        values = {"service": "katalog", "name": "main", **it}
        command += ["--stream", ",".join(f"{key.replace('_', '-')}={value}"
                                         for key, value in values.items())]
    if record:
        command += ["--record", str(fleet.folder / record)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def finish_load(process, limit=50.0):
    """Waits for the end of the load tool; returns (its reports by stream, its processor
    seconds)."""
    try:
        text, _ = process.communicate(timeout=limit)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        raise
    if process.returncode != 0:
        raise FleetError(f"ebonywick-load ended with {process.returncode}")
    report = json.loads(text.splitlines()[-1])
    return report["streams"], report["processor_seconds"]


def run_load(fleet, *streams, **options):
    """Runs ebonywick-load to its end; returns its reports by stream."""
    return finish_load(start_load(fleet, *streams, **options))[0]


def switch_preset(fleet, preset):
    """Switches the preset and waits until it is in force on each node."""
    code, text = fleet.preset(preset)
    if code != 0:
        raise FleetError(f"preset {preset}: {text}")
    wait_until(lambda: all((fleet.status(it) or {}).get("preset") == preset
                           for it in fleet.http_ports), f"preset {preset} is in force")


def calls_sent(fleet):
    """Number of calls sent by reason (first, hedge, retry), summed over the nodes."""
    sums = {"first": 0.0, "hedge": 0.0, "retry": 0.0}
    for port in fleet.http_ports.values():
        text = request(port, "GET", "/metrics")[1]
        for labels, count in re.findall(r"^ebonywick_calls_total\{(.*)\} (\S+)$", text, re.M):
            sums[re.search(r'reason="(\w+)"', labels)[1]] += float(count)
    return sums


def subtract_counts(after, before):
    return {key: after[key] - before[key] for key in after}


def extra_load(calls):
    """Ratio of hedges and retries to first calls."""
    return (calls["hedge"] + calls["retry"]) / max(calls["first"], 1)


def processor_seconds(process):
    """User and system time of a running process in seconds."""
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def p99(latencies):
    ordered = sorted(latencies)
    return ordered[min(len(ordered) - 1, math.floor(0.99 * len(ordered)))] if ordered else None


def read_json_lines(path):
    """Reads a file of JSON lines. A last line without its end is left out."""
    found = []
    with open(path, encoding="utf-8") as file:
        for line in file:
            if line.endswith("\n"):
                found.append(json.loads(line))
    return found


def result(name, baseline, value, reports, **more):
    """Returns the fields that all benchmarks have. `reports` are those of the load streams;
    their wrong answers are counted. `more` adds fields and overrides them."""
    reports = list(reports)
    covered = [it["coverage_min"] for it in reports if it["coverage_min"] is not None]
    if more.pop("orders", False):
        covered = []  # An order goes to one shard, so it has no coverage.
    return {"name": name, "baseline": baseline, "value": value,
            "ratio": round(value / baseline, 3) if baseline else None,
            "extra_load": more.pop("extra_load", None),
            "coverage_min": min(covered) if covered else None,
            "wrong": more.pop("wrong", 0) + sum(it["wrong"] for it in reports),
            "sent": sum(it["sent"] for it in reports),
            "answered": sum(it["answered"] for it in reports),
            "load_average": round(os.getloadavg()[0], 1), **more}


def straggler():
    """1 call in 100 takes 20 times the median: p99 with over without hedging, target <= 0.35."""
    presets = {"hedging": {"deadline_ms": 1000},
               "plain": {"deadline_ms": 1000, "hedge_budget": 0}}
    reports_by_preset = {"plain": [], "hedging": []}
    calls = {"first": 0.0, "hedge": 0.0, "retry": 0.0}
    with running_fleet("hedging", nodes=1, shards=66, replicas=2, presets=presets,
                       searcher_arguments=("--delay-us", 5000, "--straggler-share", 0.01,
                                           "--straggler-factor", 20, "--threads", 4)) as fleet:
        stream = {"rate": 60, "connections": 64, "deadline_ms": 2000}
        run_load(fleet, {**stream, "duration_ms": 2000})
        for turn in range(2):
            for preset, reports in reports_by_preset.items():
                switch_preset(fleet, preset)
                before = calls_sent(fleet)
                record = f"load-{preset}-{turn}.jsonl"
                reports.append(run_load(fleet, {**stream, "duration_ms": 7000}, seed=turn + 1,
                                        record=record)["main"])
                reports[-1]["record"] = fleet.folder / record
                if preset == "hedging":
                    calls = {key: calls[key] + it for key, it in
                             subtract_counts(calls_sent(fleet), before).items()}
        p99_ms = {preset: p99(latencies(read_json_lines(it["record"]) for it in reports))
                  for preset, reports in reports_by_preset.items()}
    return result("straggler", p99_ms["plain"], p99_ms["hedging"],
                  reports_by_preset["plain"] + reports_by_preset["hedging"],
                  extra_load=round(extra_load(calls), 4), calls=calls,
                  p50={preset: reports[0]["latency_ms"]["p50"]
                       for preset, reports in reports_by_preset.items()})


def latencies(records):
    """Latencies in ms of the answered requests, from the records of several runs."""
    return [(it["end"] - it["intended"]) / 1e6 for record in records for it in record
            if it["outcome"] == "answered"]


def friday():
    """Batch at 3 x capacity beside look-ups: p99 of look-ups over that alone, target <= 1.5."""
    # A call takes 20 times as long as in the target fleet, so that scheduling noise of the
    # machine is small against it. The target queue wait is scaled by the same factor.
    shards, replicas, slots, call_ms = 10, 3, 4, 40
    capacity = replicas * slots / (call_ms / 1000)
    presets = {"ordinary": {"deadline_ms": 1000, "batch_queue": 40, "batch_limit": 64,
                            "target_queue_wait_ms": 20}}
    look_ups = {"name": "lookup", "class": "interactive", "rate": capacity / 10,
                "connections": 64, "deadline_ms": 2000}
    batch = {"name": "batch", "class": "batch", "caller": "printer+archive",
             "rate": 3 * capacity, "connections": 250, "deadline_ms": 2000}
    alone, both, offered = [], [], []
    with running_fleet(nodes=3, shards=shards, replicas=replicas, slots=slots, presets=presets,
                       searcher_arguments=("--delay-us", call_ms * 1000)) as fleet:
        run_load(fleet, {**look_ups, "duration_ms": 2000})
        before = calls_sent(fleet)
        for turn in range(2):
            alone.append(run_load(fleet, {**look_ups, "duration_ms": 6000}, seed=turn + 1,
                                  record=f"load-alone-{turn}.jsonl")["lookup"])
            # The adaptive limit converges during the warm-up.
            timing = {"warmup_ms": 4000, "duration_ms": 8000}
            mixed = run_load(fleet, {**look_ups, **timing}, {**batch, **timing}, seed=turn + 1,
                             record=f"load-both-{turn}.jsonl")
            both.append(mixed["lookup"])
            offered.append(mixed["batch"])
        extra = extra_load(subtract_counts(calls_sent(fleet), before))
        p99_ms = {part: p99(latencies([[it for it in read_json_lines(path)
                                        if it["stream"] == "lookup"]
                                       for path in fleet.folder.glob(f"load-{part}-*.jsonl")]))
                  for part in ("alone", "both")}
    completed = sum(it["answered"] for it in offered)
    possible = capacity * 8 * len(offered) - sum(it["answered"] for it in both)
    return result("friday", p99_ms["alone"], p99_ms["both"], alone + both + offered,
                  extra_load=round(extra, 4), batch_offered=sum(it["sent"] for it in offered),
                  p99_by_turn=[[it["latency_ms"]["p99"] for it in part] for part in (alone, both)],
                  batch_done=completed, batch_possible=round(possible),
                  batch_share=round(completed / possible, 3),
                  batch_unknown=sum(it["unknown"] for it in offered),
                  batch_kinds=offered[-1]["kinds"], batch_p99=offered[-1]["latency_ms"]["p99"],
                  lookup_p50=[alone[-1]["latency_ms"]["p50"], both[-1]["latency_ms"]["p50"]],
                  lookup_failed=sum(it["sent"] - it["answered"] for it in alone + both))


def silent():
    """Half of the open connections go silent, three times: p99 over that before; none lost."""
    stream = {"rate": 100, "connections": 64, "deadline_ms": 1000, "warmup_ms": 2000,
              "duration_ms": 18000}
    with running_fleet(nodes=3, shards=10, replicas=3,
                       presets={"ordinary": {"deadline_ms": 500}}) as fleet:
        before = calls_sent(fleet)
        load = start_load(fleet, stream, record="load.jsonl")
        time.sleep(8)
        faults = []
        for it in range(3):
            faults.append(boot_ns())
            fleet.searcher_admin(silent_half=it + 1)
            time.sleep(3)
        report = finish_load(load)[0]["main"]
        calls = subtract_counts(calls_sent(fleet), before)
        records = read_json_lines(fleet.folder / "load.jsonl")
    undisturbed = latencies([[it for it in records if it["intended"] < faults[0] - 10**9]])
    disturbed = latencies([[it for it in records if it["intended"] >= faults[0]]])
    return result("silent", p99(undisturbed), p99(disturbed), [report],
                  extra_load=round(extra_load(calls), 4), calls=calls,
                  lost=report["sent"] - report["answered"], kinds=report["kinds"],
                  slowest=max(disturbed))


def orders():
    """Repeated orders, nodes killed and paused, store replies lost: runs per key <= 1."""
    random = seeded_random(7)
    with running_fleet(nodes=5, shards=3, replicas=3,
                       presets={"ordinary": {"deadline_ms": 500}}) as fleet:
        stream = {"orders": 1, "rate": 60, "connections": 64, "deadline_ms": 800, "repeats": 4,
                  "duration_ms": 24000}
        load = start_load(fleet, stream, record="load.jsonl")
        end = time.monotonic() + 22
        faults = {"kill": 0, "pause": 0, "store": 0}
        while time.monotonic() < end:
            kind = min(faults, key=faults.get)
            faults[kind] += 1
            if kind == "kill":
                fleet.restart(random.randint(2, 5))
                time.sleep(2.5)
            elif kind == "pause":
                node = random.randint(1, 5)
                fleet.pause(node)
                time.sleep(random.uniform(0.3, 3))
                fleet.resume(node)
            else:
                fleet.store_admin(lose_replies=0.3, lose_prefix="ebonywick/orders/")
                time.sleep(1.5)
                fleet.store_admin(lose_replies=0)
        report = finish_load(load)[0]["main"]
        # Calls that were in flight when the load ended may still start.
        time.sleep(1.5)
        runs = {}
        for it in fleet.searcher_stats():
            for key, count in it["orders"].items():
                runs[key] = runs.get(key, 0) + count
        started = [it["call"] for it in read_json_lines(fleet.services[0]["_record"])
                   if it["event"] == "order"]
        records = read_json_lines(fleet.folder / "load.jsonl")
    run_ids = {it.split("-")[0] for it in started}
    refused = [it for it in records if it["outcome"] == "not_run"]
    refused_but_run = [it for it in refused if it["request_id"] in run_ids]
    if not any(it["outcome"] == "answered" and it["request_id"] in run_ids for it in records):
        raise FleetError("the request ids of callers and searchers do not match")
    answered_not_run = [it for it in records if it["outcome"] == "answered"
                        and it["key"] not in runs]
    most = max(runs.values())
    return result("orders", 1, most, [report], orders=True,
                  wrong=sum(it > 1 for it in runs.values()) + len(refused_but_run)
                  + len(answered_not_run),
                  keys_run=len(runs), requests=len(records), repeated=report["repeats"],
                  not_run=len(refused), not_run_untrue=len(refused_but_run),
                  answered_without_run=len(answered_not_run), unknown=report["unknown"],
                  kinds=report["kinds"], faults=faults)


def node():
    """239 queries a second to 66 searchers with 1.7 ms a call: cores of the node, target <= 2."""
    reports, cores = {}, {}
    for level in ("info", "warning"):
        with running_fleet(nodes=1, shards=66, replicas=1,
                           presets={"ordinary": {"deadline_ms": 500}},
                           node_settings=f"log_level: {level}",
                           searcher_arguments=("--delay-us", 1700, "--threads", 4)) as fleet:
            # The random arrivals of this seed are 3 % fewer than their rate states.
            stream = {"rate": 250, "connections": 100, "deadline_ms": 1000}
            run_load(fleet, {**stream, "duration_ms": 1500})
            processes = {it: fleet.processes[it] for it in ("entry-1", "searchers-katalog")}
            calls = calls_sent(fleet)
            used = {name: processor_seconds(it) for name, it in processes.items()}
            begin = time.monotonic()
            load = start_load(fleet, {**stream, "duration_ms": 10000})
            streams, load_seconds = finish_load(load)
            elapsed = time.monotonic() - begin
            cores[level] = {name: round((processor_seconds(it) - used[name]) / elapsed, 3)
                            for name, it in processes.items()}
            cores[level]["load"] = round(load_seconds / elapsed, 3)
            reports[level] = streams["main"]
            if level == "info":
                extra = extra_load(subtract_counts(calls_sent(fleet), calls))
    return result("node", 2.0, cores["info"]["entry-1"], reports.values(),
                  extra_load=round(extra, 4), p99=reports["info"]["latency_ms"]["p99"],
                  p50=reports["info"]["latency_ms"]["p50"],
                  queries_per_second=round(reports["info"]["answered"] / 10, 1),
                  kinds=reports["info"]["kinds"], cores=cores)


def hop():
    """Processor time that the hop to another host adds to a call, from 1 and 4 nodes."""
    nodes = {1: None, 4: None}
    reports = []
    for count in nodes:
        with running_fleet(nodes=count, shards=66, replicas=1,
                           presets={"ordinary": {"deadline_ms": 500}},
                           searcher_arguments=("--delay-us", 1700, "--threads", 4)) as fleet:
            hosts = [fleet.processes[f"entry-{it + 1}"] for it in range(count)]
            stream = {"rate": 120, "connections": 60, "deadline_ms": 1000}
            run_load(fleet, {**stream, "duration_ms": 1500})
            used, idle_begin = sum(map(processor_seconds, hosts)), time.monotonic()
            time.sleep(3)
            idle = (sum(map(processor_seconds, hosts)) - used) / (time.monotonic() - idle_begin)
            used, begin = sum(map(processor_seconds, hosts)), time.monotonic()
            streams, _ = finish_load(start_load(fleet, {**stream, "duration_ms": 8000}))
            elapsed = time.monotonic() - begin
            busy = (sum(map(processor_seconds, hosts)) - used) / elapsed - idle
            calls = 66 * streams["main"]["answered"] / elapsed
            nodes[count] = {"us_per_call": 1e6 * busy / calls, "idle_cores": round(idle, 3)}
            reports.append(streams["main"])
    one_node, four_nodes = nodes[1]["us_per_call"], nodes[4]["us_per_call"]
    # With 4 nodes, three of four calls go to another host.
    return result("hop", round(one_node, 1), round((four_nodes - one_node) / 0.75, 1), reports,
                  nodes=nodes)


BENCHES = {it.__name__: it for it in (straggler, friday, silent, orders, node, hop)}
