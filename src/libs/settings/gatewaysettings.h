// Settings of `ebonywick gateway`, an entry host on the platform, read from its YAML file.
#pragma once

#include "base/clock.h"
#include "settings/declaration.h"
#include "settings/nodesettings.h"

#include <compare>
#include <vector>

namespace ebonywick {

struct gateway_settings
{
    host_id host;
    failure_domain_id domain;
    endpoint callers;
    endpoint readiness;
    endpoint directory;
    endpoint heartbeats;
    endpoint control;
    endpoint metrics;
    endpoint store;
    // Control addresses of entry hosts, asked for state while the store is down. Some may be
    // outdated.
    std::vector<endpoint> seeds;
    // Processor cores that are available to this host.
    double processor_share = 1.0;
    // Time between SIGTERM and SIGKILL.
    duration grace = std::chrono::seconds{6};
    // Limit of extra calls (hedges and retries) of all hosts together: `extra_call_ratio` per
    // request in the window, plus `extra_call_slack`.
    double extra_call_ratio = 0.2;
    duration extra_call_window = std::chrono::seconds{10};
    double extra_call_slack = 100;
    // Part of a service's requests that an unproven version may get in a roll-out, and calls in
    // addition, of all hosts together. Without a share, roll-outs are not served.
    double exposure_share = 0;
    double exposure_slack = 50;
    // Time from the first sign of a bad version until it gets no further calls.
    duration rollback = std::chrono::seconds{5};
    log_threshold log_level = log_threshold::info;

    auto operator<=>(const gateway_settings&) const = default;
};

} // namespace ebonywick
