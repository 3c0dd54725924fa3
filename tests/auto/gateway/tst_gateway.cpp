// Tests a complete gateway with stand-ins of faulty upstreams and a faulty store.
#include "gatewayfixture.h"
#include "scriptedupstream.h"

#include "base/hashing.h"
#include "gateway/constants.h"

#include <criterion/criterion.h>

#include <set>

using namespace ebonywick;
using standin::upstream_fault;

namespace {

// The distinct execution stamps of an answer; a shard that is merged twice makes the set smaller.
std::set<std::string> stamps_of(const http_message& answer)
{
    std::set<std::string> out;
    std::string_view text = answer.field("X-Part-Stamps");
    while (!text.empty()) {
        const auto end = std::min(text.find(", "), text.size());
        out.emplace(text.substr(0, end));
        text.remove_prefix(std::min(end + 2, text.size()));
    }
    return out;
}

bool is_complete(const http_message& answer, const std::string& id, std::size_t parts = 3)
{
    const auto stamps = stamps_of(answer);
    const auto end = fmt::format("{:x}", stable_hash(id));
    return answer.status == 200 && answer.body.size() == 48 && stamps.size() == parts &&
           std::all_of(stamps.begin(), stamps.end(),
                       [&](const auto& it) { return it.ends_with(end); });
}

} // namespace

// Failure: a query skips a shard, runs on a shard twice, or reaches it with another method or
// target.
Test(gateway, query_reaches_every_shard_once)
{
    gateway_fixture f;
    f.start_ready();
    cr_assert(is_complete(f.query("r1"), "r1"));
    cr_assert(f.runs_of("r1") == 3);
    for (const auto& it : f.upstreams) {
        for (const auto& run : it->runs())
            cr_assert(run.method == "GET" && run.target == "/q/x");
    }
}

// Failure: bytes of a faulty reply become part of an answer, or a query fails although another
// upstream could answer it.
Test(gateway, faulty_replies_never_reach_a_caller)
{
    gateway_fixture f;
    f.start_ready();
    int number = 0;
    for (const auto fault :
         {upstream_fault::lose_reply, upstream_fault::truncate, upstream_fault::extra_reply,
          upstream_fault::wrong_id, upstream_fault::content_encoded, upstream_fault::not_http,
          upstream_fault::shed, upstream_fault::fail, upstream_fault::unframed,
          upstream_fault::silent}) {
        f.upstreams[0]->fail_next(fault, 1);
        f.upstreams[1]->fail_next(fault, 1);
        // The requests after the fault may reuse a connection with left-over bytes.
        for (int repeat = 0; repeat < 6; ++repeat) {
            const auto id = fmt::format("r{}", ++number);
            const auto answer = f.query(id);
            cr_assert(answer.status != 200 || is_complete(answer, id), "fault %d, repeat %d",
                      static_cast<int>(fault), repeat);
        }
        cr_assert(
            is_complete(f.query("last" + std::to_string(number)), "last" + std::to_string(number)));
        f.run(300ms);
    }
}

// Failure: a non-idempotent request is executed twice, or is reported as not executed although
// it may have been.
Test(gateway, order_runs_at_most_once)
{
    gateway_fixture f;
    f.start_ready();
    int number = 0;
    for (const auto fault : {upstream_fault::lose_reply, upstream_fault::truncate,
                             upstream_fault::wrong_id, upstream_fault::not_http}) {
        for (std::size_t it = 0; it < 2; ++it)
            f.order_upstream(it).fail_next(fault, 1);
        for (int repeat = 0; repeat < 3; ++repeat) {
            const auto id = fmt::format("o{}", ++number);
            const auto answer = f.order(id);
            cr_assert(f.runs_of(id) <= 1);
            cr_assert(answer.status == 200 || answer.status == 502);
        }
        f.run(300ms);
    }
}

// Failure: a non-idempotent request is not retried although no upstream has executed it, or it
// is executed by another process that has taken over an upstream's address.
Test(gateway, order_is_retried_if_it_was_not_executed)
{
    gateway_fixture f;
    f.start_ready();
    f.order_upstream(0).fail_next(upstream_fault::shed, 1);
    f.order_upstream(1).set_id("i-another");
    const auto first = f.order("o1");
    cr_assert(first.status == 200 || first.status == 503);
    cr_assert(f.runs_of("o1") == (first.status == 200 ? 1U : 0U));
    f.run(300ms);
    cr_assert(f.order("o2").status == 200);
    cr_assert(f.runs_of("o2") == 1);
}

