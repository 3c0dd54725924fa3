// Runs callers' queries on this host: admission, one coordinator for each query,
// and timers.
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

/// A validated request of a caller.
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

/// Sends calls to the holders of the upstreams.
struct call_sender
{
    /// Sends the call and returns the holder. If none is known, passes a failed
    /// reply to query_service::on_reply() and then returns an empty id.
    std::function<host_id(call_request, time_point deadline)> send;
    std::function<void(const call_cancel&)> cancel;
};

/// Thread-safe; each service has its own mutex.
class query_service
{
public:
    query_service(call_sender sender, timer_service& timers, node_metrics& metrics, logger& log,
                  std::uint64_t seed);
    ~query_service();
    query_service(const query_service&) = delete;
    query_service& operator=(const query_service&) = delete;

    /// Takes over the declared services, the preset in force and the holders.
    void on_view(const fleet_view_ptr& view);
    void on_reply(const call_reply& reply);
    /// Refuses waiting requests that can no longer be admitted in time; to be called
    /// every 10 to 50 ms.
    void tick();

    /// Runs a query and blocks until its outcome is known.
    [[nodiscard]] query_outcome run(const caller_request& request);

    /// Sends the single call of an order to a replica, without admission, and blocks
    /// until the reply or the deadline. The reply has no failure if the upstream
    /// completed the call. The shard follows from the hash of `key`.
    [[nodiscard]] call_reply run_order(const caller_request& request, const std::string& key);

    /// Requests in progress, including those that wait for admission.
    [[nodiscard]] std::size_t active() const;

private:
    struct service_runtime;
    struct active_query;
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
