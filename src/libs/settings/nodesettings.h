// Settings of one node, read from its YAML file.
#pragma once

#include "settings/roster.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace ebonywick {

/// Least severity that is logged. Same order as logging's `log_level`, which
/// belongs to a higher layer.
enum class log_threshold { debug, info, warning, error };

struct node_settings
{
    // This host as it stands in the roster.
    roster_host self;
    endpoint store;
    // Control addresses of hosts to ask for the configuration when the store is
    // down; the lagging host list of the platform adds to them.
    std::vector<endpoint> seeds;
    // Connections from callers that are served at once; one thread each.
    std::uint32_t caller_connections = 256;
    // Threads that coordinate queries.
    std::uint32_t worker_threads = 2;
    log_threshold log_level = log_threshold::info;

    auto operator<=>(const node_settings&) const = default;
};

} // namespace ebonywick
