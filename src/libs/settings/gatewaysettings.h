// Settings of `ebonywick gateway`, an entry host on the platform, read from its YAML file.
#pragma once

#include "base/clock.h"
#include "settings/declaration.h"
#include "settings/nodesettings.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace ebonywick {

/// What a host does with keys of customers while it may lack a newer configuration.
enum class stale_key_policy : std::uint8_t {
    // It uses the keys that it knows.
    accept,
    // It refuses requests that need a key.
    refuse,
};

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
    // Memory of this process, and the part of it for what is held for callers and others.
    std::uint64_t memory_bytes = std::uint64_t{1024} << 20U;
    double held_bytes_ratio = 0.35;
    // Descriptors of this process, and the part of them for accepted connections.
    std::uint32_t max_descriptors = 65536;
    double caller_descriptor_ratio = 0.6;
    // Time between SIGTERM and SIGKILL.
    duration grace = std::chrono::seconds{6};
    // Limit of extra calls (hedges and retries) of all hosts together: `extra_call_ratio` per
    // request in the window, plus `extra_call_slack`.
    double extra_call_ratio = 0.2;
    duration extra_call_window = std::chrono::seconds{10};
    double extra_call_slack = 100;
    stale_key_policy stale_keys = stale_key_policy::accept;
    // With stale_key_policy::refuse: time since the store or a host that reads it has last
    // confirmed the configuration, after which keys are refused.
    duration key_max_age = std::chrono::seconds{5};
    // Requests that a customer with a quota may have in the window, all hosts together:
    // (per_second * quota_window + burst) * (1 + quota_overage) + quota_slack.
    duration quota_window = std::chrono::seconds{5};
    double quota_overage = 0.1;
    double quota_slack = 20;
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
