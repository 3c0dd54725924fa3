// Guards the decisions under the load patterns that hurt most, in a simulated fleet.
#include "simulatedfleet.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

double share(std::size_t part, std::size_t all)
{
    return all == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(all);
}

} // namespace

// Pattern: an ordinary day, at a quarter of the slots. Failure: requests are refused or
// late without need.
Test(load_patterns, ordinary_load_is_answered_in_time)
{
    simulated_fleet fleet{13, 1};
    fleet.load(180, 5s);
    fleet.settle();
    for (const char* route : {"browse", "lookup"}) {
        cr_assert(share(fleet.of(route).in_time, fleet.of(route).asked) > 0.98);
        cr_assert(fleet.of(route).refused == 0);
    }
}

// Pattern: more requests than the slots can run, 1.4 times as many. Failure: queues grow
// until all requests are late, although most could be answered in time if the rest were
// refused at once.
Test(load_patterns, overload_is_refused_early_and_the_rest_is_in_time)
{
    simulated_fleet fleet{13, 2};
    fleet.load(180, 3s);
    fleet.reset_results();
    fleet.load(1000, 5s);
    fleet.settle();
    const auto& browse = fleet.of("browse");
    const auto& lookup = fleet.of("lookup");
    const std::size_t asked = browse.asked + lookup.asked;
    cr_log_info("browse %zu of %zu in time, lookup %zu of %zu", browse.in_time, browse.asked,
                lookup.in_time, lookup.asked);
    // The slots can run about 0.7 of it.
    cr_assert(share(browse.in_time + lookup.in_time, asked) > 0.5);
    cr_assert(share(browse.late + lookup.late, asked) < 0.1);
    cr_assert(share(browse.failed + lookup.failed, asked) < 0.02);
    // The more urgent kind is not put behind, and the other is not starved.
    cr_assert(share(browse.in_time, browse.asked) > share(lookup.in_time, lookup.asked) - 0.05);
    cr_assert(share(lookup.in_time, lookup.asked) > 0.25 * share(browse.in_time, browse.asked));
}

// Pattern: after an overload. Failure: the refusals go on although the queues are empty.
Test(load_patterns, overload_ends_with_the_load)
{
    simulated_fleet fleet{13, 3};
    fleet.load(180, 2s);
    fleet.load(1200, 3s);
    fleet.load(180, 500ms);
    fleet.reset_results();
    fleet.load(180, 3s);
    fleet.settle();
    cr_assert(fleet.of("browse").refused == 0);
    cr_assert(share(fleet.of("lookup").in_time, fleet.of("lookup").asked) > 0.97);
}

// Pattern: one upstream of many shards stands still. Failure: queries wait for it, or
// answers come without the shard although two upstreams of it are idle.
Test(load_patterns, paused_upstreams_cost_neither_time_nor_coverage)
{
    simulated_fleet fleet{13, 4};
    fleet.load(180, 3s);
    fleet.reset_results();
    fleet.pause(1, 10, 3s);
    fleet.load(180, 3s);
    fleet.settle();
    for (const char* route : {"browse", "lookup"}) {
        const auto& it = fleet.of(route);
        cr_assert(share(it.in_time, it.asked) > 0.93);
        cr_assert(it.coverage / static_cast<double>(it.in_time) > 0.97);
    }
}

// Pattern: short pauses that come again and again at other upstreams. Failure: each costs
// the queries that met it their shard, although the other upstreams of it are idle.
Test(load_patterns, short_pauses_are_bridged)
{
    simulated_fleet fleet{13, 5};
    fleet.load(180, 3s);
    fleet.reset_results();
    for (std::size_t it = 0; it < 12; ++it) {
        fleet.pause(it % 3, 10, 200ms);
        fleet.load(180, 400ms);
    }
    fleet.settle();
    for (const char* route : {"browse", "lookup"}) {
        const auto& it = fleet.of(route);
        cr_assert(share(it.in_time, it.asked) > 0.93);
        cr_assert(it.coverage / static_cast<double>(it.in_time) > 0.97);
    }
}
