// Mutual exclusion of "act" and "fence" at one monitor.
#include "membership/leaseregistry.h"

#include <algorithm>

namespace ebonywick {

void lease_registry::hold_off(const host_id& subject, time_point at)
{
    entries_[subject].hold_until = at;
}

bool lease_registry::grant_act(const host_id& subject, incarnation_number incarnation,
                               time_point now)
{
    entry& it = entries_[subject];
    if (incarnation < it.incarnation || incarnation <= it.released)
        return false;
    // From here on the subject is known to be back: its fences run out.
    it.asked_until = now + lease_duration;
    if (now < ready_at_ || now < it.hold_until || now < it.fence_until)
        return false;
    // A former life that is only paused may still act until its grant expires.
    if (incarnation != it.incarnation && now < it.act_until)
        return false;
    it.incarnation = incarnation;
    it.act_until = now + lease_duration;
    return true;
}

bool lease_registry::grant_fence(const host_id& subject, time_point now)
{
    entry& it = entries_[subject];
    if (now < ready_at_ || now < it.hold_until || now < it.act_until || now < it.asked_until)
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
    it.asked_until = time_point{};
    // The grant of a former life that is only paused stays in force.
    if (incarnation == it.incarnation)
        it.act_until = time_point{};
}

bool lease_registry::act_expired(const host_id& subject, time_point now) const
{
    const auto it = entries_.find(subject);
    return it == entries_.end() || now >= it->second.act_until;
}

void lease_registry::forget_expired(const host_id& subject, time_point now)
{
    const auto it = entries_.find(subject);
    if (it != entries_.end() && now >= it->second.act_until && now >= it->second.fence_until)
        entries_.erase(it);
}

} // namespace ebonywick
