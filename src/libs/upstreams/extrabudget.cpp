// Window arithmetic of the budget.
#include "upstreams/extrabudget.h"

#include <algorithm>
#include <numeric>

namespace ebonywick {

namespace {

// Part of the fleet's limit that the hosts use together. The rest covers calls that
// arrive late and so in another window than the one in which they were counted.
constexpr double used_part = 0.85;
// Part of the budget that hedges may use; the rest is for retries of failed calls,
// without which a query would miss a shard.
constexpr double hedge_part = 0.8;

} // namespace

extra_budget::counts& extra_budget::advanced(const service_name& service, time_point now)
{
    // The window is covered by bucket_count - 2 full buckets; one more is partly filled
    // and one keeps the sum conservative.
    const auto width = limits_.window / static_cast<int>(bucket_count - 2);
    const std::int64_t number = now.time_since_epoch() / width;
    counts& it = services_[service];
    const std::int64_t steps = std::min<std::int64_t>(number - it.newest, bucket_count);
    for (std::int64_t step = 0; step < steps; ++step) {
        const auto slot =
            static_cast<std::size_t>((number - step) % static_cast<std::int64_t>(bucket_count));
        it.requests[slot] = 0;
        it.extras[slot] = 0;
    }
    it.newest = std::max(it.newest, number);
    return it;
}

void extra_budget::record_request(const service_name& service, time_point now)
{
    counts& it = advanced(service, now);
    ++it.requests[static_cast<std::size_t>(it.newest % static_cast<std::int64_t>(bucket_count))];
}

bool extra_budget::take_below(const service_name& service, time_point now, double part)
{
    counts& it = advanced(service, now);
    const double requests = std::accumulate(it.requests.begin(), it.requests.end(), 0.0);
    const double extras = std::accumulate(it.extras.begin(), it.extras.end(), 0.0);
    const double limit =
        limits_.ratio * requests * static_cast<double>(bucket_count - 2) / bucket_count +
        limits_.slack / static_cast<double>(hosts_);
    if (extras + 1.0 > limit * used_part * part)
        return false;
    ++it.extras[static_cast<std::size_t>(it.newest % static_cast<std::int64_t>(bucket_count))];
    return true;
}

bool extra_budget::try_take(const service_name& service, time_point now)
{
    return take_below(service, now, 1.0);
}

bool extra_budget::try_take_hedge(const service_name& service, time_point now)
{
    return take_below(service, now, hedge_part);
}

} // namespace ebonywick