// A non-idempotent request needs a new connection, but idle connections that it must not use
// fill the connection limit. Failure: it waits for ever; first seen while hosts were leaving.
Test(gateway, order_is_not_blocked_by_idle_connections)
{
    gateway_fixture f;
    f.connection_limit = 1;
    f.start_ready();
    cr_assert(f.order("o1").status == 200);
    // Longer than recent_use_limit.
    f.run(500ms);
    cr_assert(f.order("o2").status == 200);
    f.run(500ms);
    cr_assert(f.order("o3").status == 200);
}

// Failure: a new configuration is not applied, or is replaced by an older or unreadable one.
Test(gateway, configuration_version_never_decreases)
{
    gateway_fixture f;
    f.start_ready();
    auto next = f.configuration(5);
    next["routes"].erase(1);
    f.store.put("config", "main", next);
    cr_assert(f.wait_until([&] { return f.order("o").status == 404; }));
    f.store.put("config", "main", f.configuration(4));
    f.run(600ms);
    cr_assert(f.order("o").status == 404);
    f.store.put("config", "main", {{"version", 9}, {"routes", "unreadable"}});
    f.run(600ms);
    cr_assert(f.query("r1").status == 200);
}

// Failure: an upstream that is leaving, or whose failure domain is out, gets new calls.
Test(gateway, leaving_upstreams_get_no_calls)
{
    gateway_fixture f;
    f.start_ready();
    cr_assert(f.query("r1").status == 200);
    for (std::size_t it = 0; it < f.ids.size(); it += 2) {
        f.entries[it]["state"] = "draining";
        f.store.put("servers", f.ids[it], f.entries[it]);
    }
    f.run(1s);
    const auto before = f.upstreams[0]->runs().size();
    for (int it = 0; it < 20; ++it)
        cr_assert(f.query("q" + std::to_string(it)).status == 200);
    cr_assert(f.upstreams[0]->runs().size() == before);
    f.store.put("evacuations", "z1", json::object());
    f.run(600ms);
    const auto refused = f.query("r2");
    cr_assert(refused.status == 503 && !refused.field("Retry-After").empty());
    cr_assert(f.runs_of("r2") == 0);
    f.store.remove("evacuations", "z1");
    f.run(600ms);
    cr_assert(f.query("r3").status == 200);
}

// Failure: an entry that another writer has overwritten with invalid content is still used, or
// prevents the use of other entries.
Test(gateway, invalid_entries_are_not_used)
{
    gateway_fixture f;
    f.publish();
    f.store.put("servers", f.ids[0], "bytes");
    f.store.put("servers", "i-foreign", {{"backend", 7}});
    f.start();
    cr_assert(f.wait_until([&] { return f.query("r").status == 200; }));
    cr_assert(f.upstreams[0]->runs().empty());
    // An upstream whose entry becomes invalid later gets no calls after a short time.
    f.store.put("servers", f.ids[2], "bytes");
    f.run(700ms);
    const auto before = f.upstreams[2]->runs().size();
    for (int it = 0; it < 20; ++it)
        cr_assert(f.query("s" + std::to_string(it)).status == 200);
    cr_assert(f.upstreams[2]->runs().size() == before);
}

// Failure: a host without configuration answers with a status that callers do not retry, or
// does not recover after the store's outage.
Test(gateway, starts_during_a_store_outage)
{
    gateway_fixture f;
    f.publish();
    f.store.set_faults({.refuse_with = 503});
    f.start();
    f.run(300ms);
    const auto refused = f.query("r1");
    cr_assert(refused.status == 503 && !refused.field("Retry-After").empty());
    cr_assert(f.get(f.settings.readiness, "/ebonywick/ready").status == 503);
    f.store.set_faults({});
    cr_assert(f.wait_until([&] { return f.query("r2").status == 200; }));
}

// Failure: requests fail during an outage of the store, or changes from that time are missed.
Test(gateway, serves_during_a_store_outage)
{
    gateway_fixture f;
    f.start_ready();
    f.store.set_faults({.refuse_with = 429});
    f.store.cut_watches();
    f.run(300ms);
    cr_assert(is_complete(f.query("r1"), "r1"));
    auto next = f.configuration(2);
    next["routes"].erase(1);
    f.store.put("config", "main", next);
    f.store.set_faults({});
    cr_assert(f.wait_until([&] { return f.order("o").status == 404; }));
}

// The store has lost its history while stale reads lag behind. Failure: lists and watches
// alternate without a pause; a large installation once sent 18,000 calls of each.
Test(gateway, lost_history_does_not_flood_the_store)
{
    gateway_fixture f;
    f.start_ready();
    f.store.set_faults({.lag = 3});
    f.store.put("evacuations", "z9", json::object());
    f.store.put("entry-hosts", "odd", json::object());
    f.store.put("servers", f.ids[0], f.entries[0]);
    f.store.forget_history();
    f.store.cut_watches();
    const auto before = f.store.calls();
    f.run(3s);
    cr_assert(f.store.calls() - before < 60);
}

