// Inner state of membership_agent: the parts and the order in which they act.
#pragma once

#include "membership/currencytracker.h"
#include "membership/fencekeeper.h"
#include "membership/gossip.h"
#include "membership/leaseregistry.h"
#include "membership/majoritygrant.h"
#include "membership/membershipagent.h"
#include "membership/objectspread.h"
#include "membership/placement.h"
#include "membership/responsibility.h"

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

    // Events. Messages to this host itself are handled in place.
    void on_message(const control_message& message, time_point now);
    void on(const heartbeat& message, time_point now);
    void on(const heartbeat_reply& message, time_point now);
    void on(const fence_request& message, time_point now);
    void on(const fence_reply& message, time_point now);
    void on(const lease_release& message, time_point now);
    void on(const object_push& message, time_point now);
    void on(const object_fetch& message, time_point now);
    void learn(const object_received& object, time_point now);
    void tick(time_point now);
    void leave(time_point now);
    void release(time_point now);
    /// Brings everything that depends on grants, tokens and states up to date.
    void refresh(time_point now);

    // Sending.
    void send(const host_id& to, control_message message);
    void emit(std::vector<membership_action> more);
    /// `about`: a host whose state the message tells in any case.
    void send_heartbeat(const host_id& to, bool wants_lease, time_point now,
                        const host_id* about = nullptr);
    void send_due_heartbeats(time_point now);
    void announce_to_neighbours(time_point now);
    /// Tells the leave to each host that has not confirmed it.
    void announce_leave(time_point now);

    // Monitor side.
    void observe(time_point now);
    void notify_successors(const host_id& subject, time_point now);
    void use_confirmed_roster(time_point now);

    void take_update(const member_update& update);
    void change_plan(bool roster_changed, const roster& former, time_point now);
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
    // Monitors of hosts that left the roster, until no host is current under a
    // roster that names them.
    std::map<host_id, std::vector<host_id>> departed;

    currency_tracker tracker;
    member_gossip gossip;
    object_spread objects;
    lease_registry registry;
    majority_grant lease;
    fence_keeper fences;
    responsibility claims;

    bool released = false;
    bool was_current = false;
    // Fences, states or versions changed since claims were recomputed.
    bool claims_changed = true;
    // At the last recomputation a fence was wanted or unexpired, so that the
    // claims may change with time.
    bool fences_in_use = false;
    // Lease and currency at the last recomputation.
    bool acted = false;
    // The present versions are settled (see responsibility).
    bool settled = false;
    // Settled once since this host started or entered the roster.
    bool ever_settled = false;
    std::optional<time_point> settled_since;

    // Monitor side: subjects whose hold-off begins with the confirmation of the
    // roster, and whether the registry as a whole waits for its first one.
    std::set<host_id> unconfirmed_subjects;
    bool registry_waits = true;

    struct subject_state
    {
        time_point last_heard{};
        time_point notified{};
        // Asserted down and not heard directly since.
        bool asserted = false;
    };
    std::map<host_id, subject_state> subjects;

    struct sent_heartbeat
    {
        host_id to;
        time_point sent{};
        bool wants_lease = false;
    };
    std::map<std::uint64_t, sent_heartbeat> pending;
    // Hosts that have not answered a heartbeat since this host began to leave.
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
