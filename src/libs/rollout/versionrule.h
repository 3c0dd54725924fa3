// Which versions of a service's upstreams may get calls.
#pragma once

#include <compare>
#include <set>
#include <string>

namespace ebonywick {

/// Without entries, all versions are used alike.
struct version_rule
{
    // Upstreams of this version get calls only as trials; empty: none.
    std::string trial;
    // All other versions get no calls; empty: no such restriction.
    std::string only;
    // Get no calls.
    std::set<std::string> excluded;

    [[nodiscard]] bool excludes(const std::string& version) const
    {
        return excluded.contains(version) || (!only.empty() && version != only);
    }
    [[nodiscard]] bool is_trial(const std::string& version) const
    {
        return !trial.empty() && version == trial;
    }
    auto operator<=>(const version_rule&) const = default;
};

} // namespace ebonywick
