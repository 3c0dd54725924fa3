// Turns of the hosts that read the newest state of the store.
#pragma once

#include "base/clock.h"

#include <compare>
#include <cstddef>

namespace ebonywick {

/// Place of a host among those that read the newest state of the store.
struct reader_position
{
    // Below `count`.
    std::size_t index = 0;
    std::size_t count = 1;
    // Time of the first reader minus that of this host. All readers take turns by its clock, so
    // that a reader which repeats a watch keeps its turn.
    duration clock_offset{};

    auto operator<=>(const reader_position&) const = default;
};

/// Time until the next turn of a reader; one reader is due in each `interval`. A turn that is due
/// within a sixteenth of the interval is left out, because the host has just had it.
[[nodiscard]] duration time_to_turn(const reader_position& position, duration interval,
                                    time_point now);

} // namespace ebonywick
