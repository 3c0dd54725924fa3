// Routing configuration: which service or shard set answers a caller's request,
// and within which limits.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ebonywick {

struct weighted_service
{
    service_name service;
    // Share of the requests, relative to the other services of the route; above 0.
    double weight = 1.0;

    auto operator<=>(const weighted_service&) const = default;
};

/// Each request goes to one of the services.
struct service_choice
{
    // Not empty.
    std::vector<weighted_service> services;

    auto operator<=>(const service_choice&) const = default;
};

/// Each request goes to one upstream of every shard; the answer holds the greatest
/// records of all parts.
struct shard_set
{
    // Each shard is a service of its own; not empty.
    std::vector<service_name> shards;
    std::size_t top_records = 0;
    // Share of the shards below which there is no answer, 0 to 1.
    double min_shard_ratio = 1.0;

    auto operator<=>(const shard_set&) const = default;

    /// Shards that an answer needs.
    [[nodiscard]] std::size_t required_shards() const;
};

using route_target = std::variant<service_choice, shard_set>;

struct route
{
    std::string name;
    // Compared without regard to case; without port.
    std::string host;
    // Begins and ends with a slash.
    std::string path_prefix;
    bool idempotent = false;
    // Longest time that a caller is kept waiting.
    duration timeout{};
    // Latency within which an answer has its full value to the caller.
    duration target_latency{};
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    // Upstreams that may run one request, for each shard.
    std::uint32_t attempts = 1;
    route_target target;

    auto operator<=>(const route&) const = default;
};

struct service_policy
{
    service_name name;
    // Connections that one upstream accepts from all hosts together.
    std::uint32_t connection_limit = 0;
    // Time for which an upstream is cold after its start.
    duration cold_period{};
    // Requests a second that a cold upstream bears; 0: no limit.
    double cold_rate = 0;

    auto operator<=>(const service_policy&) const = default;
};

/// Bounds on what a caller may send.
struct caller_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint32_t body_bytes = 262144;
    duration header_timeout = std::chrono::seconds{3};
    duration idle_timeout = std::chrono::seconds{15};

    auto operator<=>(const caller_limits&) const = default;
};

struct routing_configuration
{
    // Grows with each change, not always by 1.
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_policy> services;
    caller_limits limits;

    auto operator<=>(const routing_configuration&) const = default;
};

} // namespace ebonywick
