// Updates of the cached latency quantiles and of the largest time budgets.
#include "fanout/callstatistics.h"

#include <algorithm>

namespace ebonywick {

namespace {

constexpr std::uint32_t refresh_interval_samples = 32;
constexpr double p90_rank = 0.9;

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

} // namespace ebonywick
