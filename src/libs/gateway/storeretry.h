// Timeouts and retry pauses of calls to the store.
#pragma once

#include "base/clock.h"
#include "gateway/constants.h"

#include <algorithm>
#include <cstdint>

namespace ebonywick {

/// Retry schedule of a call that is repeated until it succeeds. Not thread-safe.
class store_retry
{
public:
    /// Timeout of the next call, for calls that the store does not hold back. It is short at
    /// first, because a call that was sent during an outage of the store stays without reply
    /// when the store recovers, and grows with each failure in case the store is slow.
    [[nodiscard]] duration call_timeout() const
    {
        return std::min(gateway_constants::max_store_call_timeout,
                        gateway_constants::initial_store_call_timeout +
                            gateway_constants::store_call_timeout_step * failures_);
    }

    void call_started(time_point now) { started_at_ = now; }
    void succeeded() { failures_ = 0; }
    /// Counts a failure and returns the pause before the next call. The duration of the failed
    /// call is subtracted, so only calls that fail at once are followed by the full pause.
    [[nodiscard]] duration pause_after_failure(time_point now)
    {
        const auto shift = std::min<std::uint32_t>(failures_++, max_shift);
        const duration interval =
            std::min(max_pause_, gateway_constants::min_store_retry_pause * (1 << shift));
        return std::max(gateway_constants::min_store_retry_pause, interval - (now - started_at_));
    }
    /// Sets the upper bound of the interval between two calls.
    void set_max_pause(duration pause) { max_pause_ = pause; }
    /// Number of failures since the last success.
    [[nodiscard]] std::uint32_t failures() const { return failures_; }

private:
    // Keeps the shift in range; the interval has reached its upper bound before.
    static constexpr std::uint32_t max_shift = 8;

    std::uint32_t failures_ = 0;
    duration max_pause_ = gateway_constants::max_store_retry_pause;
    time_point started_at_{};
};

} // namespace ebonywick
