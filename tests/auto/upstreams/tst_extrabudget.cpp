// Tests of the budget of hedges and retries, for one host and for a fleet.
#include "upstreams/extrabudget.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

const service_name shard{"shard"};

} // namespace

// Guards against hosts that together exceed the fleet's limit in some window, because each uses
// the whole slack.
Test(extra_budget, hosts_together_stay_below_the_fleet_limit)
{
    constexpr std::size_t hosts = 13;
    constexpr double slack = 113;
    std::vector<extra_budget> budgets(hosts, extra_budget{{0.2, 10s, slack}});
    for (auto& it : budgets)
        it.set_host_count(hosts);
    std::vector<time_point> requests;
    std::vector<time_point> extras;
    // 40 s of 60 requests per second; an extra call is tried for every request.
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

// Guards against hedges that use up the budget, so that failed calls cannot be retried.
Test(extra_budget, hedges_leave_room_for_retries)
{
    extra_budget budget{{0.0, 10s, 20}};
    const time_point now{100s};
    while (budget.try_take_hedge(shard, now)) {
    }
    cr_assert(budget.try_take(shard, now));
}

// Guards against a service without requests that has no budget, and against one service using
// the budget of another.
Test(extra_budget, services_have_separate_budgets)
{
    extra_budget budget{{0.0, 10s, 10}};
    const time_point now{100s};
    while (budget.try_take(shard, now)) {
    }
    cr_assert(budget.try_take(service_name{"other"}, now));
}

// Guards against extra calls that still count after the window, or stop counting within it.
Test(extra_budget, extra_calls_leave_the_window)
{
    extra_budget budget{{0.0, 10s, 10}};
    while (budget.try_take(shard, time_point{100s})) {
    }
    cr_assert(!budget.try_take(shard, time_point{109s}));
    cr_assert(budget.try_take(shard, time_point{113s}));
}
