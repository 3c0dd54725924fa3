// Which conditional update of the roster a host should try next.
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

/// A host that is down for this long is removed from the roster.
inline constexpr duration removal_delay = std::chrono::seconds{30};
inline constexpr std::size_t max_witnesses = 5;

/// What a host knows when it decides about the roster.
struct roster_view
{
    roster hosts;
    /// Version to name in `If-Match`; 0: the object does not exist yet.
    object_version version = 0;
    std::function<host_status(const host_id&)> status_of;
    /// This host is current (section 5 of the design page).
    bool current = false;
};

struct roster_update
{
    roster hosts;
    object_version expected = 0;
    /// For the decision log.
    std::string reason;

    auto operator<=>(const roster_update&) const = default;
};

/// Upkeep of the roster by one host. Not thread-safe.
///
/// - A host that is not listed adds itself; the first one is the first witness.
/// - Witnesses remove hosts that are down, one at a time, and appoint or replace
///   witnesses one at a time, naming the previous ones for 2 x freshness_bound.
///   The lowest serving witness by id acts; the others only when a change stays
///   due.
class roster_maintainer
{
public:
    roster_maintainer(roster_host self, std::uint64_t seed, time_point started);

    /// The update to try now. Call about once a second, and at once after a new
    /// roster. The same update is proposed again if its result is not reported.
    std::optional<roster_update> propose(const roster_view& view, time_point now);

    /// The update met a newer version; read the roster before the next try.
    void note_conflict(time_point now);

private:
    struct observed
    {
        // Empty while the host has another status.
        std::optional<time_point> down_since;
        std::optional<time_point> serving_since;
    };

    void observe(const roster_view& view, time_point now);
    [[nodiscard]] std::optional<roster_update> add_self(const roster_view& view) const;
    [[nodiscard]] std::optional<roster_update> maintain(const roster_view& view,
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
    time_point version_since_{};
    std::map<host_id, observed> hosts_;
    // The update that is due, and since when.
    std::string due_;
    time_point due_since_{};
};

} // namespace ebonywick
