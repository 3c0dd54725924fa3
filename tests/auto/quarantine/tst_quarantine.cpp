// Tests of which requests are blocked, for how long, and of what hosts tell each other.
#include "quarantine/quarantine.h"

#include <criterion/criterion.h>

#include <memory>
#include <set>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};
constexpr std::uint32_t service = 7;
constexpr std::uint32_t other_service = 8;

const request_key fatal{11, 1011};
const request_key innocent{12, 1012};

using changes = std::vector<quarantine_change>;

bool rejected(quarantine& by, const request_key& key, time_point now)
{
    return std::holds_alternative<reject_request>(by.decide(key, now));
}

/// Hosts that lose calls and tell each other. Time is set by hand.
struct fleet
{
    explicit fleet(std::size_t count)
    {
        for (std::size_t it = 0; it < count; ++it)
            add();
    }
    void add()
    {
        hosts.push_back(std::make_unique<quarantine>(host_id{"h" + std::to_string(hosts.size())}));
        sharing_hosts sharing;
        for (std::size_t it = 0; it < hosts.size(); ++it)
            sharing.known.emplace_back("h" + std::to_string(it));
        for (const auto& it : hosts)
            it->set_sharing_hosts(sharing);
    }
    quarantine& host(std::size_t index) { return *hosts[index % hosts.size()]; }
    /// A call at the host was lost when this upstream ended.
    void crash(std::size_t at, const request_key& key, std::uint32_t upstream,
               std::uint32_t of_service = service)
    {
        changes out;
        host(at).crashed({{{key, ++attempts, of_service}, upstream, now}}, now, out);
    }
    void reply(std::size_t at, const request_key& key, std::uint32_t of_service = service)
    {
        changes out;
        host(at).replied({key, ++attempts, of_service}, now, out);
    }
    /// Each host that is not cut off sends a message to each other one, which takes 1 ms.
    void exchange()
    {
        std::vector<quarantine_report> reports;
        for (const auto& it : hosts)
            reports.push_back(it->report(now));
        now += 1ms;
        for (std::size_t from = 0; from < hosts.size(); ++from) {
            for (std::size_t to = 0; to < hosts.size(); ++to) {
                changes out;
                if (from != to && !cut_off.contains(from) && !cut_off.contains(to))
                    hosts[to]->merge(reports[from], now, out);
            }
        }
    }
    std::size_t rejecting(const request_key& key)
    {
        std::size_t out = 0;
        for (const auto& it : hosts)
            out += it->blocks(key) ? 1 : 0;
        return out;
    }
    /// Three crashes at hosts in turn.
    void block(const request_key& key)
    {
        for (std::uint32_t it = 0; it < 3; ++it) {
            crash(it, key, ++upstreams);
            exchange();
            now += 500ms;
        }
    }

    time_point now = start;
    std::vector<std::unique_ptr<quarantine>> hosts;
    std::set<std::size_t> cut_off;
    std::uint32_t attempts = 0;
    std::uint32_t upstreams = 0;
};

} // namespace

// Guards against a request that each host counts by itself, and against one that is rejected before
// its third crash.
Test(quarantine, crashes_at_different_hosts_add_up)
{
    fleet f{13};
    for (std::uint32_t it = 0; it < 3; ++it) {
        cr_assert_eq(f.rejecting(fatal), 0);
        f.crash(it, fatal, 100 + it);
        f.exchange();
        f.now += 300ms;
    }
    cr_assert_eq(f.rejecting(fatal), 13);
    cr_assert_eq(f.rejecting(innocent), 0);
    const auto decision = f.host(5).decide(fatal, f.now);
    cr_assert(std::holds_alternative<reject_request>(decision));
    const duration wait = std::get<reject_request>(decision).retry_after;
    cr_assert(wait > 9s && wait <= 10s);
    cr_assert(std::holds_alternative<pass_request>(f.host(5).decide(innocent, f.now)));
}

// Guards against hedges and retries that crash further upstreams under a suspected request.
Test(quarantine, suspected_requests_are_sent_once)
{
    fleet f{1};
    f.crash(0, fatal, 1);
    cr_assert(std::holds_alternative<pass_request>(f.host(0).decide(fatal, f.now)));
    f.now += 1s;
    f.crash(0, fatal, 2);
    const auto decision = f.host(0).decide(fatal, f.now);
    cr_assert(std::holds_alternative<pass_request_once>(decision));
    cr_assert(!std::get<pass_request_once>(decision).trial);
}

