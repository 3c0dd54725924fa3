// Monitor side of leases: a monitor grants a host its lease, or fences against that
// host to the hosts that would take over from it, never both for the same time.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <compare>
#include <map>
#include <optional>

namespace ebonywick {

/// Validity of a lease and of a fence.
inline constexpr duration lease_duration = std::chrono::milliseconds{2000};
/// Maximum age of the witnesses' confirmations at which versions count as current.
inline constexpr duration freshness_bound = std::chrono::milliseconds{2500};
/// Time after the confirmation of a roster during which a monitor that does not know
/// the earlier grants refuses leases and fences: a grant lasts lease_duration, and a
/// host with the previous roster stays current for up to freshness_bound.
inline constexpr duration monitor_hold_off = lease_duration + freshness_bound;

/// Leases and fences that this host has granted as a monitor. Not thread-safe.
class lease_registry
{
public:
    /// `ready_at`: time before which nothing is granted, because an earlier
    /// incarnation of this monitor may have made grants that are still valid.
    explicit lease_registry(time_point ready_at) : ready_at_(ready_at) {}

    /// Refuses all grants for `subject` until `at`; used when a roster change makes
    /// this host a monitor of `subject`. Replaces an earlier hold-off.
    void hold_off(const host_id& subject, time_point at);

    /// Grants `subject` its lease for lease_duration from `now`. Returns false if it
    /// is refused. In both cases no fence is granted for lease_duration, unless the
    /// incarnation is outdated or has released its lease.
    [[nodiscard]] bool grant_lease(const host_id& subject, incarnation_number incarnation,
                                   time_point now);
    /// Grants a fence against `subject` for lease_duration from `now`. Returns false
    /// if it is refused.
    [[nodiscard]] bool grant_fence(const host_id& subject, time_point now);
    /// The subject gave up its lease. This incarnation gets no other one.
    void release(const host_id& subject, incarnation_number incarnation);

    /// True if `subject` has no valid lease from this monitor.
    [[nodiscard]] bool lease_expired(const host_id& subject, time_point now) const;

    /// Forgets grants for `subject` that have expired; used when this host is no
    /// longer its monitor.
    void forget_expired(const host_id& subject, time_point now);

private:
    struct entry
    {
        incarnation_number incarnation = 0;
        // Incarnations up to this one get no lease any more.
        incarnation_number released = 0;
        // At most one of the two is later than now: a lease excludes fences.
        time_point lease_until{};
        time_point fence_until{};
        time_point hold_until{};
        // No fence is granted before this time, because the subject requested a lease.
        time_point lease_requested_until{};
    };

    time_point ready_at_;
    std::map<host_id, entry> entries_;
};

} // namespace ebonywick
