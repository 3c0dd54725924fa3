// Updates of the cached latency quantiles and of the largest time budgets, and estimates.
#include "fanout/callstatistics.h"

#include <algorithm>

namespace ebonywick {

namespace {

constexpr std::uint32_t refresh_interval_samples = 32;
constexpr double p90_rank = 0.9;
constexpr double p99_rank = 0.99;
// Allowance for a request that takes longer than almost all before it.
constexpr double long_request_factor = 1.25;
// Estimate of the longest request while none is known, in target latencies.
constexpr int unknown_request_targets = 2;

} // namespace

void route_call_times::add(duration call_time)
{
    window_.add(call_time);
    if (--samples_until_refresh_ > 0)
        return;
    samples_until_refresh_ = refresh_interval_samples;
    p90_ = window_.quantile(p90_rank);
    median_ = window_.quantile(0.5);
}

void route_call_times::add_request(duration request_time)
{
    requests_.add(request_time);
    if (--requests_until_refresh_ > 0)
        return;
    requests_until_refresh_ = refresh_interval_samples;
    request_p99_ = requests_.quantile(p99_rank);
}

double route_call_times::relative_to_median(duration call_time) const
{
    if (median_ == duration::zero())
        return 1.0;
    return static_cast<double>(call_time.count()) / static_cast<double>(median_.count());
}

duration call_statistics::update_max_budget(const std::string& route, duration budget)
{
    duration& max_budget = max_budgets_[route];
    max_budget = std::max(max_budget, budget);
    return max_budget;
}

duration call_statistics::longest_expected(const route& via, duration budget)
{
    const duration known = for_route(via.name).request_p99();
    const duration usual = known == duration::zero()
                               ? unknown_request_targets * via.target_latency
                               : std::chrono::duration_cast<duration>(known * long_request_factor);
    return std::min({usual, via.timeout, budget});
}

} // namespace ebonywick
