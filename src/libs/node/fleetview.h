// Immutable picture of the configuration, the roster and the holders, shared by
// all threads of a node.
#pragma once

#include "base/identifiers.h"
#include "settings/declaration.h"
#include "settings/roster.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace ebonywick {

/// Where a searcher belongs.
struct searcher_place
{
    searcher_declaration declaration;
    service_name service;
    // The host that should hold the searcher; empty if none is known.
    host_id holder;
    bool domain_out = false;

    auto operator<=>(const searcher_place&) const = default;
};

struct fleet_view
{
    configuration config;
    roster hosts;
    object_version config_version = 0;
    object_version roster_version = 0;
    std::unordered_map<searcher_id, searcher_place> searchers;

    [[nodiscard]] const searcher_place* find(const searcher_id& searcher) const
    {
        const auto it = searchers.find(searcher);
        return it == searchers.end() ? nullptr : &it->second;
    }
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

} // namespace ebonywick
