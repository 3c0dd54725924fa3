// Prometheus metrics of a gateway. Labels have few values (routes, outcomes, results, reasons):
// callers, upstreams and requests never become labels, since each value adds a time series.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ebonywick {

/// Not thread-safe.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();
    gateway_metrics(const gateway_metrics&) = delete;
    gateway_metrics& operator=(const gateway_metrics&) = delete;

    /// A caller's request ended, `latency` after it arrived.
    void request_ended(const std::string& route, std::string_view outcome, duration latency);
    /// A call to an upstream was started.
    void call_started(std::string_view reason);
    /// A call ended, `latency` after the decision to send it.
    void call_ended(std::string_view result, duration latency);
    /// An answer left out `count` shards.
    void shards_missing(std::size_t count);
    void store_call(std::string_view outcome);
    /// Objects of a collection of the store were ignored because they cannot be read.
    void objects_unreadable(std::string_view collection, std::size_t count);
    /// A connection to an upstream was refused: no process listens there.
    void connection_refused();
    /// An upstream has ended while calls of this host ran on it.
    void upstream_crashed();
    /// A request was rejected because it crashes upstreams.
    void request_quarantined();
    /// A reply has shown that the store was restored from an older copy.
    void store_restored();

    /// Values that are read when the metrics are exported.
    struct gauges
    {
        std::uint64_t config_version = 0;
        std::size_t upstreams = 0;
        // Upstreams that state a limit of the calls that they take.
        std::size_t limited_upstreams = 0;
        // Calls to such upstreams since the start.
        std::uint64_t calls_to_limited_upstreams = 0;
        // Upstreams that have stated in a reply that they are leaving.
        std::size_t leaving_upstreams = 0;
        std::uint64_t calls_to_leaving_upstreams = 0;
        // Upstreams that have asked this host for a pause.
        std::size_t paused_upstreams = 0;
        std::uint64_t calls_to_paused_upstreams = 0;
        // Requests, and resources of customers, that are blocked because they crash upstreams.
        std::size_t blocked_requests = 0;
        std::size_t upstream_connections = 0;
        // Connections opened since the start.
        std::uint64_t upstream_connections_opened = 0;
        std::size_t caller_connections = 0;
        // Bytes held for callers and others, by class.
        std::vector<std::pair<std::string_view, std::uint64_t>> held_bytes;
        // Requests given up or rejected for want of memory, since the start.
        std::uint64_t requests_without_room = 0;
        // Connections closed for want of descriptors, since the start.
        std::uint64_t connections_without_descriptor = 0;
        // Entry hosts that callers are told to use.
        std::size_t entry_hosts = 0;
        // As stated by the store's latest reply.
        std::uint64_t store_epoch = 0;
        // Since the store last answered a call, by collection.
        std::vector<std::pair<std::string_view, duration>> store_reply_ages;
        // How long this host has lacked a change that another one has.
        duration state_behind{};
        // Log lines dropped since the start.
        std::uint64_t log_lines_dropped = 0;
    };

    /// All metrics in Prometheus' text format; the gauges are set to `values`.
    [[nodiscard]] std::string exposition(const gauges& values);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
