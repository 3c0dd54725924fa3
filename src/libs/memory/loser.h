// Who loses its bytes or its connection when a process has no room for more.
#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace ebonywick::memory {

/// A connection that could be given up.
struct holder
{
    // Of the peer; connections of one address share what they hold.
    std::uint32_t address = 0;
    std::uint64_t bytes = 0;
    duration since_progress{};
    duration age{};
    // This process has stopped reading from it, so that it cannot make progress.
    bool held_back = false;

    auto operator<=>(const holder&) const = default;
};

/// The peer has neither sent nor taken a byte for so long that it counts as making no progress.
[[nodiscard]] bool is_stalled(const holder& of);

/// Index of the one to give up for bytes: those that make no progress, then those of the address
/// that holds most, then the largest, then the newest. Empty if none holds bytes.
[[nodiscard]] std::optional<std::size_t> byte_loser(std::span<const holder> holders);

/// Index of the one to give up for a connection: of the address with most connections the one
/// that has made no progress for longest.
[[nodiscard]] std::optional<std::size_t> connection_loser(std::span<const holder> holders);

} // namespace ebonywick::memory
