// Adaptive limit of the batch queries that an entry host runs concurrently.
#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstdint>

namespace ebonywick {

/// Increases by a step while the average queue wait at the upstreams is at most the target and
/// the limit is fully used; decreases by a factor while the wait is above the target.
class batch_limit
{
public:
    batch_limit(std::uint32_t max, duration target);

    /// Applies a new preset. The current limit is kept, clamped to the new maximum.
    void configure(std::uint32_t max, duration target);
    /// Adds an observed queue wait. `in_use`: as many batch queries run as the limit allows.
    void observe(duration wait, bool in_use, time_point now);

    /// Maximum number of concurrent batch queries; at least 1 unless the maximum is 0, so that
    /// batch queries never stop altogether.
    [[nodiscard]] std::uint32_t value() const { return static_cast<std::uint32_t>(limit_); }

private:
    double max_;
    duration target_;
    // min(1, max_) <= limit_ <= max_. Fractional, so that it can increase by less than 1.
    double limit_;
    // Moving average of the observed queue waits.
    double average_wait_ns_ = 0.0;
    time_point last_decrease_ = time_point::min();
    time_point last_increase_ = time_point::min();
};

} // namespace ebonywick
