// Monitor side of the membership agent: leases, fences and absent hosts.
#include "membership/agentstate.h"

#include <algorithm>

namespace ebonywick {

namespace {

using namespace std::chrono_literals;

// Successors of an absent host are told again, in case the message was lost or
// the successor was restarted.
constexpr duration notification_interval = 1s;
// Bounds the messages about one absent host; the next interval reaches others.
constexpr std::size_t max_notifications = 16;

} // namespace

bool membership_agent::state::monitors(const host_id& subject) const
{
    if (subjects.contains(subject))
        return true;
    const auto it = departed.find(subject);
    return it != departed.end() &&
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
    if (gossip.assert_down(message.from))
        actions.emplace_back(host_changed{message.from, host_status::down});
    claims_changed = true;
    notify_successors(message.from, now);
}

void membership_agent::state::notify_successors(const host_id& subject, time_point now)
{
    subjects[subject].notified = now;
    std::size_t n = 0;
    for (const host_id& host : responsibility::successors_of(tables, subject, status())) {
        if (host == self)
            emit(fences.ask_at_once(subject, self, now));
        else if (n++ < max_notifications)
            send_heartbeat(host, false, now, &subject);
    }
}

void membership_agent::state::observe(time_point now)
{
    for (auto& [subject, it] : subjects) {
        if (subject == self)
            continue;
        const bool silent = now - it.last_heard >= lease_duration;
        // One assertion for each time the subject falls silent: another monitor
        // may still hear it, and its refutation must stand.
        if (silent && !it.asserted && registry.act_expired(subject, now)) {
            it.asserted = true;
            claims_changed = true;
            if (gossip.assert_down(subject))
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
