// Checks the rules that relate several values of a configuration to each other.
#pragma once

#include "settings/declaration.h"

#include <compare>
#include <string>
#include <vector>

namespace ebonywick {

/// A violation of one rule.
struct configuration_problem
{
    // Path of the value, for example `services[0].shard_maps[1].epoch`.
    std::string key;
    std::string message;
    std::string accepted_values;
    std::string remedy;
    // Paths of the other values that the rule compares.
    std::vector<std::string> depends_on;

    auto operator<=>(const configuration_problem&) const = default;
};

/// Checks that names, ids and addresses are unique, that the epochs of a service ascend,
/// that no service, shard map or shard is empty, that cold_concurrency <= slots and
/// connections >= slots + 3, and that referenced presets and failure domains exist. Empty
/// names and addresses are not compared; yamlreader reports them.
[[nodiscard]] std::vector<configuration_problem> check_configuration(const configuration& config);

} // namespace ebonywick
