// Tests that the hosts together keep to the limits that upstreams state, in a simulated fleet.
#include "simulatedfleet.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

constexpr duration limit_window = 4s;
// From then on after a limit was stated the platform expects the hosts to keep to it.
constexpr duration notice = 4s;

// Most calls within `limit_window` that the platform tolerates at a limit.
std::size_t tolerated(double calls_per_second)
{
    return static_cast<std::size_t>(1.5 * calls_per_second * 4 + 5);
}

} // namespace

// Guards against hosts that together send an upstream more calls than the limit it states.
Test(stated_limits, hosts_together_keep_to_the_limit_of_an_upstream)
{
    simulated_fleet fleet{13, 1};
    fleet.load(180, 3s);
    fleet.limit(0, 1, 38.0);
    fleet.limit(1, 1, 19.0);
    fleet.load(180, notice);
    const time_point since = fleet.now();
    fleet.load(180, 12s);
    cr_assert_leq(fleet.most_arrivals(0, 0, since, limit_window), tolerated(38.0));
    cr_assert_leq(fleet.most_arrivals(1, 0, since, limit_window), tolerated(19.0));
}

// Load returns after a minute without any. Guards against low limits that are exceeded because each
// host may send one call at a time.
Test(stated_limits, low_limits_are_kept_by_many_hosts)
{
    for (const std::size_t hosts : {13U, 60U}) {
        simulated_fleet fleet{hosts, 2};
        fleet.load(180, 3s);
        fleet.limit(0, 10, 1.5);
        fleet.load(180, notice);
        const time_point since = fleet.now();
        fleet.load(180, 8s);
        for (int it = 0; it < 20; ++it)
            fleet.drain();
        fleet.load(180, 4s);
        for (std::size_t shard = 0; shard < 10; ++shard)
            cr_assert_leq(fleet.most_arrivals(0, shard, since, limit_window), tolerated(1.5));
    }
}

// Two of three replicas of each shard state a third of their load as limit. Guards against calls
// that queue at the third replica, and against rejections while there are free slots.
Test(stated_limits, other_replicas_take_over)
{
    simulated_fleet fleet{13, 3};
    fleet.load(180, 3s);
    fleet.limit(0, 10, 20.0);
    fleet.limit(1, 10, 20.0);
    fleet.load(180, 1s);
    fleet.reset_results();
    fleet.load(180, 5s);
    fleet.drain();
    for (const char* route : {"browse", "lookup"}) {
        const auto& it = fleet.of(route);
        cr_log_info("%s: %zu of %zu in time, %zu refused", route, it.in_time, it.total, it.refused);
        // The third replicas are used to 60 %, so that single requests meet a queue.
        cr_assert(static_cast<double>(it.refused) < 0.01 * static_cast<double>(it.total));
        cr_assert(static_cast<double>(it.in_time) > 0.97 * static_cast<double>(it.total));
    }
}

// All replicas of a shard state limits far below the load. Guards against answers that wait for
// the shard, and against failures, although an answer without it is allowed.
Test(stated_limits, limited_shard_is_left_out_at_once)
{
    simulated_fleet fleet{13, 4};
    fleet.load(180, 3s);
    for (std::size_t replica = 0; replica < 3; ++replica)
        fleet.limit(replica, 1, 5.0);
    fleet.load(180, notice);
    fleet.reset_results();
    const time_point since = fleet.now();
    fleet.load(180, 8s);
    fleet.drain();
    for (std::size_t replica = 0; replica < 3; ++replica)
        cr_assert_leq(fleet.most_arrivals(replica, 0, since, limit_window), tolerated(5.0));
    for (const char* route : {"browse", "lookup"}) {
        const auto& it = fleet.of(route);
        cr_assert(it.failed == 0 && it.refused == 0);
        cr_assert(static_cast<double>(it.in_time) > 0.97 * static_cast<double>(it.total));
    }
}

// A limit that only two of 13 hosts share ends. Guards against hosts without a part, which get no
// replies of the upstream, that keep to the limit for ever.
Test(stated_limits, hosts_without_a_part_learn_of_the_end)
{
    simulated_fleet fleet{13, 5};
    fleet.load(180, 3s);
    fleet.limit(0, 1, 1.0);
    fleet.load(180, 5s);
    fleet.limit(0, 1, std::nullopt);
    fleet.load(180, 4s);
    const time_point since = fleet.now();
    fleet.load(180, 4s);
    const auto released = static_cast<double>(fleet.arrivals(0, 0, since));
    const auto never_limited = static_cast<double>(fleet.arrivals(0, 1, since));
    cr_assert(released > 0.7 * never_limited, "%.0f of %.0f", released, never_limited);
}

// Guards against hosts that have had no reply of a limited upstream yet, each of which sends it a
// call until one shows the limit.
Test(stated_limits, hosts_keep_to_limits_that_others_have_learned)
{
    simulated_fleet fleet{60, 6};
    fleet.load(180, 3s);
    fleet.limit(0, 1, 2.0);
    fleet.load(180, 1s);
    const time_point since = fleet.now();
    fleet.load(180, 8s);
    cr_assert_leq(fleet.most_arrivals(0, 0, since, limit_window), tolerated(2.0));
}
