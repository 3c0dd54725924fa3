// Tests of load balancing among upstreams and of the updates of their entries.
#include "upstreams/upstreamtable.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

const service_name service{"s"};

struct table_fixture
{
    void add(const std::string& id, const std::string& domain = "d1")
    {
        table.upsert({.id = upstream_id{id},
                      .service = service,
                      .address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + table.size())},
                      .domain = failure_domain_id{domain},
                      .slots = 4},
                     now);
    }
    upstream& at(const std::string& id) { return *table.find(upstream_id{id}); }
    std::map<std::string, int> choices(int count = 300)
    {
        std::map<std::string, int> out;
        for (int it = 0; it < count; ++it) {
            const auto chosen = table.choose({service, {}, now});
            ++out[chosen ? chosen->entry().id.value() : ""];
        }
        return out;
    }
    void call(const std::string& id, call_result result, double relative = 1.0)
    {
        table.call_started(at(id), now);
        table.call_ended(at(id), result, {10ms, relative}, now);
    }

    time_point now{1000s};
    upstream_table table{host_id{"h"}, failure_domain_id{"d1"}, 7};
};

} // namespace

// Guards against calls to a leaving upstream or to one in a failure domain that is out.
Test(upstream_table, leaving_upstreams_and_domains_out_get_no_calls)
{
    table_fixture f;
    f.add("a");
    f.add("b", "d2");
    f.add("c");
    auto leaving = f.at("a").entry();
    leaving.leaving = true;
    f.table.upsert(leaving, f.now);
    f.table.set_domains_out({failure_domain_id{"d2"}});
    cr_assert(f.choices() == (std::map<std::string, int>{{"c", 300}}));
    f.add("d", "d2");
    cr_assert(!f.choices().contains("d"));
    f.table.set_domains_out({});
    cr_assert(f.choices().contains("b"));
}

// An upstream pauses or crashes. Guards against calls that keep going to an upstream that does
// not answer, and against never calling it again.
Test(upstream_table, silent_upstream_is_avoided_and_tried_again)
{
    table_fixture f;
    f.add("a");
    f.add("b");
    f.table.call_late(f.at("a"), f.now);
    cr_assert(!f.choices().contains("a"));
    f.now += 250ms;
    cr_assert(f.choices().contains("a"));
    // Until it replies it gets one call at a time.
    f.table.call_started(f.at("a"), f.now);
    cr_assert(!f.choices().contains("a"));
    f.table.call_ended(f.at("a"), call_result::replied, {10ms, 1.0}, f.now);
    f.table.call_started(f.at("a"), f.now);
    cr_assert(f.choices().contains("a"));
}

// Guards against refusing a call because the only upstream, which might answer, is in backoff.
Test(upstream_table, avoided_upstream_is_the_last_resort)
{
    table_fixture f;
    f.add("a");
    f.call("a", call_result::lost);
    cr_assert(f.choices() == (std::map<std::string, int>{{"a", 300}}));
}

// Load: upstreams that share their machines with others. Guards against calls to an upstream that
// is known to be slow at this moment, and against a report that counts when its pace is long over.
Test(upstream_table, reported_pace_counts_while_it_is_fresh)
{
    table_fixture f;
    f.add("a");
    f.add("b");
    for (int it = 0; it < 20; ++it) {
        f.table.load_reported(f.at("a"), {0, 0, 4, 200}, f.now);
        f.table.load_reported(f.at("b"), {0, 0, 4, 100}, f.now);
    }
    // The usual pace of each is in the durations that the host observes.
    cr_assert(f.choices()["a"] > 100);
    f.table.load_reported(f.at("a"), {0, 0, 4, 600}, f.now);
    cr_assert(f.choices()["a"] < 50);
    f.now += 1s;
    cr_assert(f.choices()["a"] > 100);
}

