// Refresh of the cached quantiles.
#include "fanout/callstatistics.h"

#include <algorithm>

namespace ebonywick {

namespace {

constexpr std::uint32_t refresh_interval = 32;
constexpr double high_share = 0.9;

} // namespace

void route_call_times::add(duration call_time)
{
    window_.add(call_time);
    if (--until_refresh_ > 0)
        return;
    until_refresh_ = refresh_interval;
    high_ = window_.quantile(high_share);
    median_ = window_.quantile(0.5);
}

double route_call_times::relative(duration call_time) const
{
    if (median_ == duration::zero())
        return 1.0;
    return static_cast<double>(call_time.count()) / static_cast<double>(median_.count());
}

duration call_statistics::update_max_budget(const std::string& route, duration budget)
{
    duration& most = budgets_[route];
    most = std::max(most, budget);
    return most;
}

} // namespace ebonywick
