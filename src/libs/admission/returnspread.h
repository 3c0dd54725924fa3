// Retry-after times of requests that are refused because there is too little room.
#pragma once

#include "base/clock.h"

#include <algorithm>
#include <chrono>

namespace ebonywick {

/// Spreads the returns of refused callers evenly over the time in which there will be room, so that
/// they do not come back all at once. The urgent return in its first half.
class return_spread
{
public:
    /// Time after which the caller should return. `room_in` is the time until the queues are
    /// expected to have room, `left` the time until the caller's deadline. At most half of `left`.
    [[nodiscard]] duration next(bool urgent, duration room_in, duration left)
    {
        const duration last = std::clamp<duration>(left / 2, duration::zero(), longest);
        const duration first = std::clamp(room_in, last / 3, last);
        double& position = urgent ? urgent_position_ : other_position_;
        // Multiples of the golden ratio divide the interval evenly, however many there are.
        position += golden_ratio;
        position -= position < 1.0 ? 0.0 : 1.0;
        const double part = (urgent ? position : 1.0 + position) / 2;
        return first + std::chrono::duration_cast<duration>((last - first) * part);
    }

private:
    static constexpr duration longest = std::chrono::milliseconds{1500};
    static constexpr double golden_ratio = 0.6180339887498949;

    // 0 to 1.
    double urgent_position_ = 0.0;
    double other_position_ = 0.0;
};

} // namespace ebonywick