// The same on several hosts. Failure: all hosts read the newest state after the gap, which sent
// 13,000 calls a day in a large installation, or those that do not read it miss changes.
Test(gateway, few_hosts_read_the_store_after_a_gap)
{
    gateway_fixture f;
    f.start_ready();
    std::vector<gateway_settings> settings;
    std::vector<std::unique_ptr<gateway>> others;
    for (int it = 2; it <= 8; ++it) {
        settings.push_back(f.other_host("h" + std::to_string(it)));
        others.push_back(std::make_unique<gateway>(f.loop, f.timers, settings.back(), f.log,
                                                   static_cast<std::uint64_t>(it)));
        others.back()->start();
    }
    const auto all_answer = [&](int status) {
        return std::all_of(settings.begin(), settings.end(), [&](const auto& it) {
            return f.call(it.callers, f.request_text("GET", "/q/x", "r")).status == status;
        });
    };
    cr_assert(f.wait_until([&] { return all_answer(200); }));
    // The hosts agree on who reads the newest state.
    f.run(4s);
    f.store.set_faults({.lag = 3});
    f.store.forget_history();
    f.store.cut_watches();
    const auto before = f.store.calls();
    auto next = f.configuration(2);
    next["routes"].erase(0);
    f.store.put("config", "main", next);
    // A change must be in force within 3 s.
    f.run(2500ms);
    cr_assert(all_answer(404));
    constexpr int changes = 10;
    for (int it = 0; it < changes; ++it) {
        f.entries[0]["slots"] = 5 + it;
        f.store.put("servers", f.ids[0], f.entries[0]);
        f.run(300ms);
    }
    // A reader calls for each change, and lists and watches each of four collections.
    constexpr std::size_t readers = 3;
    constexpr std::size_t calls_of_reader = changes + 1 + 8;
    // Another host has a stale watch of each collection, and repeats it twice in this time.
    constexpr std::size_t calls_of_other = 12;
    const auto calls = f.store.calls() - before;
    cr_assert(calls <= readers * calls_of_reader + 5 * calls_of_other, "%zu calls",
              static_cast<std::size_t>(calls));
}

// Failure: every watch of every host calls a store that is out of service, several times a
// second.
Test(gateway, outage_is_probed_with_one_collection)
{
    gateway_fixture f;
    f.start_ready();
    f.store.set_faults({.refuse_with = 503});
    f.store.cut_watches();
    const auto before = f.store.calls();
    f.run(3s);
    // Each of the four watches fails once; one of them goes on.
    const auto probes = static_cast<std::size_t>(3s / gateway_constants::max_store_retry_pause) + 3;
    cr_assert(f.store.calls() - before <= 4 + probes);
    f.store.set_faults({});
    auto next = f.configuration(2);
    next["routes"].erase(1);
    f.store.put("config", "main", next);
    f.store.put("evacuations", "z0", json::object());
    f.run(1200ms);
    cr_assert(f.order("o").status == 404);
}

// Failure: a restart writes the host's unchanged entry again, which costs a write and wakes all
// other hosts; or an entry that would make the others ignore this host is kept.
Test(gateway, entry_of_an_earlier_start_is_kept)
{
    for (const bool outdated : {true, false}) {
        gateway_fixture f;
        f.publish();
        host_record record{.id = f.settings.host,
                           .incarnation = outdated ? 1U : 9'000'000'000'000U,
                           .callers = f.settings.callers,
                           .heartbeats = f.settings.heartbeats,
                           .control = f.settings.control,
                           .domain = f.settings.domain,
                           .processor_share = f.settings.processor_share};
        const auto written =
            f.store.put("entry-hosts", "h1", json::parse(encode_host_record(record)));
        f.start();
        cr_assert(f.wait_until([&] { return f.query("r").status == 200; }));
        f.run(300ms);
        cr_assert((f.store.revision() == written) == outdated);
    }
}

// Failure: a host is registered twice or not at all because replies of the store are lost.
Test(gateway, registers_although_store_replies_are_lost)
{
    gateway_fixture f;
    f.publish();
    f.store.set_faults({.lost_reply_interval = 2});
    f.start();
    cr_assert(f.wait_until([&] { return f.store.objects("entry-hosts").contains("h1"); }));
    const auto answer = f.get(f.settings.directory, "/ebonywick/resolve?name=a.example");
    cr_assert(answer.status == 200);
}

