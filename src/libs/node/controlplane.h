// Runs the membership agent of a node: control messages, store objects, leases
// and the view that calls are routed by.
#pragma once

#include "base/clock.h"
#include "logging/logger.h"
#include "membership/membershipagent.h"
#include "node/fleetview.h"
#include "settings/nodesettings.h"
#include "store/objectstoreclient.h"
#include "transport/peertransport.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ebonywick {

struct control_handlers
{
    /// Called when the configuration, the roster, a host's status or a holder changed.
    std::function<void(const fleet_view_ptr&)> on_view;
    /// Called when this host became or ceased to be the holder of the upstream.
    std::function<void(const upstream_id&, bool held)> on_held_changed;
};

/// A host of the roster and its status as seen by this host.
struct known_host
{
    roster_host host;
    host_status status = host_status::joining;

    auto operator<=>(const known_host&) const = default;
};

/// Thread-safe. Handlers run one at a time with the control plane's mutex held, so
/// they must not call back into functions that take it.
class control_plane
{
public:
    control_plane(const node_settings& settings, incarnation_number incarnation,
                  object_store_client& store, logger& log, control_handlers handlers);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    /// Binds the control address and starts the threads. Throws std::system_error
    /// if the address is in use.
    void start();
    /// Ends all threads; queued messages are still sent.
    void stop();

    [[nodiscard]] fleet_view_ptr view() const;
    /// True while this host can confirm that its configuration is current.
    [[nodiscard]] bool is_current(time_point now) const;
    /// True if this host may send the upstream a call that ends by `until`: its
    /// configuration is current, and its lease and the fences that its claim depends
    /// on last longer than that. To be checked right before the call is written.
    [[nodiscard]] bool may_dispatch(const upstream_id& upstream, time_point now,
                                    time_point until) const;
    [[nodiscard]] std::vector<known_host> hosts() const;
    [[nodiscard]] host_status status_of(const host_id& host) const;
    /// Upstreams that this host holds, sorted.
    [[nodiscard]] std::vector<upstream_id> held() const;

    /// Offers an object from an operator's tool or the store to the agent, which
    /// adopts it if it is newer. False if it is not valid.
    bool accept_object(object_kind kind, object_version version, const std::string& content);
    /// Last adopted version of the object; version 0 if there is none.
    [[nodiscard]] stored_object known_object(object_kind kind) const;

    void begin_leave();
    /// Gives up the lease; to be called when no call of a held upstream is left.
    void release_lease();

    [[nodiscard]] peer_transport::counters traffic() const;
    /// Processor time spent in membership decisions and their actions.
    [[nodiscard]] duration processor_time() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
