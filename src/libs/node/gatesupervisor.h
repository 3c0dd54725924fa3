// The gates and links of the upstreams that this host holds.
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

/// Where a call came from: a host of the roster, or this host if empty.
using call_origin = host_id;

/// A connection to an upstream as the gates use it. It ends with `owner`.
struct link_handle
{
    std::function<void(link_call)> start;
    std::function<void(duration timeout)> probe;
    std::shared_ptr<void> owner;
};

/// Opens links and cancels calls; replaced in tests.
struct link_factory
{
    std::function<link_handle(std::uint32_t number, const endpoint&, link_handlers)> open;
    std::function<void(const endpoint&, const call_id&)> cancel;
};

/// Links over HTTP.
[[nodiscard]] link_factory make_http_links();

struct gate_handlers
{
    /// True if this host may start a call at the upstream that ends by `until`.
    std::function<bool(const upstream_id&, time_point now, time_point until)> may_dispatch;
    std::function<void(call_reply, const call_origin&)> reply;
};

struct gate_totals
{
    std::uint64_t gates = 0;
    std::uint64_t cold = 0;
    std::uint64_t in_flight = 0;
    std::uint64_t queued = 0;

    auto operator<=>(const gate_totals&) const = default;
};

/// Thread-safe; each gate has its own lock.
class gate_supervisor
{
public:
    gate_supervisor(node_metrics& metrics, logger& log, link_factory links, gate_handlers handlers);
    ~gate_supervisor();
    gate_supervisor(const gate_supervisor&) = delete;
    gate_supervisor& operator=(const gate_supervisor&) = delete;

    void on_view(const fleet_view_ptr& view);
    void on_held_changed(const upstream_id& upstream, bool held);

    void submit(const call_request& request, const call_origin& origin);
    void cancel(const call_cancel& cancel);
    /// Drives timeouts and probes; to be called every 10 to 50 ms.
    void tick();

    [[nodiscard]] gate_totals totals() const;

private:
    struct gate;
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
