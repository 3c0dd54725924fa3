// Orders the connections by what they hold and by their progress.
#include "memory/loser.h"

#include <tuple>
#include <unordered_map>

namespace ebonywick::memory {

namespace {

// A peer on a slow path that works sends or takes something several times in this time.
constexpr duration stall_time = std::chrono::milliseconds{500};

// Index of the greatest holder by `rank`; those that are not eligible have none.
template <class Rank>
std::optional<std::size_t> greatest(std::span<const holder> holders, const Rank& rank)
{
    std::optional<std::size_t> out;
    for (std::size_t it = 0; it < holders.size(); ++it) {
        if (rank(holders[it]) && (!out || rank(holders[*out]) < rank(holders[it])))
            out = it;
    }
    return out;
}

} // namespace

bool is_stalled(const holder& of)
{
    return !of.held_back && of.since_progress >= stall_time;
}

std::optional<std::size_t> byte_loser(std::span<const holder> holders)
{
    std::unordered_map<std::uint32_t, std::uint64_t> bytes_of;
    for (const holder& it : holders)
        bytes_of[it.address] += it.bytes;
    using rank = std::tuple<bool, std::uint64_t, std::uint64_t, duration>;
    return greatest(holders, [&](const holder& it) -> std::optional<rank> {
        if (it.bytes == 0)
            return std::nullopt;
        return rank{is_stalled(it), bytes_of[it.address], it.bytes, -it.age};
    });
}

std::optional<std::size_t> connection_loser(std::span<const holder> holders)
{
    std::unordered_map<std::uint32_t, std::size_t> connections_of;
    for (const holder& it : holders)
        ++connections_of[it.address];
    using rank = std::tuple<std::size_t, duration>;
    return greatest(holders, [&](const holder& it) -> std::optional<rank> {
        return rank{connections_of[it.address], it.since_progress};
    });
}

} // namespace ebonywick::memory
