// Warns operators, before they apply a change, of shards that it leaves with too little
// capacity.
#pragma once

#include "settings/declaration.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ebonywick {

/// Fraction of a shard's declared slots that must stay usable. Upstreams are sized so that
/// half of their slots carry the peak load and one of two replicas can be taken out.
inline constexpr double required_slot_ratio = 0.5;

/// A shard with no usable replica or too few usable slots.
struct capacity_warning
{
    service_name service;
    shard_map_epoch epoch = 0;
    shard_name shard;
    // Replicas and their slots in failure domains that the preset in force does not take out.
    std::size_t usable_replicas = 0;
    std::uint64_t usable_slots = 0;
    std::uint64_t required_slots = 0;

    auto operator<=>(const capacity_warning&) const = default;
};

/// Shards of `after` that have no usable replica, or fewer usable slots than
/// required_slot_ratio of their declared slots (rounded up). A replica is usable if the
/// preset in force does not take out its failure domain. Shards for which `before` gives
/// the same warning are omitted.
[[nodiscard]] std::vector<capacity_warning> capacity_warnings(const configuration& before,
                                                              const configuration& after);

/// The warning as a sentence for the operator.
[[nodiscard]] std::string to_string(const capacity_warning& warning);

} // namespace ebonywick
