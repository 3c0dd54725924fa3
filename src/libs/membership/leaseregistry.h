// Monitor side of leases: grants "act" to a host, or "fence" to those who would
// take over from it, never both at once.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <compare>
#include <map>
#include <optional>

namespace ebonywick {

inline constexpr duration lease_duration = std::chrono::milliseconds{2000};
/// Age of confirmation up to which a configuration counts as current.
inline constexpr duration freshness_bound = std::chrono::milliseconds{2500};
/// Time after confirmation of a roster for which a monitor without memory of
/// former grants refuses both kinds: a grant lasts lease_duration, and a host
/// with the former roster stays current for freshness_bound.
inline constexpr duration monitor_hold_off = lease_duration + freshness_bound;

/// Lease grants of this host as monitor. Not thread-safe.
class lease_registry
{
public:
    /// `ready_at`: first moment at which a grant is allowed; the monitor may
    /// have granted in a former life that it does not remember.
    explicit lease_registry(time_point ready_at) : ready_at_(ready_at) {}

    /// Forbids grants for `subject` until `at`; used when this host becomes a
    /// monitor of `subject` by a roster change. Replaces an earlier hold-off.
    void hold_off(const host_id& subject, time_point at);

    /// Grants `subject` the right to act for lease_duration from its request.
    [[nodiscard]] bool grant_act(const host_id& subject, incarnation_number incarnation,
                                 time_point now);
    /// Grants a fence of `subject` for lease_duration from now.
    [[nodiscard]] bool grant_fence(const host_id& subject, time_point now);
    /// The subject gave its lease up. Final for this incarnation.
    void release(const host_id& subject, incarnation_number incarnation);

    [[nodiscard]] bool act_expired(const host_id& subject, time_point now) const;

    /// Forgets grants for `subject` that have expired; used when this host is no
    /// longer its monitor.
    void forget_expired(const host_id& subject, time_point now);

private:
    struct entry
    {
        incarnation_number incarnation = 0;
        // Lives up to this one released the lease and get no other.
        incarnation_number released = 0;
        // Never both later than now: act excludes fence.
        time_point act_until{};
        time_point fence_until{};
        time_point hold_until{};
        // No fence is renewed before this moment: the subject asked for a lease.
        time_point asked_until{};
    };

    time_point ready_at_;
    std::map<host_id, entry> entries_;
};

} // namespace ebonywick
