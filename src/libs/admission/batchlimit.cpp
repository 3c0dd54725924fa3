// Additive increase, multiplicative decrease (AIMD) of the batch limit.
#include "admission/batchlimit.h"

namespace ebonywick {

using namespace std::chrono_literals;

namespace {

// Half a query every 20 ms covers the default range of 64 in 2.6 s, which is short compared to
// batch jobs of several hours.
constexpr double increase_step = 0.5;
constexpr duration increase_interval = 20ms;
constexpr double decrease_factor = 0.8;
// A decrease affects the waits only after the running queries have ended.
constexpr duration decrease_interval = 100ms;
// A query reports one wait per shard, so the average covers about one query over 32 shards.
constexpr double wait_sample_weight = 1.0 / 32.0;
// Initial limit as a fraction of the maximum, so that a new host does not add the full batch
// load before it has observed any wait.
constexpr double initial_fraction = 0.25;

bool has_elapsed(time_point last, duration interval, time_point now)
{
    return last == time_point::min() || now - last >= interval;
}

} // namespace

batch_limit::batch_limit(std::uint32_t max, duration target)
    : max_(max), target_(target), limit_(std::min(max_, std::max(1.0, max_ * initial_fraction)))
{
}

void batch_limit::configure(std::uint32_t max, duration target)
{
    max_ = max;
    target_ = target;
    limit_ = std::clamp(limit_, std::min(1.0, max_), max_);
}

void batch_limit::observe(duration wait, bool in_use, time_point now)
{
    average_wait_ns_ += wait_sample_weight * (static_cast<double>(wait.count()) - average_wait_ns_);
    if (average_wait_ns_ > static_cast<double>(target_.count())) {
        if (!has_elapsed(last_decrease_, decrease_interval, now))
            return;
        last_decrease_ = now;
        limit_ = std::max(std::min(1.0, max_), limit_ * decrease_factor);
        return;
    }
    if (!in_use || !has_elapsed(last_increase_, increase_interval, now) ||
        !has_elapsed(last_decrease_, decrease_interval, now))
        return;
    last_increase_ = now;
    limit_ = std::min(max_, limit_ + increase_step);
}

} // namespace ebonywick
