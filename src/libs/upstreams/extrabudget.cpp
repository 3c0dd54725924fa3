// Sliding-window counters of the budget.
#include "upstreams/extrabudget.h"

#include <algorithm>
#include <numeric>

namespace ebonywick {

namespace {

// Fraction of the fleet's limit that the hosts use together. The rest covers calls that
// arrive in a later window than the one in which they were counted.
constexpr double usable_fraction = 0.85;
// Fraction of the budget that hedges may use. The rest is reserved for retries of failed
// calls, without which an answer would lack a shard.
constexpr double hedge_fraction = 0.8;

} // namespace

extra_budget::window_counts& extra_budget::advance_window(const service_name& service,
                                                          time_point now)
{
    // The window is as long as bucket_count - 2 buckets. The newest bucket is only partly
    // filled, and one more bucket is kept so that extra calls are rather overcounted.
    const auto width = limits_.window / static_cast<int>(bucket_count - 2);
    const std::int64_t number = now.time_since_epoch() / width;
    window_counts& it = services_[service];
    const std::int64_t steps = std::min<std::int64_t>(number - it.newest_bucket, bucket_count);
    for (std::int64_t step = 0; step < steps; ++step) {
        const auto slot =
            static_cast<std::size_t>((number - step) % static_cast<std::int64_t>(bucket_count));
        it.requests[slot] = 0;
        it.extra_calls[slot] = 0;
    }
    it.newest_bucket = std::max(it.newest_bucket, number);
    return it;
}

void extra_budget::record_request(const service_name& service, time_point now)
{
    window_counts& it = advance_window(service, now);
    ++it.requests[static_cast<std::size_t>(it.newest_bucket %
                                           static_cast<std::int64_t>(bucket_count))];
}

bool extra_budget::try_take_fraction(const service_name& service, time_point now, double fraction)
{
    window_counts& it = advance_window(service, now);
    const double requests = std::accumulate(it.requests.begin(), it.requests.end(), 0.0);
    const double extra_calls = std::accumulate(it.extra_calls.begin(), it.extra_calls.end(), 0.0);
    const double limit =
        limits_.ratio * requests * static_cast<double>(bucket_count - 2) / bucket_count +
        limits_.slack / static_cast<double>(host_count_);
    if (extra_calls + 1.0 > limit * usable_fraction * fraction)
        return false;
    ++it.extra_calls[static_cast<std::size_t>(it.newest_bucket %
                                              static_cast<std::int64_t>(bucket_count))];
    return true;
}

bool extra_budget::try_take(const service_name& service, time_point now)
{
    return try_take_fraction(service, now, 1.0);
}

bool extra_budget::try_take_hedge(const service_name& service, time_point now)
{
    return try_take_fraction(service, now, hedge_fraction);
}

} // namespace ebonywick