// A failure domain or a service ends at once while the same request runs on all of its upstreams,
// or one request on many shards. Guards against requests that are blocked for a common cause.
Test(quarantine, upstreams_that_end_together_block_nothing)
{
    fleet f{3};
    for (std::uint32_t it = 0; it < 30; ++it) {
        f.crash(it, innocent, 100 + it);
        f.now += 5ms;
    }
    f.exchange();
    cr_assert_eq(f.rejecting(innocent), 0);
    // The same attempt again and again, on other upstreams.
    fleet one{1};
    for (std::uint32_t it = 0; it < 10; ++it) {
        changes out;
        one.host(0).crashed({{{innocent, 1, service}, 100 + it, one.now}}, one.now, out);
        one.now += 1s;
    }
    cr_assert_eq(one.rejecting(innocent), 0);
    // The same upstream, whose end several hosts notice at different times.
    fleet same{3};
    for (std::uint32_t it = 0; it < 10; ++it) {
        same.crash(it, innocent, 100);
        same.exchange();
        same.now += 1s;
    }
    cr_assert_eq(same.rejecting(innocent), 0);
}

// Guards against a frequent request that is blocked because it runs on every upstream that ends.
Test(quarantine, a_reply_ends_the_suspicion)
{
    fleet f{3};
    for (std::uint32_t it = 0; it < 20; ++it) {
        f.crash(it, innocent, 100 + it);
        f.exchange();
        f.now += 500ms;
        f.reply(it + 1, innocent);
        f.exchange();
        f.now += 500ms;
        cr_assert_eq(f.rejecting(innocent), 0);
    }
}

// Guards against a request that ends the upstreams of one shard and is never blocked, because the
// other shards reply.
Test(quarantine, another_service_does_not_end_the_suspicion)
{
    fleet f{3};
    for (std::uint32_t it = 0; it < 3; ++it) {
        f.crash(it, fatal, 100 + it, service);
        f.reply(it, fatal, other_service);
        f.exchange();
        f.now += 500ms;
    }
    f.reply(0, fatal, other_service);
    f.exchange();
    cr_assert_eq(f.rejecting(fatal), 3);
}

// Guards against the requests that ran beside a fatal one and are blocked with it: one of a caller
// that repeats it while upstreams go on ending.
Test(quarantine, other_requests_on_its_upstreams_are_not_to_blame)
{
    fleet f{2};
    for (std::uint32_t it = 0; it < 3; ++it) {
        // The innocent one was not there the first time.
        if (it > 0)
            f.crash(0, innocent, 100 + it);
        f.crash(1, fatal, 100 + it);
        f.exchange();
        f.now += 500ms;
    }
    cr_assert_eq(f.rejecting(fatal), 2);
    // The last runs of the fatal request end further upstreams.
    for (std::uint32_t it = 3; it < 6; ++it) {
        f.crash(1, fatal, 100 + it);
        f.exchange();
        f.crash(0, innocent, 100 + it);
        f.exchange();
        f.now += 500ms;
    }
    cr_assert_eq(f.rejecting(innocent), 0);
    cr_assert(std::holds_alternative<pass_request>(f.host(0).decide(innocent, f.now)));
}

