// Runs the dispatchers of the upstreams that this host holds and owns their links.
#pragma once

#include "base/clock.h"
#include "logging/logger.h"
#include "metrics/nodemetrics.h"
#include "node/fleetview.h"
#include "upstreamlink/upstreamlink.h"
#include "wire/dispatchmessage.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace ebonywick {

/// Host that sent a call; an empty id stands for this host.
using call_origin = host_id;

/// Operations of a link to an upstream. The link is closed when the last copy of `owner`
/// is destroyed.
struct link_handle
{
    std::function<void(link_call)> start;
    std::function<void(duration timeout)> probe;
    std::shared_ptr<void> owner;
};

/// Opens links and cancels calls on upstreams; tests supply their own.
struct link_factory
{
    std::function<link_handle(std::uint32_t number, const endpoint&, link_handlers)> open;
    std::function<void(const endpoint&, const call_id&)> cancel;
};

/// Factory of links over HTTP.
[[nodiscard]] link_factory make_http_links();

struct dispatch_handlers
{
    /// True if this host may send the upstream a call that ends by `until`.
    std::function<bool(const upstream_id&, time_point now, time_point until)> may_dispatch;
    /// Sends the reply to the origin of the call. Called while no mutex of an
    /// upstream is held.
    std::function<void(call_reply, const call_origin&)> reply;
};

struct dispatch_totals
{
    // Upstreams that this host holds, and how many of them are not warm.
    std::uint64_t held = 0;
    std::uint64_t cold = 0;
    // Calls at all dispatchers, including those of upstreams that are no longer held.
    std::uint64_t in_flight = 0;
    std::uint64_t queued = 0;

    auto operator<=>(const dispatch_totals&) const = default;
};

/// Thread-safe; each upstream has its own mutex.
class dispatcher_manager
{
public:
    dispatcher_manager(node_metrics& metrics, logger& log, link_factory links,
                       dispatch_handlers handlers);
    ~dispatcher_manager();
    dispatcher_manager(const dispatcher_manager&) = delete;
    dispatcher_manager& operator=(const dispatcher_manager&) = delete;

    /// Applies changed declarations to the upstreams that are known already.
    void on_view(const fleet_view_ptr& view);
    /// Starts or ends the dispatch of new calls to an upstream. Has no effect for an upstream
    /// that was never held if `held` is false or the view does not list it.
    void on_held_changed(const upstream_id& upstream, bool held);

    /// Queues, starts or rejects the call. Its end is reported by dispatch_handlers::reply.
    void submit(const call_request& request, const call_origin& origin);
    /// Removes the call from the queue, or asks the upstream to stop it.
    void cancel(const call_cancel& cancel);
    /// Handles timeouts and starts probes; call it every 10 to 50 ms, always from the same thread.
    void tick();

    [[nodiscard]] dispatch_totals totals() const;

private:
    struct managed_upstream;
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
