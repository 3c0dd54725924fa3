// Prometheus metrics of a node. Labels have few values (services, request classes, outcomes,
// error kinds, reasons): callers, upstreams and requests never become labels, since each value
// adds a time series.
#pragma once

#include "base/clock.h"
#include "base/error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace ebonywick {

/// Thread-safe.
class node_metrics
{
public:
    node_metrics();
    ~node_metrics();
    node_metrics(const node_metrics&) = delete;
    node_metrics& operator=(const node_metrics&) = delete;

    /// A caller's request ended, `latency` after it arrived; `outcome` is answered, not_run or
    /// unknown.
    void request_ended(std::string_view service, std::string_view traffic, std::string_view outcome,
                       duration latency);
    /// An answer covered this share of the service's shards, 0 to 1.
    void coverage_observed(std::string_view service, double share);
    /// A request ended as not_run or unknown.
    void request_failed(error_kind kind);
    /// A call was sent; `reason` is first, hedge or retry.
    void call_sent(std::string_view service, std::string_view reason);
    /// A call waited this long in a dispatcher's queue before it started.
    void queue_wait_observed(duration queue_wait);
    /// A reply arrived for a call that is no longer outstanding.
    void reply_unmatched();
    /// A call from another host arrived after its deadline.
    void message_expired();

    /// Values that are read when the metrics are exported.
    struct gauges
    {
        std::uint64_t held_upstreams = 0;
        // Held upstreams that are not warm.
        std::uint64_t cold_upstreams = 0;
        std::uint64_t calls_in_flight = 0;
        std::uint64_t calls_queued = 0;
        std::uint64_t config_version = 0;
        std::uint64_t roster_version = 0;
        // The configuration is confirmed as current.
        bool current = false;
        // The counts from here on are totals since the start.
        std::uint64_t store_calls = 0;
        std::uint64_t control_sent_bytes = 0;
        std::uint64_t control_received_bytes = 0;
        std::uint64_t control_messages = 0;
        // Processor time of the control threads, in microseconds.
        std::uint64_t control_cpu_us = 0;
        std::uint64_t log_lines_dropped = 0;
    };

    /// All metrics in Prometheus' text format; the gauges are set to `values`.
    [[nodiscard]] std::string exposition(const gauges& values);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
