// Immutable view of the configuration, the roster and the holders, shared by all
// threads of a node.
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

/// An upstream with its service and its holder.
struct upstream_placement
{
    upstream_declaration declaration;
    service_name service;
    // The host that should hold the upstream; empty if none is known.
    host_id holder;
    // The preset in force excludes the upstream's failure domain.
    bool domain_out = false;

    auto operator<=>(const upstream_placement&) const = default;
};

struct fleet_view
{
    configuration config;
    roster hosts;
    object_version config_version = 0;
    object_version roster_version = 0;
    std::unordered_map<upstream_id, upstream_placement> upstreams;

    [[nodiscard]] const upstream_placement* find(const upstream_id& upstream) const
    {
        const auto it = upstreams.find(upstream);
        return it == upstreams.end() ? nullptr : &it->second;
    }
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

} // namespace ebonywick
