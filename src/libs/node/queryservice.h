// Coordinates callers' queries: admission, the query state machines and their
// timers.
#pragma once

#include "base/clock.h"
#include "logging/logger.h"
#include "metrics/nodemetrics.h"
#include "node/fleetview.h"
#include "node/timerservice.h"
#include "query/outcome.h"
#include "wire/dispatchmessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace ebonywick {

/// A caller's request as the HTTP front end has read it.
struct caller_request
{
    request_id id;
    service_name service;
    caller_id caller;
    request_class traffic = request_class::interactive;
    time_point deadline;
    std::string body;

    auto operator<=>(const caller_request&) const = default;
};

/// Way of calls to the upstreams' holders.
struct call_sender
{
    /// Sends the call and returns the holder; empty: none, and a reply that says
    /// so has come already.
    std::function<host_id(call_request, time_point deadline)> send;
    std::function<void(const call_cancel&)> cancel;
};

/// Thread-safe; each service has its own lock.
class query_service
{
public:
    query_service(call_sender port, timer_service& timers, node_metrics& metrics, logger& log,
                  std::uint64_t seed);
    ~query_service();
    query_service(const query_service&) = delete;
    query_service& operator=(const query_service&) = delete;

    void on_view(const fleet_view_ptr& view);
    void on_reply(const call_reply& reply);
    /// Drops requests that wait in vain; to be called every 10 to 50 ms.
    void tick();

    /// Runs a query and waits for its outcome.
    [[nodiscard]] query_outcome run(const caller_request& request);

    /// Sends one call of a non-idempotent request to a replica and waits for its
    /// reply or the deadline. The reply has no failure if the call was answered.
    [[nodiscard]] call_reply run_order(const caller_request& request, const std::string& key);

    /// Requests in progress, waiting ones included.
    [[nodiscard]] std::size_t active() const;

private:
    struct service_runtime;
    struct active_query;
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
