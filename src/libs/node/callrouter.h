// Routes calls to the host that holds the upstream, which may be this host, and
// replies back to the host that coordinates the query.
#pragma once

#include "logging/logger.h"
#include "metrics/nodemetrics.h"
#include "node/dispatchermanager.h"
#include "node/fleetview.h"
#include "transport/messageageestimator.h"
#include "transport/peertransport.h"
#include "wire/dispatchmessage.h"

#include <functional>
#include <memory>

namespace ebonywick {

struct router_handlers
{
    /// Called for a call to an upstream that this host should hold.
    std::function<void(const call_request&, const call_origin&)> on_request;
    std::function<void(const call_cancel&)> on_cancel;
    /// Called for a reply to a request that this host coordinates.
    std::function<void(const call_reply&)> on_reply;
};

/// Thread-safe between start() and stop(). Handlers run on the threads of the arena,
/// or on the thread that sends if the message stays on this host.
class call_router
{
public:
    call_router(const roster_host& self, incarnation_number incarnation,
                std::uint32_t worker_threads, std::function<fleet_view_ptr()> view,
                node_metrics& metrics, logger& log, router_handlers handlers);
    ~call_router();
    call_router(const call_router&) = delete;
    call_router& operator=(const call_router&) = delete;

    /// Binds the dispatch address. Throws std::system_error if it is in use.
    void start();
    /// Closes the socket and waits until all received messages are handled.
    void stop();

    /// Sends the call to the upstream's holder and returns the holder, for the
    /// routing log. If no holder is known, replies with `not_holder` before it
    /// returns an empty id.
    host_id send(call_request request, time_point deadline);
    /// Forwards the cancellation to the current holder; ignored if none is known.
    void cancel(const call_cancel& cancel);
    /// Sends a reply from a dispatcher of this host to the origin of the call.
    void reply(call_reply reply, const call_origin& origin);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
