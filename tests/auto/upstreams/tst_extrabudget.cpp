// Guards the budget of extra calls over all hosts.
#include "upstreams/extrabudget.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

const service_name shard{"shard"};

} // namespace

// Failure: the hosts together pass the fleet's limit in some window, because each takes
// the whole slack for itself.
Test(extra_budget, hosts_together_stay_below_the_fleet_limit)
{
    constexpr std::size_t hosts = 13;
    constexpr double slack = 113;
    std::vector<extra_budget> budgets(hosts, extra_budget{{0.2, 10s, slack}});
    for (auto& it : budgets)
        it.set_host_count(hosts);
    std::vector<time_point> requests;
    std::vector<time_point> extras;
    // 40 s of 60 requests a second; every request wants an extra call.
    for (int step = 0; step < 2400; ++step) {
        const time_point now{step * 16667us};
        extra_budget& it = budgets[static_cast<std::size_t>(step) % hosts];
        it.record_request(shard, now);
        requests.push_back(now);
        if (it.try_take(shard, now))
            extras.push_back(now);
    }
    for (const time_point begin : extras) {
        const auto within = [&](const auto& all) {
            return static_cast<double>(std::count_if(all.begin(), all.end(), [&](time_point it) {
                return it >= begin && it < begin + 10s;
            }));
        };
        const auto earlier =
            static_cast<double>(std::count_if(requests.begin(), requests.end(), [&](time_point it) {
                return it >= begin - 10s && it < begin;
            }));
        const double counted = std::max(within(requests), earlier);
        cr_assert(within(extras) <= 0.2 * counted + slack);
    }
}

// Failure: a hedge takes the last of the budget, so that a failed call cannot be
// repeated.
Test(extra_budget, hedges_leave_room_for_retries)
{
    extra_budget budget{{0.0, 10s, 20}};
    const time_point now{100s};
    while (budget.try_take_hedge(shard, now)) {
    }
    cr_assert(budget.try_take(shard, now));
}

// Failure: a service without requests has no budget, or the budget of one service is
// used up by another.
Test(extra_budget, services_are_counted_apart)
{
    extra_budget budget{{0.0, 10s, 10}};
    const time_point now{100s};
    while (budget.try_take(shard, now)) {
    }
    cr_assert(budget.try_take(service_name{"other"}, now));
}

// Failure: what was taken long ago still counts, or comes back too early.
Test(extra_budget, window_slides)
{
    extra_budget budget{{0.0, 10s, 10}};
    while (budget.try_take(shard, time_point{100s})) {
    }
    cr_assert(!budget.try_take(shard, time_point{109s}));
    cr_assert(budget.try_take(shard, time_point{113s}));
}
