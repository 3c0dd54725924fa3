// Additive increase and multiplicative decrease of the batch limit.
#include "admission/batchlimit.h"

namespace ebonywick {

using namespace std::chrono_literals;

namespace {

// Half a query every 20 ms goes through the default range of 64 in 2.6 s, which is
// short against Friday's hours of batch work.
constexpr double rise_step = 0.5;
constexpr duration rise_interval = 20ms;
constexpr double fall_factor = 0.8;
// A fall shows in the waits only after the queries that run already have ended.
constexpr duration fall_interval = 100ms;
// A query reports one wait for each shard, so 32 waits are at most one query.
constexpr double average_weight = 1.0 / 32.0;
// Starts at this share of the ceiling: a new host must not add full batch load
// before it has observed any wait.
constexpr double initial_share = 0.25;

bool has_passed(time_point last, duration interval, time_point now)
{
    return last == time_point::min() || now - last >= interval;
}

} // namespace

batch_limit::batch_limit(std::uint32_t ceiling, duration target)
    : ceiling_(ceiling), target_(target),
      limit_(std::min(ceiling_, std::max(1.0, ceiling_ * initial_share)))
{
}

void batch_limit::configure(std::uint32_t ceiling, duration target)
{
    ceiling_ = ceiling;
    target_ = target;
    limit_ = std::clamp(limit_, std::min(1.0, ceiling_), ceiling_);
}

void batch_limit::observe(duration wait, bool in_use, time_point now)
{
    average_ns_ += average_weight * (static_cast<double>(wait.count()) - average_ns_);
    if (average_ns_ > static_cast<double>(target_.count())) {
        if (!has_passed(last_fall_, fall_interval, now))
            return;
        last_fall_ = now;
        limit_ = std::max(std::min(1.0, ceiling_), limit_ * fall_factor);
        return;
    }
    if (!in_use || !has_passed(last_rise_, rise_interval, now) ||
        !has_passed(last_fall_, fall_interval, now))
        return;
    last_rise_ = now;
    limit_ = std::min(ceiling_, limit_ + rise_step);
}

} // namespace ebonywick
