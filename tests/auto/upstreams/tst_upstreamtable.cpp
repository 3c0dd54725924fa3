// Guards the choice of upstreams and the handling of their entries.
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
            const auto chosen = table.choose(service, {}, now);
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
    upstream_table table{failure_domain_id{"d1"}, 7};
};

} // namespace

// Failure: a leaving upstream, or one in a failure domain that is out, gets a call.
Test(upstream_table, leaving_and_removed_domains_get_nothing)
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

// Failure: the pattern of a pause or a crash: calls keep going to an upstream that does
// not answer, or never return to it.
Test(upstream_table, silent_upstream_is_avoided_and_tested_again)
{
    table_fixture f;
    f.add("a");
    f.add("b");
    f.table.call_late(f.at("a"), f.now);
    cr_assert(!f.choices().contains("a"));
    f.now += 250ms;
    cr_assert(f.choices().contains("a"));
    // One call at a time while it has not replied.
    f.table.call_started(f.at("a"), f.now);
    cr_assert(!f.choices().contains("a"));
    f.table.call_ended(f.at("a"), call_result::replied, {10ms, 1.0}, f.now);
    f.table.call_started(f.at("a"), f.now);
    cr_assert(f.choices().contains("a"));
}

// Failure: with no other upstream left, a call is refused although one might answer.
Test(upstream_table, avoided_upstream_is_the_last_resort)
{
    table_fixture f;
    f.add("a");
    f.call("a", call_result::lost);
    cr_assert(f.choices() == (std::map<std::string, int>{{"a", 300}}));
}

// Failure: an upstream that became slow keeps its full share of the calls.
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
    // The observation fades, so the upstream is tried again.
    f.now += 12s;
    shares = f.choices(1000);
    cr_assert(shares["a"] * 3 > shares["b"]);
}

// Failure: a fast failing upstream attracts calls because it seems idle and quick.
Test(upstream_table, failing_upstream_is_avoided)
{
    table_fixture f;
    f.add("a");
    f.add("b");
    f.call("a", call_result::failed, 0.01);
    cr_assert(!f.choices().contains("a"));
}

// Failure: an upstream whose queue is full is preferred to an idle one.
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

// Failure: a new life under a known id or address inherits what was seen of the earlier
// one, or calls in progress refer to freed state.
Test(upstream_table, new_life_starts_without_observations)
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

// Failure: an entry that lapsed while the store was away is used before one that is
// there, or is not used although no other is left.
Test(upstream_table, lapsing_entry_is_the_last_resort)
{
    table_fixture f;
    f.add("a");
    f.add("b");
    f.table.set_lapsing(upstream_id{"a"});
    cr_assert(!f.choices().contains("a"));
    f.table.remove(upstream_id{"b"});
    cr_assert(f.choices().contains("a"));
}

// Failure: the pattern of an overload: a wait for slots is not noticed, or one upstream
// with a free slot does not end it.
Test(upstream_table, expected_wait_is_that_of_the_least_loaded)
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
    // Nine calls on four slots, one more than two rounds of 10 ms.
    cr_assert(f.table.expected_wait(service, f.now) > 10ms);
    cr_assert(f.table.expected_wait(service, f.now) < 15ms);
    f.now += 1s;
    cr_assert(f.table.expected_wait(service, f.now) == 0ms);
}

// Pattern: a long overload, in which each of many hosts gets a report of an upstream only
// now and then. Failure: between two reports the queue seems to be gone.
Test(upstream_table, lasting_queue_is_expected_between_reports)
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

// Failure: a host sends a series of calls to the upstream that its last report called
// idle, because the calls sent since then do not count until they exceed the report.
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

// Pattern: the queue stands at an upstream that has become slow. Failure: the wait is taken
// for that of an ordinary one.
Test(upstream_table, expected_wait_counts_slowness)
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

// Pattern: an upstream refuses or fails two of five calls while its replies are quick.
// Failure: it keeps its share of the calls, and the budget of extra calls is spent on it.
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

// Failure: a cold upstream gets more calls from all hosts together than it bears, or all
// hosts send their first call in the same moment.
Test(upstream_table, cold_upstream_gets_what_it_bears)
{
    constexpr int hosts = 10;
    constexpr double bearable = 5.0;
    time_point now{1000s};
    std::vector<upstream_table> tables;
    for (std::uint64_t host = 0; host < hosts; ++host)
        tables.emplace_back(failure_domain_id{"d1"}, host + 1);
    for (auto& it : tables) {
        it.upsert({.id = upstream_id{"a"},
                   .service = service,
                   .address = {"127.0.0.1", 1},
                   .domain = failure_domain_id{"d1"},
                   .slots = 4,
                   .cold_remaining = 10s},
                  now);
        it.set_cold_rate(service, bearable / hosts);
    }
    int calls = 0;
    int most_in_a_second = 0;
    int in_first_moment = 0;
    for (int second = 0; second < 9; ++second) {
        const int before = calls;
        for (int step = 0; step < 100; ++step, now += 10ms) {
            if (second == 0 && step == 1)
                in_first_moment = calls;
            for (auto& it : tables) {
                const auto chosen = it.choose(service, {}, now);
                if (!chosen)
                    continue;
                ++calls;
                it.call_started(*chosen, now);
                it.call_ended(*chosen, call_result::replied, {10ms, 1.0}, now);
            }
        }
        most_in_a_second = std::max(most_in_a_second, calls - before);
    }
    cr_assert(in_first_moment <= hosts / 2);
    cr_assert(most_in_a_second <= 1.5 * bearable + 5);
    cr_assert(calls >= 0.7 * bearable * 9);
    // Warm again, it gets every call.
    now += 2s;
    cr_assert(tables.front().choose(service, {}, now) != nullptr);
    cr_assert(tables.front().choose(service, {}, now) != nullptr);
}
