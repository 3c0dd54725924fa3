// Rules that a configuration must satisfy as a whole.
#pragma once

#include "settings/declaration.h"

#include <compare>
#include <string>
#include <vector>

namespace ebonywick {

/// A rule that the configuration breaks.
struct configuration_finding
{
    // Path of the value, for example `services[0].shard_maps[1].epoch`.
    std::string key;
    std::string message;
    std::string range;
    std::string remedy;
    // Paths of the other values that the rule compares.
    std::vector<std::string> depends_on;

    auto operator<=>(const configuration_finding&) const = default;
};

/// Checks that names, ids and addresses are unique, that epochs grow, that no
/// service, map or shard is empty, that cold_concurrency <= slots and
/// connections >= slots + 3, and that presets and failure domains exist. Empty
/// names and addresses are not compared: the readers report them.
[[nodiscard]] std::vector<configuration_finding> check_configuration(const configuration& config);

} // namespace ebonywick
