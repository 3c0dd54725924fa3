// Runs the membership decisions of a node: control messages, store objects,
// leases and the picture that the other parts route by.
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
    /// The configuration, the roster or the holders changed.
    std::function<void(const fleet_view_ptr&)> on_view;
    /// This host may, or may no longer, dispatch to the upstream.
    std::function<void(const upstream_id&, bool held)> on_held_changed;
};

struct known_host
{
    roster_host place;
    host_status status = host_status::joining;

    auto operator<=>(const known_host&) const = default;
};

/// Thread-safe. Handlers run one at a time, on control threads.
class control_plane
{
public:
    control_plane(const node_settings& settings, incarnation_number incarnation,
                  object_store_client& store, logger& log, control_handlers handlers);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    void start();
    /// Ends all threads; the transport sends what is queued.
    void stop();

    [[nodiscard]] fleet_view_ptr view() const;
    /// True while the configuration counts as current.
    [[nodiscard]] bool is_current(time_point now) const;
    /// True if this host may act as holder of the upstream up to `until`: its
    /// lease and the fences that the claim rests on cover that time. Checked right
    /// before use.
    [[nodiscard]] bool may_dispatch(const upstream_id& upstream, time_point now,
                                    time_point until) const;
    [[nodiscard]] std::vector<known_host> hosts() const;
    [[nodiscard]] host_status status_of(const host_id& host) const;
    [[nodiscard]] std::vector<upstream_id> held() const;

    /// An object that an operator's tool or a peer delivered. False if it does
    /// not parse.
    bool learn(object_kind kind, object_version version, const std::string& content);
    /// The object as it is known here; version 0 if it is not.
    [[nodiscard]] stored_object known_object(object_kind kind) const;

    void begin_leave();
    /// The work as holder has ended: gives the lease up.
    void release_holdings();

    [[nodiscard]] peer_transport::counters traffic() const;
    /// Processor time spent in control decisions.
    [[nodiscard]] duration processor_time() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
