// Monitor side of the membership agent: fence requests, lease releases, and the
// detection of hosts that are down.
#include "membership/agentstate.h"

#include <algorithm>

namespace ebonywick {

namespace {

using namespace std::chrono_literals;

// The successors of an absent host are notified again at this interval, in case
// a message was lost or a successor was restarted.
constexpr duration notification_interval = 1s;
// Most messages about one absent host in one interval.
constexpr std::size_t max_notifications = 16;

} // namespace

bool membership_agent::state::monitors(const host_id& subject) const
{
    if (subjects.contains(subject))
        return true;
    const auto it = last_monitors.find(subject);
    return it != last_monitors.end() &&
           std::find(it->second.begin(), it->second.end(), self) != it->second.end();
}

void membership_agent::state::on(const fence_request& message, time_point now)
{
    const bool granted = message.from != message.subject && monitors(message.subject) &&
                         registry.grant_fence(message.subject, now);
    send(message.from, fence_reply{self, message.subject, message.sequence, granted});
}

void membership_agent::state::on(const lease_release& message, time_point now)
{
    registry.release(message.from, message.incarnation);
    if (message.incarnation < gossip.incarnation_of(message.from) ||
        !subjects.contains(message.from))
        return;
    if (gossip.mark_down(message.from))
        actions.emplace_back(host_changed{message.from, host_status::down});
    claims_changed = true;
    notify_successors(message.from, now);
}

void membership_agent::state::notify_successors(const host_id& subject, time_point now)
{
    subjects[subject].notified = now;
    std::size_t n = 0;
    for (const host_id& host : upstream_claims::successors_of(tables, subject, status())) {
        if (host == self)
            emit(fences.request_now(subject, self, now));
        else if (n++ < max_notifications)
            send_heartbeat(host, false, now, &subject);
    }
}

void membership_agent::state::check_subjects(time_point now)
{
    for (auto& [subject, it] : subjects) {
        if (subject == self)
            continue;
        const bool silent = now - it.last_heard >= lease_duration;
        // The subject is marked down once for each period of silence: another
        // monitor may still hear it, and then the subject's refutation must not be
        // overridden.
        if (silent && !it.marked_down && registry.lease_expired(subject, now)) {
            it.marked_down = true;
            claims_changed = true;
            if (gossip.mark_down(subject))
                actions.emplace_back(host_changed{subject, host_status::down});
            notify_successors(subject, now);
            continue;
        }
        const host_status status = gossip.status_of(subject);
        const bool absent = status == host_status::down ||
                            (status == host_status::joining && gossip.incarnation_of(subject) != 0);
        if (absent && now - it.notified >= notification_interval)
            notify_successors(subject, now);
    }
}

} // namespace ebonywick
