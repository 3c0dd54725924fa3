// Prometheus metrics of a node. Label sets are bounded: services, request
// classes, outcomes and error kinds, never callers, upstreams or requests.
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

    /// A caller's request ended; `outcome` is answered, not_run or unknown.
    void request_ended(std::string_view service, std::string_view traffic, std::string_view outcome,
                       duration latency);
    /// Share of the shards that an answer covered, 0 to 1.
    void coverage_observed(std::string_view service, double share);
    void request_failed(error_kind kind);
    /// A call was sent; `reason` is first, hedge or retry.
    void call_sent(std::string_view service, std::string_view reason);
    void queue_wait_observed(duration queue_wait);
    /// A reply came for a call that no longer waits.
    void reply_unmatched();
    void message_expired();

    struct gauges
    {
        std::uint64_t held_upstreams = 0;
        std::uint64_t cold_upstreams = 0;
        std::uint64_t calls_in_flight = 0;
        std::uint64_t calls_queued = 0;
        std::uint64_t config_version = 0;
        std::uint64_t roster_version = 0;
        bool current = false;
        std::uint64_t store_calls = 0;
        std::uint64_t control_sent_bytes = 0;
        std::uint64_t control_received_bytes = 0;
        std::uint64_t control_messages = 0;
        // Processor time of the control threads.
        std::uint64_t control_cpu_us = 0;
        std::uint64_t log_lines_dropped = 0;
    };

    /// The text exposition format, with `values` as they are now.
    [[nodiscard]] std::string exposition(const gauges& values);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
