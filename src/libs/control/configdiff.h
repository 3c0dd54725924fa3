// Differences between two configurations or two rosters, as shown to operators.
#pragma once

#include "settings/declaration.h"
#include "settings/roster.h"

#include <compare>
#include <string>
#include <vector>

namespace ebonywick {

/// One key whose value differs. Keys contain the names of list entries, not their
/// positions, for example
/// `services.katalog.shard_maps.1.shards.s01.replicas.k1.slots`.
struct config_difference
{
    std::string key;
    // Empty if the key was added.
    std::string before;
    // Empty if the key was removed.
    std::string after;

    auto operator<=>(const config_difference&) const = default;
};

/// Returns the differences by key; empty if and only if both are equal.
[[nodiscard]] std::vector<config_difference> differences(const configuration& before,
                                                         const configuration& after);
[[nodiscard]] std::vector<config_difference> differences(const roster& before, const roster& after);

/// One line: `+ KEY: AFTER`, `- KEY: BEFORE` or `~ KEY: BEFORE -> AFTER`.
[[nodiscard]] std::string to_string(const config_difference& difference);

} // namespace ebonywick
