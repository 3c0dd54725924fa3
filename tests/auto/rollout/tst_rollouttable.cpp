// Exposure over several hosts, the stages of an order and what is known of it elsewhere.
#include "rollout/rollouttable.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

const service_name service{"s"};
constexpr rollout_policy policy{0.1, 50, 5s};

rollout_order make_order(duration length, std::uint64_t key = 7)
{
    return {service, "v2", length, key, rollout_stage::probing, 10};
}

// Hosts that exchange their counts each 250 ms, with a store that takes the first write.
struct fleet
{
    explicit fleet(std::size_t count, duration length) : order(make_order(length))
    {
        for (std::size_t it = 0; it < count; ++it) {
            ids.emplace_back("h" + std::to_string(it));
            hosts.emplace_back(policy);
            hosts.back().set_sharing_hosts(count);
            hosts.back().observe_version(service, "v1", now);
            hosts.back().upsert(order, now);
        }
    }

    // One request at a host; every failure_interval-th answer of the new version fails.
    void request(std::size_t host)
    {
        rollout_table& at = hosts[host];
        at.request_started(service);
        const version_rule rule = at.rule(service, now);
        const bool target = rule.only == "v2" || (rule.trial == "v2" && at.may_try(service, now));
        at.call_started(service, target ? "v2" : "v1");
        target_calls += target ? 1 : 0;
        const bool failed = target && failing;
        bad += failed ? 1 : 0;
        at.answered(upstream_id{target ? "b" : "a"}, service, target ? "v2" : "v1",
                    {1, false, failed, false, false}, now);
    }
    void exchange()
    {
        for (std::size_t from = 0; from < hosts.size(); ++from) {
            const auto reports = hosts[from].reports();
            for (std::size_t to = 0; to < hosts.size(); ++to) {
                if (to != from && !cut.contains(from) && !cut.contains(to))
                    hosts[to].record(ids[from], 1, reports, now);
            }
        }
    }
    void advance()
    {
        for (std::size_t it = 0; it < hosts.size(); ++it) {
            rollout_surroundings around{{}, true, true};
            for (std::size_t other = 0; other < hosts.size(); ++other) {
                if (other != it)
                    around.live_hosts.insert(ids[other]);
            }
            rollout& of = *hosts[it].find(service);
            of.advance(around, now);
            if (const auto due = of.due_write();
                due && store_reachable && of.order().revision == order.revision) {
                order.written = *due;
                ++order.revision;
            }
        }
        if (store_reachable) {
            for (rollout_table& it : hosts)
                it.upsert(order, now);
        }
    }
    // `rate` requests a second over all hosts.
    void run(duration span, int rate)
    {
        const time_point end = now + span;
        int ticks = 0;
        while (now < end) {
            request(static_cast<std::size_t>(ticks) % hosts.size());
            now += 1000ms / rate;
            if (now - last_exchange >= 250ms) {
                last_exchange = now;
                exchange();
                advance();
            }
            ++ticks;
            ++requests;
        }
    }

    time_point now{1h};
    time_point last_exchange{};
    rollout_order order;
    std::vector<host_id> ids;
    std::vector<rollout_table> hosts;
    std::set<std::size_t> cut;
    bool store_reachable = true;
    bool failing = false;
    int requests = 0;
    int target_calls = 0;
    int bad = 0;
};

} // namespace

// Each host uses the whole slack for itself.
Test(rollout, exposure_of_all_hosts_stays_below_half_of_the_bound)
{
    for (const std::size_t hosts : {1U, 8U, 24U}) {
        fleet f{hosts, 60s};
        f.run(40s, 50);
        cr_assert_leq(f.target_calls, 0.05 * f.requests + 25 + 1);
        cr_assert_geq(f.target_calls, 0.04 * f.requests);
    }
}

// An order at the lowest rate is not completed in time.
Test(rollout, a_good_version_is_completed_in_time)
{
    for (const int rate : {3, 110}) {
        fleet f{8, 12s};
        f.run(12s, rate);
        cr_assert(f.order.written == rollout_stage::completed, "%d", rate);
    }
}