// Guards against an upstream that becomes slow and keeps its full share of the calls.
Test(upstream_table, slow_upstream_gets_fewer_calls)
{
    table_fixture f;
    f.add("a");
    f.add("b");
    f.add("c");
    for (int it = 0; it < 10; ++it)
        f.call("a", call_result::replied, 8.0);
    auto shares = f.choices(1000);
    cr_assert(shares["a"] * 5 < shares["b"]);
    // The observation decays, so the upstream is tried again.
    f.now += 12s;
    shares = f.choices(1000);
    cr_assert(shares["a"] * 3 > shares["b"]);
}

// Guards against an upstream that fails fast and attracts calls because it seems idle and quick.
Test(upstream_table, failing_upstream_is_avoided)
{
    table_fixture f;
    f.add("a");
    f.add("b");
    f.call("a", call_result::failed, 0.01);
    cr_assert(!f.choices().contains("a"));
}

// Guards against preferring an upstream with a long queue to an idle one.
Test(upstream_table, reported_load_counts_while_it_is_fresh)
{
    table_fixture f;
    f.add("a");
    f.add("b");
    f.table.load_reported(f.at("a"), {4, 8, 4}, f.now);
    auto shares = f.choices(1000);
    cr_assert(shares["a"] * 4 < shares["b"]);
    f.now += 1s;
    shares = f.choices(1000);
    cr_assert(shares["a"] * 2 > shares["b"]);
}

// Guards against a restarted upstream that inherits the observations of its earlier incarnation,
// and against calls in progress that refer to freed state.
Test(upstream_table, restarted_upstream_starts_without_observations)
{
    table_fixture f;
    f.add("a");
    const upstream_pointer earlier = f.table.find(upstream_id{"a"});
    f.table.call_started(*earlier, f.now);
    auto entry = earlier->entry();
    entry.incarnation = 5;
    f.table.upsert(entry, f.now);
    cr_assert(!earlier->listed());
    cr_assert(f.at("a").calls() == 0);
    f.table.call_ended(*earlier, call_result::lost, {10ms, 1.0}, f.now);
    cr_assert(f.choices().contains("a"));
}

// Guards against preferring an upstream whose entry lapsed, for example while the store was
// unavailable, and against not using it when no other is left.
Test(upstream_table, lapsing_entry_is_the_last_resort)
{
    table_fixture f;
    f.add("a");
    f.add("b");
    f.table.set_lapsing(upstream_id{"a"});
    cr_assert(!f.choices().contains("a"));
    f.table.remove(upstream_id{"b"}, f.now);
    cr_assert(f.choices().contains("a"));
}

// During an overload. Guards against an expected wait of zero while all upstreams have queues,
// and against a wait while one upstream has a free slot.
Test(upstream_table, expected_wait_is_that_of_the_least_loaded_upstream)
{
    table_fixture f;
    f.add("a");
    f.add("b");
    for (int it = 0; it < 200; ++it)
        f.call("a", call_result::replied);
    cr_assert(f.table.expected_wait(service, f.now) == 0ms);
    f.table.load_reported(f.at("a"), {4, 8, 4}, f.now);
    cr_assert(f.table.expected_wait(service, f.now) == 0ms);
    f.table.load_reported(f.at("b"), {4, 4, 4}, f.now);
    // Nine calls on four slots, with the new one: it waits 5/4 of a run time of 10 ms.
    cr_assert(f.table.expected_wait(service, f.now) > 10ms);
    cr_assert(f.table.expected_wait(service, f.now) < 15ms);
    f.now += 1s;
    cr_assert(f.table.expected_wait(service, f.now) == 0ms);
}

