// Maintenance of the roster: adding hosts, removing lost ones, and appointing
// witnesses by conditional updates of the store object.
#pragma once

#include "base/clock.h"
#include "base/randomsource.h"
#include "membership/hoststate.h"
#include "settings/roster.h"

#include <compare>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace ebonywick {

/// Time for which a host must be down before it is removed from the roster.
inline constexpr duration removal_delay = std::chrono::seconds{30};
inline constexpr std::size_t max_witnesses = 5;

/// Input of a decision about the roster.
struct roster_view
{
    roster hosts;
    /// Version to name in `If-Match`; 0: the object does not exist yet.
    object_version version = 0;
    std::function<host_status(const host_id&)> status_of;
    /// This host is current: the witnesses confirm its versions; see currency_tracker.
    bool current = false;
};

/// Conditional update of the store object.
struct roster_update
{
    roster hosts;
    /// Version that the update replaces; 0 creates the object.
    object_version expected = 0;
    /// For the decision log.
    std::string reason;

    auto operator<=>(const roster_update&) const = default;
};

/// Proposes the roster updates of one host. Not thread-safe.
///
/// - A host that is not listed, or with other data, adds itself. The first host becomes
///   the first witness.
/// - Witnesses remove hosts that are down, one at a time. They also appoint or replace
///   witnesses one at a time, and list the previous set for 2 x freshness_bound.
/// - The serving witness with the lowest id writes these changes; another one does so
///   only if a change stays due.
class roster_maintainer
{
public:
    roster_maintainer(roster_host self, std::uint64_t seed, time_point started);

    /// Returns the update to try now, if any. Call about once a second, and immediately
    /// after a new roster. An update stays due, and is proposed again after a delay,
    /// until a new roster makes it unnecessary.
    std::optional<roster_update> propose(const roster_view& view, time_point now);

    /// The update failed because the version in the store is newer. The caller reads
    /// the roster before the next try.
    void note_conflict(time_point now);

private:
    struct status_history
    {
        // Since when the host has the status; empty while it has another one.
        std::optional<time_point> down_since;
        std::optional<time_point> serving_since;
    };

    void track_statuses(const roster_view& view, time_point now);
    [[nodiscard]] std::optional<roster_update> add_self(const roster_view& view) const;
    [[nodiscard]] std::optional<roster_update> next_change(const roster_view& view,
                                                           time_point now) const;
    [[nodiscard]] std::optional<roster_update> change_witnesses(const roster_view& view,
                                                                time_point now) const;
    [[nodiscard]] const roster_host* best_new_witness(const roster_view& view,
                                                      const host_id& replaced) const;
    [[nodiscard]] bool is_lost(const host_id& host, time_point now) const;

    roster_host self_;
    random_source random_;
    time_point next_try_;
    duration conflict_delay_;
    object_version seen_version_ = 0;
    time_point version_seen_at_{};
    std::map<host_id, status_history> hosts_;
    // Reason of the update that is due, empty if none is, and since when it is due.
    std::string due_reason_;
    time_point due_since_{};
};

} // namespace ebonywick