// A failing version goes on to get requests after the verdict, or hosts disagree on it.
Test(rollout, a_failing_version_is_rolled_back_before_its_50th_bad_answer)
{
    fleet f{8, 30s};
    f.run(4s, 100);
    f.failing = true;
    f.run(10s, 100);
    cr_assert(f.order.written == rollout_stage::rolled_back);
    cr_assert_leq(f.bad, 50);
    const int before = f.target_calls;
    f.run(10s, 100);
    cr_assert_eq(f.target_calls, before);
}

// The verdict waits for the store, or is lost with the order.
Test(rollout, a_verdict_holds_without_the_store_and_after_the_order)
{
    fleet f{4, 30s};
    f.store_reachable = false;
    f.failing = true;
    f.run(10s, 100);
    for (rollout_table& it : f.hosts) {
        cr_assert(it.rule(service, f.now).excludes("v2"));
        it.remove(service);
        cr_assert(it.rule(service, f.now).excludes("v2"));
        it.upsert(make_order(30s, 8), f.now);
        cr_assert(!it.rule(service, f.now).excludes("v2"));
    }
}

// A host that hears nothing of the others switches on its own counts.
Test(rollout, a_host_that_is_cut_off_does_not_switch)
{
    fleet f{4, 12s};
    f.cut = {0, 1, 2, 3};
    f.run(12s, 50);
    cr_assert(f.order.written == rollout_stage::probing);
}

// A restored store takes a completed roll-out back, so that requests go to upstreams that are gone.
Test(rollout, a_status_that_the_store_has_lost_is_written_again)
{
    fleet f{1, 30s};
    rollout_order order = make_order(30s);
    for (const auto stage : {rollout_stage::switching, rollout_stage::completed}) {
        order.written = stage;
        f.hosts[0].upsert(order, f.now);
        order.written.reset();
        f.hosts[0].upsert(order, f.now);
        rollout& it = *f.hosts[0].find(service);
        it.advance({{}, true, true}, f.now);
        cr_assert(it.due_write() == stage);
        cr_assert(f.hosts[0].rule(service, f.now).only == "v2");
    }
}

// An upstream that still has calls of a host stops before they end.
Test(rollout, completion_waits_for_open_calls)
{
    rollout_order order = make_order(10s);
    order.written = rollout_stage::switching;
    const time_point begin{1h};
    rollout it{order, policy, begin};
    it.advance({{}, true, false}, begin + 5s);
    cr_assert(!it.due_write());
    const host_id other{"b"};
    rollout_report report;
    report.order = order.key;
    report.stage = rollout_stage::switching;
    report.age = 5s;
    it.record(other, 1, report, begin + 5s);
    it.advance({{other}, true, true}, begin + 5s);
    cr_assert(!it.due_write());
    report.clear = true;
    it.record(other, 1, report, begin + 5s);
    it.advance({{other}, true, true}, begin + 5s);
    cr_assert(it.due_write() == rollout_stage::completed);
}

// A version gets requests before its order has arrived.
Test(rollout, a_version_beside_another_one_waits_for_its_order)
{
    const time_point now{1h};
    rollout_table table{policy};
    table.observe_version(service, "v1", now);
    table.observe_version(service, "v2", now + 1s);
    cr_assert(table.rule(service, now + 2s).is_trial("v2"));
    cr_assert(!table.may_try(service, now + 2s));
    cr_assert(table.may_fall_back(service, now + 2s));
    cr_assert(table.rule(service, now + 5s) == version_rule{});
    rollout_table other{{0, 50, 5s}};
    other.observe_version(service, "v1", now);
    other.observe_version(service, "v2", now + 1s);
    cr_assert(other.rule(service, now + 2s) == version_rule{});
}

// The end of one upstream, which breaks several calls, looks like a bad version.
Test(rollout, broken_connections_of_one_upstream_count_once)
{
    fleet f{1, 30s};
    for (int it = 0; it < 20; ++it)
        f.hosts[0].answered(upstream_id{"b"}, service, "v2", {1, false, true, true, {}}, f.now);
    cr_assert_eq(f.hosts[0].find(service)->target_answers().failed, 1);
}