// During a long overload each of many hosts gets only occasional reports of an upstream. Guards
// against an estimate that forgets the queue between two reports.
Test(upstream_table, expected_wait_lasts_between_reports)
{
    table_fixture f;
    f.add("a");
    for (int it = 0; it < 200; ++it)
        f.call("a", call_result::replied);
    for (int it = 0; it < 20; ++it) {
        f.now += 100ms;
        f.table.load_reported(f.at("a"), {4, 8, 4}, f.now);
    }
    const auto reported = f.table.expected_wait(service, f.now);
    f.now += 200ms;
    cr_assert(f.table.expected_wait(service, f.now) > reported / 2);
    f.now += 3s;
    cr_assert(f.table.expected_wait(service, f.now) == 0ms);
}

// Guards against a host that sends a series of calls to the upstream that was idle at the last
// report, because its own calls since then count only once they exceed the report.
Test(upstream_table, own_calls_since_the_report_are_added)
{
    table_fixture f;
    f.add("a");
    for (int it = 0; it < 200; ++it)
        f.call("a", call_result::replied);
    f.table.load_reported(f.at("a"), {4, 0, 4}, f.now);
    const auto before = f.table.expected_wait(service, f.now);
    for (int it = 0; it < 4; ++it)
        f.table.call_started(f.at("a"), f.now);
    cr_assert(f.table.expected_wait(service, f.now) > 2 * before);
}

// An upstream with a queue has become slow. Guards against an expected wait computed from the
// usual run time.
Test(upstream_table, expected_wait_scales_with_latency)
{
    table_fixture f;
    f.add("a");
    for (int it = 0; it < 200; ++it)
        f.call("a", call_result::replied);
    f.table.load_reported(f.at("a"), {4, 4, 4}, f.now);
    const auto usual = f.table.expected_wait(service, f.now);
    for (int it = 0; it < 30; ++it)
        f.call("a", call_result::replied, 6.0);
    cr_assert(f.table.expected_wait(service, f.now) > 4 * usual);
}

// An upstream refuses or fails two of five calls while its replies are quick. Guards against an
// upstream that keeps its share of the calls and uses up the budget of extra calls.
Test(upstream_table, partly_failing_upstream_gets_few_calls)
{
    for (const auto kind : {call_result::shed, call_result::failed, call_result::lost}) {
        table_fixture f;
        f.add("a");
        f.add("b");
        for (int it = 0; it < 60; ++it) {
            f.call("a", it % 5 < 2 ? kind : call_result::replied);
            f.call("b", call_result::replied);
            f.now += 50ms;
        }
        f.call("a", call_result::replied);
        auto shares = f.choices(1000);
        cr_assert(shares["a"] * 5 < shares["b"]);
        f.now += 20s;
        shares = f.choices(1000);
        cr_assert(shares["a"] * 2 > shares["b"]);
    }
}

// Guards against hosts that together exceed the call rate of an upstream in its cold start, or
// that all send their first call at the same time.
Test(upstream_table, cold_upstream_gets_calls_at_its_rate)
{
    constexpr int hosts = 10;
    constexpr double calls_per_second = 5.0;
    time_point now{1000s};
    std::vector<upstream_table> tables;
    for (std::uint64_t host = 0; host < hosts; ++host)
        tables.emplace_back(host_id{"h"}, failure_domain_id{"d1"}, host + 1);
    for (auto& it : tables) {
        it.set_cold_rate(service, calls_per_second / hosts, now);
        it.upsert({.id = upstream_id{"a"},
                   .service = service,
                   .address = {"127.0.0.1", 1},
                   .domain = failure_domain_id{"d1"},
                   .slots = 4,
                   .cold_remaining = 10s},
                  now);
    }
    int calls = 0;
    int max_calls_per_second = 0;
    int calls_in_first_step = 0;
    for (int second = 0; second < 9; ++second) {
        const int before = calls;
        for (int step = 0; step < 100; ++step, now += 10ms) {
            if (second == 0 && step == 1)
                calls_in_first_step = calls;
            for (auto& it : tables) {
                const auto chosen = it.choose({service, {}, now});
                if (!chosen)
                    continue;
                ++calls;
                it.call_started(*chosen, now);
                it.call_ended(*chosen, call_result::replied, {10ms, 1.0}, now);
            }
        }
        max_calls_per_second = std::max(max_calls_per_second, calls - before);
    }
    cr_assert(calls_in_first_step <= hosts / 2);
    cr_assert(max_calls_per_second <= 1.5 * calls_per_second + 5);
    cr_assert(calls >= 0.7 * calls_per_second * 9);
    // After the cold start there is no limit.
    now += 2s;
    cr_assert(tables.front().choose({service, {}, now}) != nullptr);
    cr_assert(tables.front().choose({service, {}, now}) != nullptr);
}

