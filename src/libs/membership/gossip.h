// Spread of member updates: what this host knows of the others, and which news
// it passes on with its messages.
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

/// Most updates that one message carries.
inline constexpr std::size_t max_updates = 6;

/// Member table with bounded retransmission of news. Not thread-safe.
///
/// A copy that arrives while news still spreads counts as one retransmission;
/// without this, the start of a fleet fills all messages with news that is known.
class member_gossip
{
public:
    member_gossip(host_id self, incarnation_number incarnation);

    /// Forgets hosts that are not in the roster.
    void set_roster(const roster& hosts);

    /// Changes the own status.
    void announce(host_status status);
    /// This host, as a monitor, takes `host` for down. Empty if nothing changes.
    std::optional<member_update> assert_down(const host_id& host);
    /// Takes in an update. Returns true if it is news. An update about this host
    /// that contradicts its own status is refuted by a newer one.
    bool apply(const member_update& update);

    [[nodiscard]] host_status status_of(const host_id& host) const;
    /// 0: never heard of.
    [[nodiscard]] incarnation_number incarnation_of(const host_id& host) const;
    [[nodiscard]] const member_update& own() const { return own_; }
    /// A later life of this host exists.
    [[nodiscard]] bool superseded() const { return superseded_; }

    /// Updates for a message to `to`: what `to` should know of itself, the
    /// state of `about`, then news
    /// that is still spreading, then `repeats` known states in rotation, which
    /// repair lost news and inform restarted hosts.
    std::vector<member_update> updates_for(const host_id& to, bool with_own, std::size_t repeats,
                                           const host_id* about = nullptr);

private:
    struct record
    {
        member_update update;
        std::uint32_t sends_left = 0;
    };

    [[nodiscard]] std::uint32_t retransmissions() const;

    member_update own_;
    bool superseded_ = false;
    std::map<host_id, record> members_;
    // Where the rotation goes on.
    host_id next_repeat_;
    // Hosts whose record has sends left; keeps the cost of a message independent of
    // the fleet size.
    std::set<host_id> spreading_;
    // Where the search for news goes on, so that no host's news is preferred.
    host_id next_news_;
};

} // namespace ebonywick