// Failure: a leaving host aborts a request, still reports that it is ready, or is still listed
// by its directory.
Test(gateway, completes_requests_before_leaving)
{
    gateway_fixture f;
    f.start_ready();
    for (const auto& it : f.upstreams)
        it->set_service_time(400ms);
    http_message reply;
    http_channel channel{f.loop, f.timers, f.settings.callers};
    channel.call(
        f.request_text("POST", "/o/x", "o1", "b"), 5s,
        [&](const std::optional<http_message>& it) { reply = it.value_or(http_message{}); });
    f.run(100ms);
    bool left = false;
    f.instance->leave([&] { left = true; });
    cr_assert(f.get(f.settings.readiness, "/ebonywick/ready").status == 503);
    const auto named = f.get(f.settings.directory, "/ebonywick/resolve?name=a.example");
    cr_assert(json::parse(named.body)["addrs"].empty());
    cr_assert(f.wait_until([&] { return left; }));
    cr_assert(reply.status == 200);
    cr_assert(reply.field("Connection") == "close");
}

// Failure: an invalid request gets no status or a wrong one, or is buffered without limit.
Test(gateway, invalid_requests_get_a_specific_status)
{
    gateway_fixture f;
    f.start_ready();
    const auto send = [&](const std::string& text) {
        return f.call(f.settings.callers, text, 1s).status;
    };
    cr_assert(send("GET /q/x HTTP/1.1\r\nHost: a.example\r\n\r\n") == 400);
    cr_assert(send("GET /none/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r\r\n\r\n") == 404);
    cr_assert(send("\x01\x02\r\n\r\n") == 400);
    cr_assert(send("GET /q/x HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n") == 431);
    cr_assert(send("POST /o/x HTTP/1.1\r\nContent-Length: 5000\r\n\r\n") == 413);
}

// Failure: an answer of the directory, the readiness check, the metrics or the control address
// keeps the connection open although the sender has asked to close it.
Test(gateway, every_server_closes_on_request)
{
    gateway_fixture f;
    f.start_ready();
    const std::vector<std::pair<endpoint, std::string>> targets{
        {f.settings.directory, "/ebonywick/resolve?name=a.example"},
        {f.settings.readiness, "/ebonywick/ready"},
        {f.settings.metrics, "/metrics"},
        {f.settings.control, "/v1/state"}};
    for (const auto& [to, target] : targets) {
        const auto answer = f.call(
            to, fmt::format("GET {} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n", target));
        cr_assert(answer.status == 200 && answer.field("Connection") == "close", "%s",
                  target.c_str());
    }
}

// A host starts during an outage of the store while another host serves. Failure: it refuses
// all requests until the store is back, or the state that it read from the other host is not
// replaced by newer state from the store.
Test(gateway, starts_from_the_snapshot_of_another_host)
{
    gateway_fixture f;
    f.start_ready();
    f.store.set_faults({.refuse_with = 503});
    f.store.cut_watches();
    const gateway_settings second = f.other_host("h2");
    gateway other{f.loop, f.timers, second, f.log, 6};
    other.start();
    const auto ask = [&](const std::string& id) {
        return f.call(second.callers, f.request_text("GET", "/q/x", id)).status;
    };
    cr_assert(f.wait_until([&] { return ask("r1") == 200; }));
    auto next = f.configuration(2);
    next["routes"].erase(0);
    f.store.put("config", "main", next);
    f.store.set_faults({});
    cr_assert(f.wait_until([&] { return ask("r2") == 404; }));
}

// Guards against connections to upstreams that use the pool of a gateway which has been destroyed:
// here one whose upstream has not replied.
Test(gateway, destroyed_gateway_leaves_no_connection_to_an_upstream, .timeout = 60)
{
    gateway_fixture f{1, fixture_clock::by_hand};
    std::vector<std::unique_ptr<scripted_upstream>> silent;
    // Both upstreams of `orders`.
    for (const std::size_t index : {2U, 3U}) {
        const endpoint at = free_address();
        silent.push_back(std::make_unique<scripted_upstream>(
            f.loop, at, [](const std::string&) { return scripted_reply{}; }));
        f.entries[index]["address"] = to_string(at);
    }
    f.start_ready();
    http_channel caller{f.loop, f.timers, f.settings.callers};
    caller.call(f.request_text("POST", "/o/x", "open", "body"), 5s, [](const auto&) {});
    const auto open = [&] {
        return silent[0]->open_connections() + silent[1]->open_connections();
    };
    f.run(100ms);
    cr_assert_eq(silent[0]->requests().size() + silent[1]->requests().size(), 1);
    cr_assert_gt(open(), 0);
    f.instance.reset();
    f.run(100ms);
    cr_assert_eq(open(), 0, "%zu open", open());
}