// Guards against calls beyond this host's part of a limit, also as hedges or as a last resort, and
// against a limit that outlives its statement or is lost when only its value changes.
Test(upstream_table, limited_upstream_gets_calls_at_its_rate)
{
    table_fixture f;
    f.add("a");
    f.table.set_sharing_hosts({{host_id{"h"}, host_id{"other"}}, 0}, f.now);
    f.table.limit_stated(f.at("a"), {4.0}, f.now, f.now);
    cr_assert(f.table.limited_count() == 1);
    int calls = 0;
    for (int step = 0; step < 1000; ++step, f.now += 10ms) {
        if (step == 500)
            f.table.limit_stated(f.at("a"), {8.0}, f.now, f.now);
        const bool free_slot = f.table.has_free_slot({service, {}, f.now});
        cr_assert(free_slot == (f.table.next_call_at(service, f.now) == f.now));
        if (f.table.choose({service, {}, f.now})) {
            cr_assert(free_slot);
            f.call("a", call_result::replied);
            ++calls;
        }
    }
    // Half of 4 a second for 5 s, and of 8 a second for 5 s.
    cr_assert(calls >= 27 && calls <= 31, "%d", calls);
    f.table.limit_stated(f.at("a"), {}, f.now, f.now);
    cr_assert(f.choices(20)["a"] == 20);
}

// Guards against an expected wait of zero, and so admitted requests that queue, because an
// upstream at its limit is idle.
Test(upstream_table, upstream_at_its_limit_does_not_hide_the_queues_of_the_others)
{
    table_fixture f;
    f.add("a");
    f.add("b");
    f.call("b", call_result::replied);
    f.table.load_reported(f.at("b"), {4, 8, 4}, f.now);
    cr_assert(f.table.expected_wait(service, f.now) == duration::zero());
    f.table.limit_stated(f.at("a"), {1.0}, f.now, f.now);
    cr_assert(f.table.expected_wait(service, f.now) > duration::zero());
}

// Guards against a limit that is applied to the next upstream at an address, or to the same one
// after its restart.
Test(upstream_table, limit_ends_with_the_incarnation_that_stated_it)
{
    table_fixture f;
    f.add("a");
    f.table.limit_stated(f.at("a"), {0.0}, f.now, f.now);
    cr_assert(f.choices(5)["a"] == 0);
    auto restarted = f.at("a").entry();
    restarted.incarnation = 7;
    f.table.upsert(restarted, f.now);
    cr_assert(f.choices(5)["a"] == 5 && f.table.limited_count() == 0);
}

// Guards against an upstream that gets no calls at all after it has stated a limit of zero, so
// that no reply can show the end of the limit.
Test(upstream_table, limit_of_zero_is_checked_now_and_then)
{
    table_fixture f;
    f.add("a");
    f.table.limit_stated(f.at("a"), {0.0}, f.now, f.now);
    f.now += 1s;
    cr_assert(!f.table.choose({service, {}, f.now}));
    f.now += 1s;
    cr_assert(f.table.choose({service, {}, f.now}) != nullptr);
}

