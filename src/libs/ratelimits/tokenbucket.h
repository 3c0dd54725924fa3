// Limits the rate of calls with a token bucket.
#pragma once

#include "base/clock.h"

#include <algorithm>
#include <chrono>
#include <compare>

namespace ebonywick {

/// Each call takes a token. Time is passed in and does not go back.
class token_bucket
{
public:
    /// Tokens are added at `per_second` up to `capacity`; what is there now is kept, up to the new
    /// capacity.
    void set_rate(double per_second, double capacity, time_point now)
    {
        tokens_ = std::min(tokens(now), capacity);
        updated_at_ = now;
        per_second_ = per_second;
        capacity_ = capacity;
    }
    /// Replaces the tokens that are there.
    void set_tokens(double tokens, time_point now)
    {
        tokens_ = std::min(tokens, capacity_);
        updated_at_ = now;
    }
    [[nodiscard]] double tokens(time_point now) const
    {
        const double elapsed = std::chrono::duration<double>(now - updated_at_).count();
        return std::min(capacity_, tokens_ + elapsed * per_second_);
    }
    [[nodiscard]] double capacity() const { return capacity_; }
    /// Whether a call may be sent now.
    [[nodiscard]] bool available(time_point now) const { return tokens(now) >= 1.0; }
    /// When a call may be sent, which is `now` or later; time_point::max() if never at this rate.
    [[nodiscard]] time_point available_at(time_point now) const
    {
        const double missing = 1.0 - tokens(now);
        if (missing <= 0)
            return now;
        if (per_second_ <= 0)
            return time_point::max();
        return now + std::chrono::duration_cast<duration>(
                         std::chrono::duration<double>(missing / per_second_));
    }
    /// Takes a token, or what is there.
    void take(time_point now)
    {
        tokens_ = std::max(0.0, tokens(now) - 1.0);
        updated_at_ = now;
    }
    /// Returns a token that was taken and not used; the capacity is kept.
    void put_back(time_point now)
    {
        tokens_ = std::min(capacity_, tokens(now) + 1.0);
        updated_at_ = now;
    }

    auto operator<=>(const token_bucket&) const = default;

private:
    double per_second_ = 0;
    double capacity_ = 0;
    // As of updated_at_; 0 to capacity_.
    double tokens_ = 0;
    time_point updated_at_{};
};

} // namespace ebonywick