// Guards against a host that just started, or was cut off, and passes on what others block. There
// are a hundred such requests.
Test(quarantine, late_hosts_learn_of_all_blocks_in_time)
{
    fleet f{13};
    f.cut_off = {12};
    for (std::uint64_t it = 0; it < 100; ++it)
        f.block({100 + it, 100'000 + it});
    const auto restart = [&] {
        f.cut_off.clear();
        f.add();
        for (const time_point end = f.now + 4s; f.now < end; f.now += 500ms)
            f.exchange();
    };
    restart();
    std::size_t known = 0;
    std::size_t blocked = 0;
    for (std::uint64_t it = 0; it < 100; ++it) {
        const request_key key{100 + it, 100'000 + it};
        blocked += f.host(0).blocks(key) ? 1 : 0;
        known += f.host(13).blocks(key) && f.host(12).blocks(key) ? 1 : 0;
    }
    cr_assert_eq(blocked, 100);
    cr_assert_eq(known, 100, "%zu", known);
}

// Guards against a block that is prolonged by each message, because the messages take some time.
Test(quarantine, messages_do_not_prolong_a_block)
{
    fleet f{5};
    f.block(fatal);
    const time_point end = f.now - 500ms + quarantine::block_time(1);
    while (f.now < end - 1s) {
        f.exchange();
        f.now += 50ms;
    }
    const auto decision = f.host(3).decide(fatal, f.now);
    cr_assert(std::holds_alternative<reject_request>(decision));
    cr_assert_leq(std::get<reject_request>(decision).retry_after.count(),
                  (end - f.now + 20ms).count());
}

// Guards against a trial by each host after a block, against blocks that do not grow, and against
// more runs than the platform tolerates: callers repeat the request all the time, and each run
// takes a second.
Test(quarantine, few_trials_run_in_an_hour)
{
    fleet f{13};
    f.block(fatal);
    std::uint32_t runs = 0;
    std::vector<std::pair<time_point, std::size_t>> running;
    for (std::size_t at = 0; f.now < start + 1h; ++at) {
        f.now += 100ms;
        if (at % 5 == 0)
            f.exchange();
        if (!rejected(f.host(at * 7), fatal, f.now)) {
            ++runs;
            running.emplace_back(f.now + 1s, at * 7);
        }
        if (!running.empty() && f.now >= running.front().first) {
            f.crash(running.front().second, fatal, ++f.upstreams);
            running.erase(running.begin());
        }
    }
    cr_assert_eq(runs, 3, "%u", runs);
}

// Guards against a false suspicion that does not end, or that comes back with the message of a host
// that was cut off.
Test(quarantine, a_trial_that_is_answered_ends_the_block)
{
    fleet f{13};
    f.block(fatal);
    bool tried = false;
    for (std::size_t at = 0; f.now < start + 60s; ++at) {
        f.now += 100ms;
        if (at % 5 == 0)
            f.exchange();
        if (f.now > start + 5s && f.now < start + 30s)
            f.cut_off = {12};
        else
            f.cut_off.clear();
        if (!tried && at % 13 != 12 && !rejected(f.host(at), fatal, f.now)) {
            tried = true;
            f.reply(at, fatal);
            f.exchange();
            cr_assert_leq(f.rejecting(fatal), 1);
        }
    }
    cr_assert(tried);
    cr_assert_eq(f.rejecting(fatal), 0);
}

// Guards against a caller that changes a byte of the body each time, and against other customers
// and resources that are blocked with it.
Test(quarantine, a_resource_is_blocked_whatever_its_bodies)
{
    fleet f{3};
    for (std::uint32_t it = 0; it < 6; ++it) {
        cr_assert_eq(f.rejecting({999, 1011}), 0);
        f.crash(it, {200 + it, 1011}, 100 + it);
        f.exchange();
        f.now += 500ms;
    }
    cr_assert_eq(f.rejecting({999, 1011}), 3);
    cr_assert_eq(f.rejecting(innocent), 0);
    // A single fatal request does not block the resource that it asks.
    fleet single{3};
    single.block(fatal);
    for (std::uint32_t it = 0; it < 6; ++it)
        single.crash(it, fatal, 200 + it);
    single.exchange();
    cr_assert_eq(single.rejecting({999, fatal.resource}), 0);
}

// Guards against memory that grows with the requests, and against a flood of other crashes that
// makes hosts forget what they block.
Test(quarantine, a_full_table_keeps_what_is_blocked)
{
    fleet f{1};
    f.block(fatal);
    for (std::uint32_t it = 0; it < 5000; ++it) {
        f.crash(0, {10'000 + it, 100'000 + it}, 1'000 + it);
        f.now += 1ms;
    }
    cr_assert_leq(f.host(0).size(), quarantine_constants::max_records);
    cr_assert(f.host(0).blocks(fatal));
    const quarantine_report report = f.host(0).report(f.now);
    cr_assert_leq(report.crashes.size(), quarantine_constants::max_told);
    cr_assert_leq(report.blocks.size(),
                  quarantine_constants::max_told + quarantine_constants::old_blocks_told);
}

// Guards against suspicions that are kept for ever.
Test(quarantine, old_crashes_are_forgotten)
{
    fleet f{1};
    f.crash(0, fatal, 1);
    f.now += 5min;
    f.crash(0, fatal, 2);
    f.now += 11min;
    (void)f.host(0).report(f.now);
    cr_assert_eq(f.host(0).size(), 0);
}