// Guards against an older statement that replaces a later one, statements that are passed on for
// ever, and a statement of another incarnation.
Test(upstream_table, hosts_tell_each_other_the_latest_statement)
{
    table_fixture told;
    table_fixture telling;
    const auto tell = [&] {
        for (const limit_report& it : telling.table.limit_reports(told.now)) {
            if (const auto of = told.table.find_reported(it.upstream))
                told.table.limit_stated(*of, it.limit, told.now - it.age, told.now);
        }
    };
    told.add("a");
    telling.add("a");
    telling.table.limit_stated(telling.at("a"), {3.0}, told.now, told.now);
    told.now += 100ms;
    tell();
    cr_assert(told.at("a").limit() == stated_limit{3.0});
    // A reply since then says that the limit has ended.
    told.table.limit_stated(told.at("a"), {}, told.now, told.now);
    told.now += 100ms;
    tell();
    cr_assert(told.at("a").limit() == stated_limit{});
    telling.table.limit_stated(telling.at("a"), {}, told.now, told.now);
    cr_assert(telling.table.limit_reports(told.now).size() == 1);
    cr_assert(telling.table.limit_reports(told.now + 31s).empty());
    auto restarted = told.at("a").entry();
    restarted.incarnation = 7;
    told.table.upsert(restarted, told.now);
    telling.table.limit_stated(telling.at("a"), {1.0}, told.now, told.now);
    tell();
    cr_assert(told.at("a").limit() == stated_limit{});
}

// Guards against limits that are never reported because more upstreams state one than a datagram
// has room for.
Test(upstream_table, all_of_many_limits_are_reported_in_turn)
{
    table_fixture f;
    std::map<std::uint32_t, int> reported;
    for (int it = 0; it < 150; ++it) {
        f.add("u" + std::to_string(it));
        f.table.limit_stated(f.at("u" + std::to_string(it)), {1.0}, f.now, f.now);
    }
    for (int it = 0; it < 40; ++it, f.now += 497ms) {
        const auto reports = f.table.limit_reports(f.now);
        cr_assert(reports.size() <= 64);
        for (const limit_report& report : reports)
            ++reported[report.upstream];
    }
    cr_assert(reported.size() == 150);
}

// Guards against first calls that use up the limits of a shard's upstreams, so that a call to the
// remaining one cannot be hedged while it is paused.
Test(upstream_table, first_calls_leave_a_token_of_a_limit_to_hedges)
{
    table_fixture f;
    f.add("a");
    f.add("b");
    f.table.limit_stated(f.at("a"), {3.0}, f.now, f.now);
    f.now += 500ms;
    cr_assert(f.choices(50)["b"] == 50);
    const std::vector<upstream_pointer> tried{f.table.find(upstream_id{"b"})};
    cr_assert(f.table.choose({service, tried, f.now}) == f.table.find(upstream_id{"a"}));
    f.now += 500ms;
    cr_assert(f.choices(50)["a"] > 0);
    // Without another upstream, first calls use it too.
    f.call("a", call_result::replied);
    f.call("a", call_result::replied);
    f.table.remove(upstream_id{"b"}, f.now);
    cr_assert(f.table.choose({service, {}, f.now}) != nullptr);
}

// Guards against calls to an upstream that has stated that it is leaving, as a hedge or as a last
// resort too, because an entry says ready, or says so again after it was missing.
Test(upstream_table, stated_leaving_holds_whatever_the_entry_says)
{
    table_fixture f;
    f.add("a");
    const upstream_entry entry = f.at("a").entry();
    f.table.leaving_stated(f.at("a"));
    const auto gets_no_calls = [&] {
        return !f.table.choose({service, {}, f.now}) && !f.table.has_usable(service) &&
               !f.table.has_free_slot({service, {}, f.now}) && f.table.leaving_count() == 1;
    };
    cr_assert(gets_no_calls());
    f.table.upsert(entry, f.now);
    cr_assert(gets_no_calls());
    f.table.set_lapsing(entry.id);
    f.table.upsert(entry, f.now);
    cr_assert(gets_no_calls());
    f.table.remove(entry.id, f.now);
    f.now += 59min;
    f.table.upsert(entry, f.now);
    cr_assert(gets_no_calls());
    // Another start, and back again to an entry of the earlier one.
    auto restarted = entry;
    restarted.incarnation = 7;
    f.table.upsert(restarted, f.now);
    cr_assert(f.choices(5)["a"] == 5 && f.table.leaving_count() == 0);
    f.table.upsert(entry, f.now);
    cr_assert(gets_no_calls());
}

