// Routing configuration: the service or shard set that answers a caller's request, and the
// limits of the request.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ebonywick {

/// Service of a route and its share of the requests.
struct weighted_service
{
    service_name service;
    // Relative to the weights of the other services of the route; greater than 0.
    double weight = 1.0;

    auto operator<=>(const weighted_service&) const = default;
};

/// Each request goes to one of the services, selected at random by weight.
struct service_choice
{
    // Not empty.
    std::vector<weighted_service> services;

    auto operator<=>(const service_choice&) const = default;
};

/// Each request goes to one upstream of every shard; the answer consists of the greatest
/// records of all replies.
struct shard_set
{
    // Each shard is a separate service; not empty.
    std::vector<service_name> shards;
    // Records in a merged answer.
    std::size_t top_records = 0;
    // Minimum fraction of the shards that must reply before there is an answer, 0 to 1.
    double min_shard_ratio = 1.0;

    auto operator<=>(const shard_set&) const = default;

    /// Number of shards that must reply before there is an answer; at least 1.
    [[nodiscard]] std::size_t required_shards() const;
};

using route_target = std::variant<service_choice, shard_set>;

/// Selects requests by host and path prefix, and determines how they are answered.
struct route
{
    std::string name;
    // Without port; compared case-insensitively.
    std::string host;
    // Begins and ends with a slash, so that it matches whole path segments.
    std::string path_prefix;
    // Requests may be hedged, and retried after they may have run.
    bool idempotent = false;
    // Longest time until a caller gets an outcome.
    duration timeout{};
    // Latency up to which an answer has its full value for the caller.
    duration target_latency{};
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    // Upstreams that may run one request; for a shard set, per shard.
    std::uint32_t attempts = 1;
    route_target target;
    // Requests need no key, whether or not the configuration has customers.
    bool is_public = false;

    auto operator<=>(const route&) const = default;
};

/// Limits of the upstreams of one service.
struct service_policy
{
    service_name name;
    // Connections that one upstream accepts from all hosts together.
    std::uint32_t connection_limit = 0;
    // Duration of the cold start of an upstream.
    duration cold_period{};
    // Requests per second that an upstream can take during its cold start from all hosts
    // together; 0: no limit.
    double cold_rate = 0;

    auto operator<=>(const service_policy&) const = default;
};

/// A customer on whose behalf callers ask.
struct customer_policy
{
    std::string name;
    // Goes before the priority of a route; 0 is the most urgent.
    std::optional<std::uint32_t> priority = {};
    // Requests per second of all hosts together; 0: no limit.
    double per_second = 0;
    // Requests beyond `per_second` that may come at once.
    double burst = 0;
    // Callers show one of them. Empty once a key_table has been made of them.
    std::vector<std::string> keys = {};

    auto operator<=>(const customer_policy&) const = default;
};

/// Limits on the requests and connections of a caller.
struct caller_limits
{
    // Largest request header.
    std::uint32_t header_bytes = 16384;
    // Largest request body.
    std::uint32_t body_bytes = 262144;
    // Time in which a request must be complete after its first bytes.
    duration header_timeout = std::chrono::seconds{3};
    // Time after which a connection without a request is closed.
    duration idle_timeout = std::chrono::seconds{15};

    auto operator<=>(const caller_limits&) const = default;
};

/// One version of the whole configuration.
struct routing_configuration
{
    // Increases with each change, not always by 1.
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_policy> services;
    caller_limits limits;
    // Routes that are not public need a key.
    bool has_customers = false;
    std::vector<customer_policy> customers = {};

    auto operator<=>(const routing_configuration&) const = default;
};

} // namespace ebonywick
