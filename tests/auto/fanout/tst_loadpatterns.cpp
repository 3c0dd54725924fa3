// Tests of the fan-out under overload and pauses, in a simulated fleet.
#include "simulatedfleet.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

double share(std::size_t part, std::size_t all)
{
    return all == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(all);
}

} // namespace

// Load at a quarter of the capacity. Guards against unnecessary refusals and late answers.
Test(load_patterns, ordinary_load_is_answered_in_time)
{
    simulated_fleet fleet{13, 1};
    fleet.load(180, 5s);
    fleet.drain();
    for (const char* route : {"browse", "lookup"}) {
        cr_assert(share(fleet.of(route).in_time, fleet.of(route).total) > 0.98);
        cr_assert(fleet.of(route).refused == 0);
    }
}

// Load at 1.4 times the capacity. Guards against queues that grow until all requests are late,
// although most could be answered in time if the rest were refused at once.
Test(load_patterns, overload_is_refused_early_and_the_rest_is_in_time)
{
    simulated_fleet fleet{13, 2};
    fleet.load(180, 3s);
    fleet.reset_results();
    fleet.load(1000, 5s);
    fleet.drain();
    const auto& browse = fleet.of("browse");
    const auto& lookup = fleet.of("lookup");
    const std::size_t total = browse.total + lookup.total;
    cr_log_info("browse %zu of %zu in time, lookup %zu of %zu", browse.in_time, browse.total,
                lookup.in_time, lookup.total);
    // The capacity is about 0.7 of the load.
    cr_assert(share(browse.in_time + lookup.in_time, total) > 0.5);
    cr_assert(share(browse.late + lookup.late, total) < 0.1);
    cr_assert(share(browse.failed + lookup.failed, total) < 0.02);
    // The more urgent route is not disadvantaged, and the other is not starved.
    cr_assert(share(browse.in_time, browse.total) > share(lookup.in_time, lookup.total) - 0.05);
    cr_assert(share(lookup.in_time, lookup.total) > 0.25 * share(browse.in_time, browse.total));
}

// After an overload. Guards against refusals that go on when the queues are empty again.
Test(load_patterns, overload_ends_with_the_load)
{
    simulated_fleet fleet{13, 3};
    fleet.load(180, 2s);
    fleet.load(1200, 3s);
    fleet.load(180, 500ms);
    fleet.reset_results();
    fleet.load(180, 3s);
    fleet.drain();
    cr_assert(fleet.of("browse").refused == 0);
    cr_assert(share(fleet.of("lookup").in_time, fleet.of("lookup").total) > 0.97);
}

// One replica of every shard is paused. Guards against queries that wait for it, and against
// answers without the shard although its other two upstreams are idle.
Test(load_patterns, paused_upstreams_cost_neither_time_nor_coverage)
{
    simulated_fleet fleet{13, 4};
    fleet.load(180, 3s);
    fleet.reset_results();
    fleet.pause(1, 10, 3s);
    fleet.load(180, 3s);
    fleet.drain();
    for (const char* route : {"browse", "lookup"}) {
        const auto& it = fleet.of(route);
        cr_assert(share(it.in_time, it.total) > 0.93);
        cr_assert(it.coverage / static_cast<double>(it.in_time) > 0.97);
    }
}

// Short pauses at changing upstreams. Guards against answers that omit the shard of a paused
// upstream although its other upstreams are idle.
Test(load_patterns, short_pauses_do_not_reduce_coverage)
{
    simulated_fleet fleet{13, 5};
    fleet.load(180, 3s);
    fleet.reset_results();
    for (std::size_t it = 0; it < 12; ++it) {
        fleet.pause(it % 3, 10, 200ms);
        fleet.load(180, 400ms);
    }
    fleet.drain();
    for (const char* route : {"browse", "lookup"}) {
        const auto& it = fleet.of(route);
        cr_assert(share(it.in_time, it.total) > 0.93);
        cr_assert(it.coverage / static_cast<double>(it.in_time) > 0.97);
    }
}

// Load at 1.4 times the capacity, most of it from one customer. Guards against a customer of many
// requests that pushes out those of few, whose requests there is room for.
Test(load_patterns, hot_customer_does_not_push_out_the_others)
{
    simulated_fleet fleet{13, 6};
    fleet.set_hot_customer(0.1);
    fleet.load(180, 3s);
    fleet.set_hot_customer(0.85);
    fleet.load(1000, 2s);
    fleet.reset_results();
    fleet.load(1000, 5s);
    fleet.drain();
    const auto& hot = fleet.of_customer("c0");
    cr_log_info("hot %zu of %zu", hot.in_time, hot.total);
    for (int it = 1; it < 10; ++it) {
        const auto& other = fleet.of_customer("c" + std::to_string(it));
        cr_log_info("c%d %zu of %zu", it, other.in_time, other.total);
        cr_assert(share(other.in_time, other.total) > 0.9);
    }
    // The rest of the room is still used.
    cr_assert(share(hot.in_time, hot.total) > 0.4);
}
