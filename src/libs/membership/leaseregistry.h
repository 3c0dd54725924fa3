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

/// Lease grants of this host as monitor. Not thread-safe.
class lease_registry
{
public:
    /// `ready_at`: first moment at which a grant is allowed; the monitor may
    /// have granted in a former life that it does not remember.
    explicit lease_registry(time_point ready_at) : ready_at_(ready_at) {}

    /// Forbids grants for `subject` until `at`; used when this host becomes a
    /// monitor of `subject` by a roster change.
    void hold_off(const host_id& subject, time_point at);

    /// Grants `subject` the right to act for lease_duration from its request.
    [[nodiscard]] bool grant_act(const host_id& subject, incarnation_number incarnation,
                                 time_point now);
    /// Grants a fence of `subject` for lease_duration from now.
    [[nodiscard]] bool grant_fence(const host_id& subject, time_point now);
    /// The subject gave its lease up.
    void release(const host_id& subject, incarnation_number incarnation);

    [[nodiscard]] bool act_expired(const host_id& subject, time_point now) const;

private:
    struct entry
    {
        incarnation_number incarnation = 0;
        // Never both later than now: act excludes fence.
        time_point act_until{};
        time_point fence_until{};
        time_point hold_until{};
    };

    time_point ready_at_;
    std::map<host_id, entry> entries_;
};

} // namespace ebonywick
