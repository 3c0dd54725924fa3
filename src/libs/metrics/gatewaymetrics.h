// Prometheus metrics of a gateway. Label sets are bounded: routes, outcomes and reasons,
// never callers, upstreams or requests.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace ebonywick {

/// Not thread-safe.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();
    gateway_metrics(const gateway_metrics&) = delete;
    gateway_metrics& operator=(const gateway_metrics&) = delete;

    void request_ended(const std::string& route, std::string_view outcome, duration latency);
    void call_started(std::string_view reason);
    void call_ended(std::string_view result, duration latency);
    void shards_missing(std::size_t count);
    void store_call(std::string_view outcome);

    struct gauges
    {
        std::uint64_t config_version = 0;
        std::size_t upstreams = 0;
        std::size_t upstream_connections = 0;
        std::uint64_t upstream_connections_opened = 0;
        std::size_t caller_connections = 0;
        std::size_t entry_hosts = 0;
        std::uint64_t log_lines_dropped = 0;
    };

    /// The text exposition format, with `values` as they are now.
    [[nodiscard]] std::string exposition(const gauges& values);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
