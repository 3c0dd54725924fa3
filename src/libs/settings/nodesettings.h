// Settings of `ebonywick serve`, one node, read from its YAML file.
#pragma once

#include "settings/roster.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace ebonywick {

/// Lowest severity that is logged. The values have the order of `log_level` in the logging
/// library, which this library must not depend on.
enum class log_threshold { debug, info, warning, error };

struct node_settings
{
    // The entry that this host registers in the roster.
    roster_host self;
    endpoint store;
    // Control addresses of hosts to ask for the configuration while the store is down. Hosts
    // in the platform's host list, which may lag, are asked too.
    std::vector<endpoint> seeds;
    // Maximum number of concurrent caller connections; each uses one thread.
    std::uint32_t caller_connections = 256;
    // Threads that coordinate queries.
    std::uint32_t worker_threads = 2;
    log_threshold log_level = log_threshold::info;

    auto operator<=>(const node_settings&) const = default;
};

} // namespace ebonywick
