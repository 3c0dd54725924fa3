// Private state of membership_agent. It owns the components and passes events and
// actions between them. The functions are defined in membershipagent.cpp,
// agentmessages.cpp and agentmonitor.cpp.
#pragma once

#include "membership/currencytracker.h"
#include "membership/fencetracker.h"
#include "membership/gossip.h"
#include "membership/leaseregistry.h"
#include "membership/majoritygrant.h"
#include "membership/membershipagent.h"
#include "membership/objectreplicator.h"
#include "membership/placement.h"
#include "membership/upstreamclaims.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ebonywick {

struct membership_agent::state
{
    state(const host_id& id, incarnation_number incarnation, std::uint64_t seed,
          time_point started);

    // Events. Messages that this host sends to itself pass through `to_self`.
    void on_message(const control_message& message, time_point now);
    void on(const heartbeat& message, time_point now);
    void on(const heartbeat_reply& message, time_point now);
    void on(const fence_request& message, time_point now);
    void on(const fence_reply& message, time_point now);
    void on(const lease_release& message, time_point now);
    void on(const object_push& message, time_point now);
    void on(const object_fetch& message, time_point now);
    void adopt(const object_received& object, time_point now);
    void tick(time_point now);
    void leave(time_point now);
    void release(time_point now);
    /// Recomputes currency, own status and claims after an event.
    void refresh(time_point now);

    // Sending.
    void send(const host_id& to, control_message message);
    void emit(std::vector<membership_action> more);
    /// `about`: a host whose status the message includes in any case.
    void send_heartbeat(const host_id& to, bool wants_lease, time_point now,
                        const host_id* about = nullptr);
    void send_due_heartbeats(time_point now);
    void announce_to_neighbours(time_point now);
    /// Sends a heartbeat to each host that has not acknowledged that this host leaves.
    void announce_leave(time_point now);

    // Monitor side.
    void check_subjects(time_point now);
    void notify_successors(const host_id& subject, time_point now);
    void apply_confirmed_roster(time_point now);

    void apply_update(const member_update& update);
    void update_placement(bool roster_changed, const roster& previous, time_point now);
    [[nodiscard]] bool may_use_lease() const;
    [[nodiscard]] bool monitors(const host_id& subject) const;
    [[nodiscard]] status_function status() const;

    host_id self;
    incarnation_number incarnation;
    time_point last_tick;
    random_source random;

    roster hosts;
    configuration config;
    placement tables;
    // Last monitors of hosts that left the roster. Kept until no host can be
    // current under a roster that lists them.
    std::map<host_id, std::vector<host_id>> last_monitors;

    currency_tracker tracker;
    member_gossip gossip;
    object_replicator objects;
    lease_registry registry;
    majority_grant lease;
    fence_tracker fences;
    upstream_claims claims;

    bool released = false;
    bool was_current = false;
    // Fences, statuses or versions changed since the claims were recomputed.
    bool claims_changed = true;
    // A fence was wanted or unexpired when the claims were last recomputed, so the
    // passing of time alone may change them.
    bool fences_in_use = false;
    // This host had its lease and was current when the claims were last recomputed.
    bool was_eligible = false;
    // The present versions are settled; see upstream_claims.
    bool settled = false;
    // A version has been settled since this host started or entered the roster.
    bool ever_settled = false;
    std::optional<time_point> settled_since;

    // Monitor side: subjects whose hold-off starts when the roster is confirmed.
    // `registry_unconfirmed`: no roster has been confirmed yet, and the registry
    // grants nothing at all.
    std::set<host_id> unconfirmed_subjects;
    bool registry_unconfirmed = true;

    struct subject_state
    {
        time_point last_heard{};
        time_point notified{};
        // Marked down by this host and not heard directly since.
        bool marked_down = false;
    };
    std::map<host_id, subject_state> subjects;

    struct sent_heartbeat
    {
        host_id to;
        time_point sent{};
        bool wants_lease = false;
    };
    std::map<std::uint64_t, sent_heartbeat> pending;
    // Hosts that have not answered a heartbeat since this host started to leave.
    std::set<host_id> unaware_of_leave;
    std::uint64_t sequence = 0;
    time_point next_slot;
    std::size_t slot = 0;
    std::size_t next_neighbour = 0;
    unsigned releases_left = 0;
    time_point next_release{};

    std::vector<membership_action> actions;
    std::deque<control_message> to_self;
};

} // namespace ebonywick
