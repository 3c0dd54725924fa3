// The configuration that operators declare in a YAML file: services, presets and the preset
// in force.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebonywick {

enum class request_class { interactive, batch };
/// What a query gives up first when it cannot have both: low latency or full coverage.
enum class yields_first { latency, coverage };

/// An address as IP number and port, for example `127.0.0.1:7000`.
struct endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

[[nodiscard]] std::string to_string(const endpoint& address);
/// Empty if `text` is not `IP:PORT`. Only the port is validated.
[[nodiscard]] std::optional<endpoint> parse_endpoint(const std::string& text);

/// One upstream as declared. It serves one shard of one service.
struct upstream_declaration
{
    upstream_id id;
    endpoint address;
    failure_domain_id domain;
    // Calls that the upstream runs concurrently when warm; at least 1.
    std::uint32_t slots = 1;
    // Total number of connections that the upstream accepts.
    std::uint32_t connections = 64;
    // Concurrent calls that the upstream can run during its cold start; 1 to slots.
    std::uint32_t cold_concurrency = 1;

    auto operator<=>(const upstream_declaration&) const = default;
};

struct shard_declaration
{
    shard_name name;
    std::vector<upstream_declaration> replicas;

    auto operator<=>(const shard_declaration&) const = default;
};

/// The shards that a query must cover, as of one epoch.
struct shard_map
{
    shard_map_epoch epoch = 1;
    std::vector<shard_declaration> shards;

    auto operator<=>(const shard_map&) const = default;
};

struct service_declaration
{
    service_name name;
    request_class default_class = request_class::interactive;
    yields_first yields = yields_first::latency;
    // Fraction of the shards that an answer must cover, 0 to 1.
    double least_coverage = 1.0;
    // Sorted by epoch; more than one during a repartition.
    std::vector<shard_map> shard_maps;

    auto operator<=>(const service_declaration&) const = default;
};

/// A named set of policy values, of which one is in force. Ranges, units and help texts are
/// in settingtable.
struct preset_declaration
{
    preset_name name;
    // Target latency of a query.
    duration deadline = std::chrono::milliseconds{1000};
    // Hedges and retries that are allowed per first attempt.
    double hedge_budget = 0.025;
    // Maximum numbers of queries that one entry host runs concurrently.
    std::uint32_t interactive_limit = 256;
    std::uint32_t batch_limit = 64;
    // Maximum number of batch requests that wait at one entry host.
    std::uint32_t batch_queue = 1024;
    // Wait in the queues of upstreams above which the adaptive batch limit decreases.
    duration target_queue_wait = std::chrono::milliseconds{1};
    // Failure domains that receive no new calls.
    std::vector<failure_domain_id> domains_out;

    auto operator<=>(const preset_declaration&) const = default;
};

/// The content of the store object `ebonywick/config`.
struct configuration
{
    std::vector<service_declaration> services;
    std::vector<preset_declaration> presets;
    preset_name preset_in_force;

    /// Null if the service is not declared. The pointer is valid until the configuration
    /// changes.
    [[nodiscard]] const service_declaration* find_service(const service_name& name) const;
    /// The preset in force, or a default-constructed one if it is not declared.
    [[nodiscard]] preset_declaration active_preset() const;
    /// True if the preset in force takes out the failure domain.
    [[nodiscard]] bool is_domain_out(const failure_domain_id& domain) const;

    auto operator<=>(const configuration&) const = default;
};

} // namespace ebonywick
