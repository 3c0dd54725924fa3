// Time limits and pauses of repeated calls to the store.
#pragma once

#include "base/clock.h"
#include "gateway/constants.h"

#include <algorithm>
#include <cstdint>

namespace ebonywick {

/// Schedule of one kind of call that is repeated until it succeeds. Not thread-safe.
class store_retry
{
public:
    /// Time limit of the next call that should be answered at once. It is short at first,
    /// because a call that was sent while the store was silent gets no answer when the
    /// store returns, and grows in case that the store is slow.
    [[nodiscard]] duration time_limit() const
    {
        return std::min(gateway_constants::store_limit_longest,
                        gateway_constants::store_limit_first +
                            gateway_constants::store_limit_step * failures_);
    }

    void call_started(time_point now) { started_at_ = now; }
    void succeeded() { failures_ = 0; }
    /// Returns the pause before the next call. The time that the failed call took counts,
    /// so that only quick failures are followed by the whole pause.
    [[nodiscard]] duration pause_after_failure(time_point now)
    {
        const auto shift = std::min<std::uint32_t>(failures_++, longest_shift);
        const duration interval = std::min(gateway_constants::store_retry_longest,
                                           gateway_constants::store_retry_first * (1 << shift));
        return std::max(gateway_constants::store_retry_first, interval - (now - started_at_));
    }
    /// Failures since the last success.
    [[nodiscard]] std::uint32_t failures() const { return failures_; }

private:
    // Beyond it the pause is the longest one anyway.
    static constexpr std::uint32_t longest_shift = 8;

    std::uint32_t failures_ = 0;
    time_point started_at_{};
};

} // namespace ebonywick
