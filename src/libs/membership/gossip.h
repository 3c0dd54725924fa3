// Gossip about members: the known status of each host, and the updates that this
// host passes on with its messages.
#pragma once

#include "membership/hoststate.h"
#include "settings/roster.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace ebonywick {

/// Maximum number of updates in one message.
inline constexpr std::size_t max_updates = 6;

/// Member table with bounded retransmission of updates. Not thread-safe.
///
/// A copy that is received while an update is still being retransmitted counts as
/// one retransmission. Otherwise, while a fleet starts, all messages would be full
/// of updates that the receivers know already.
class member_gossip
{
public:
    member_gossip(host_id self, incarnation_number incarnation);

    /// Forgets hosts that are not in the roster.
    void set_roster(const roster& hosts);

    /// Changes the status of this host.
    void announce(host_status status);
    /// Declares `host` down, on behalf of this host as its monitor. Returns the
    /// update; empty if the host is down already or not in the roster.
    std::optional<member_update> mark_down(const host_id& host);
    /// Takes in an update. Returns true if it is newer than what is known. An update
    /// about this host that contradicts its status is refuted by a newer one.
    bool apply(const member_update& update);

    [[nodiscard]] host_status status_of(const host_id& host) const;
    /// Incarnation of the newest update about `host`; 0 if there is none.
    [[nodiscard]] incarnation_number incarnation_of(const host_id& host) const;
    [[nodiscard]] const member_update& own() const { return own_; }
    /// A later incarnation of this host exists.
    [[nodiscard]] bool superseded() const { return superseded_; }

    /// Updates for a message to `to`, at most max_updates, in this order: this host's
    /// own if `with_own`; that `to` is taken for down, so that it can refute it; the
    /// one about `about`; those that still need retransmission; and `repeats` others
    /// in rotation, which repair losses and inform restarted hosts.
    std::vector<member_update> updates_for(const host_id& to, bool with_own, std::size_t repeats,
                                           const host_id* about = nullptr);

private:
    struct record
    {
        member_update update;
        // Retransmissions that are left; see to_retransmit_.
        std::uint32_t sends_left = 0;
    };

    [[nodiscard]] std::uint32_t retransmissions() const;

    member_update own_;
    bool superseded_ = false;
    std::map<host_id, record> members_;
    // Next host in the rotation of repeated updates.
    host_id next_repeat_;
    // Exactly the hosts whose record has sends_left > 0. Without this set the cost
    // of a message would grow with the fleet.
    std::set<host_id> to_retransmit_;
    // Host at which the next message continues, so that all updates get their turn.
    host_id next_retransmission_;
};

} // namespace ebonywick
