// Mutual exclusion of leases and fences at one monitor.
#include "membership/leaseregistry.h"

#include <algorithm>

namespace ebonywick {

void lease_registry::hold_off(const host_id& subject, time_point at)
{
    entries_[subject].hold_until = at;
}

bool lease_registry::grant_lease(const host_id& subject, incarnation_number incarnation,
                                 time_point now)
{
    entry& it = entries_[subject];
    if (incarnation < it.incarnation || incarnation <= it.released)
        return false;
    // The subject is back: its fences are not renewed and expire.
    it.lease_requested_until = now + lease_duration;
    if (now < ready_at_ || now < it.hold_until || now < it.fence_until)
        return false;
    // An earlier incarnation that is only paused may act until its grant expires.
    if (incarnation != it.incarnation && now < it.lease_until)
        return false;
    it.incarnation = incarnation;
    it.lease_until = now + lease_duration;
    return true;
}

bool lease_registry::grant_fence(const host_id& subject, time_point now)
{
    entry& it = entries_[subject];
    if (now < ready_at_ || now < it.hold_until || now < it.lease_until ||
        now < it.lease_requested_until)
        return false;
    it.fence_until = now + lease_duration;
    return true;
}

void lease_registry::release(const host_id& subject, incarnation_number incarnation)
{
    entry& it = entries_[subject];
    if (incarnation < it.incarnation)
        return;
    it.released = std::max(it.released, incarnation);
    it.lease_requested_until = time_point{};
    // The grant of an earlier incarnation, which may only be paused, stays in force.
    if (incarnation == it.incarnation)
        it.lease_until = time_point{};
}

bool lease_registry::lease_expired(const host_id& subject, time_point now) const
{
    const auto it = entries_.find(subject);
    return it == entries_.end() || now >= it->second.lease_until;
}

void lease_registry::forget_expired(const host_id& subject, time_point now)
{
    const auto it = entries_.find(subject);
    if (it != entries_.end() && now >= it->second.lease_until && now >= it->second.fence_until)
        entries_.erase(it);
}

} // namespace ebonywick
