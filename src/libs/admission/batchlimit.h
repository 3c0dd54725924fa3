// Adaptive limit of the batch queries that one entry host runs at once.
#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstdint>

namespace ebonywick {

/// Rises by a small step while the observed queue wait at the gates is below the
/// target and the limit is in use; falls by a factor when the wait is above it.
class batch_limit
{
public:
    batch_limit(std::uint32_t ceiling, duration target);

    /// Applies a new preset; the limit stays where it is within the new ceiling.
    void configure(std::uint32_t ceiling, duration target);
    /// `in_use`: as many batch queries run as the limit allows.
    void observe(duration wait, bool in_use, time_point now);

    /// Most batch queries at once; at least 1 unless the ceiling is 0, so that
    /// batch work never stops altogether.
    [[nodiscard]] std::uint32_t value() const { return static_cast<std::uint32_t>(limit_); }

private:
    double ceiling_;
    duration target_;
    // min(1, ceiling_) <= limit_ <= ceiling_.
    double limit_;
    // Moving average of the waits.
    double average_ns_ = 0.0;
    time_point last_fall_ = time_point::min();
    time_point last_rise_ = time_point::min();
};

} // namespace ebonywick