// Guards against statements that are not passed on, are passed on for ever, are lost if there are
// many, or are taken for those of another incarnation.
Test(upstream_table, hosts_tell_each_other_which_upstreams_leave)
{
    table_fixture told;
    table_fixture telling;
    const auto tell = [&] {
        std::size_t out = 0;
        for (const lifetime_key it : telling.table.leaving_reports(told.now)) {
            ++out;
            if (const auto of = told.table.find_lifetime(it))
                told.table.leaving_stated(*of);
        }
        return out;
    };
    for (int it = 0; it < 100; ++it) {
        told.add("u" + std::to_string(it));
        telling.add("u" + std::to_string(it));
        telling.table.leaving_stated(telling.at("u" + std::to_string(it)));
    }
    auto restarted = told.at("u7").entry();
    restarted.incarnation = 7;
    told.table.upsert(restarted, told.now);
    for (int it = 0; it < 40; ++it)
        cr_assert(tell() <= 32);
    cr_assert(told.table.leaving_count() == 99 && told.at("u7").usable());
    for (const upstream_id& it : telling.table.ids())
        telling.table.remove(it, told.now);
    cr_assert(tell() == 32);
    told.now += 31s;
    cr_assert(tell() == 0);
}

// Guards against a limit that is forgotten because the entry of its upstream was missing for a
// while.
Test(upstream_table, limit_holds_after_the_entry_was_missing)
{
    table_fixture f;
    f.add("a");
    const upstream_entry entry = f.at("a").entry();
    f.table.limit_stated(f.at("a"), {0.0}, f.now, f.now);
    f.table.remove(entry.id, f.now);
    f.now += 100ms;
    f.table.upsert(entry, f.now);
    cr_assert(f.choices(5)["a"] == 0 && f.table.limited_count() == 1);
}

// Guards against calls to an upstream within a pause that it has asked this host for, as a hedge or
// as a last resort too, because a later refusal asks for a shorter one or because its entry was
// missing; and against a pause that outlives the incarnation that asked for it.
Test(upstream_table, paused_upstream_gets_no_calls_until_the_end)
{
    table_fixture f;
    f.add("a");
    const upstream_entry entry = f.at("a").entry();
    f.table.pause_stated(f.at("a"), f.now + 10s);
    f.table.pause_stated(f.at("a"), f.now + 1s);
    const auto gets_no_calls = [&] {
        return !f.table.choose({service, {}, f.now}) &&
               !f.table.has_free_slot({service, {}, f.now}) && !f.at("a").accepts_calls(f.now) &&
               f.table.paused_count(f.now) == 1;
    };
    cr_assert(gets_no_calls());
    cr_assert(f.table.next_call_at(service, f.now) == f.now + 10s);
    f.now += 5s;
    f.table.upsert(entry, f.now);
    cr_assert(gets_no_calls());
    f.table.remove(entry.id, f.now);
    f.table.upsert(entry, f.now);
    f.now += 4999ms;
    cr_assert(gets_no_calls());
    f.now += 1ms;
    cr_assert(f.choices(5)["a"] == 5 && f.table.paused_count(f.now) == 0);
    f.table.pause_stated(f.at("a"), f.now + 10s);
    auto restarted = entry;
    restarted.incarnation = 7;
    f.table.upsert(restarted, f.now);
    cr_assert(f.choices(5)["a"] == 5);
}
