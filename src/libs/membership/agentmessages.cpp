// Heartbeats and the handling of control messages in the membership agent.
#include "membership/agentstate.h"

#include <algorithm>
#include <utility>

namespace ebonywick {

namespace {

using namespace std::chrono_literals;

// A period is divided into slots that alternate between a monitor and a neighbour.
// Spreading the heartbeats lets tokens travel several hops within one period.
constexpr duration heartbeat_period = 500ms;
constexpr std::size_t slots_per_period = 2 * monitor_count;
// Updates that a reply repeats although they no longer need retransmission; see
// member_gossip::updates_for(). One is enough to repair lost updates. A joining
// host knows nothing yet and gets max_updates.
constexpr std::size_t repeated_updates = 1;

} // namespace

void membership_agent::state::on_message(const control_message& message, time_point now)
{
    std::visit([&](const auto& it) { on(it, now); }, message);
}

void membership_agent::state::send_heartbeat(const host_id& to, bool wants_lease, time_point now,
                                             const host_id* about)
{
    pending.emplace(++sequence, sent_heartbeat{to, now, wants_lease});
    send(to, heartbeat{self, incarnation, sequence, objects.version(object_kind::config),
                       objects.version(object_kind::roster), wants_lease,
                       gossip.updates_for(to, true, 0, about)});
}

void membership_agent::state::send_due_heartbeats(time_point now)
{
    std::erase_if(pending, [&](const auto& it) { return now - it.second.sent > freshness_bound; });
    if (tables.hosts.empty())
        return;
    // Heartbeats missed during a pause are skipped, not sent in a burst.
    next_slot = std::max(next_slot, now - heartbeat_period);
    const std::vector<host_id> monitor_hosts =
        tables.contains(self) ? tables.monitors[self] : monitors_of(hosts, self);
    while (next_slot <= now) {
        if (slot == 0)
            announce_leave(now);
        if (slot == 0)
            for (const host_id& witness : tracker.witnesses_to_ask())
                send_heartbeat(witness, false, now);
        if (slot % 2 == 0) {
            if (slot / 2 < monitor_hosts.size())
                send_heartbeat(monitor_hosts[slot / 2], may_use_lease(), now);
        } else {
            for (std::size_t it = 0; it < tables.neighbours.size(); ++it) {
                const host_id& host =
                    tables.neighbours[next_neighbour++ % tables.neighbours.size()];
                if (std::find(monitor_hosts.begin(), monitor_hosts.end(), host) !=
                    monitor_hosts.end())
                    continue;
                send_heartbeat(host, false, now);
                break;
            }
        }
        slot = (slot + 1) % slots_per_period;
        next_slot += heartbeat_period / slots_per_period;
    }
}

void membership_agent::state::announce_to_neighbours(time_point now)
{
    // A heartbeat carries only the versions; each neighbour fetches the content
    // once, from the first host that announces it. Pushing the content would send
    // it to each host once per neighbour.
    for (const host_id& host : tables.neighbours)
        send_heartbeat(host, false, now);
}

void membership_agent::state::announce_leave(time_point now)
{
    for (const host_id& host : unaware_of_leave)
        send_heartbeat(host, false, now);
}

void membership_agent::state::apply_update(const member_update& update)
{
    const host_status previous = gossip.status_of(update.host);
    if (!gossip.apply(update))
        return;
    const host_status status = gossip.status_of(update.host);
    claims_changed = claims_changed || status != previous;
    if (status != previous)
        actions.emplace_back(host_changed{update.host, status});
}

void membership_agent::state::on(const heartbeat& message, time_point now)
{
    // Sent by an earlier incarnation of the host.
    if (message.from != self && message.incarnation < gossip.incarnation_of(message.from))
        return;
    for (const member_update& update : message.updates)
        apply_update(update);
    tracker.note_versions(message.config, message.roster);
    objects.note_version(object_kind::config, message.config, message.from);
    objects.note_version(object_kind::roster, message.roster, message.from);
    const auto subject = subjects.find(message.from);
    if (subject != subjects.end()) {
        subject->second.last_heard = now;
        subject->second.marked_down = false;
    }
    const bool granted = message.wants_lease && subject != subjects.end() &&
                         registry.grant_lease(message.from, message.incarnation, now);
    const bool joins = gossip.status_of(message.from) == host_status::joining;
    send(message.from,
         heartbeat_reply{
             self, incarnation, message.sequence, objects.version(object_kind::config),
             objects.version(object_kind::roster), granted, tracker.tokens(now),
             gossip.updates_for(message.from, false, joins ? max_updates : repeated_updates)});
    // A monitor that reports a subject as down is ready to grant a fence for it.
    if (may_use_lease())
        for (const member_update& update : message.updates)
            if (update.host != message.from && update.status == host_status::down &&
                gossip.status_of(update.host) == host_status::down)
                emit(fences.request_now(update.host, message.from, now));
    emit(objects.advance(now));
}

void membership_agent::state::on(const heartbeat_reply& message, time_point now)
{
    const auto it = pending.find(message.sequence);
    if (it == pending.end() || it->second.to != message.from)
        return;
    const sent_heartbeat sent = it->second;
    pending.erase(it);
    unaware_of_leave.erase(message.from);
    if (message.incarnation < gossip.incarnation_of(message.from))
        return;
    for (const member_update& update : message.updates)
        apply_update(update);
    tracker.note_versions(message.config, message.roster);
    objects.note_version(object_kind::config, message.config, message.from);
    objects.note_version(object_kind::roster, message.roster, message.from);
    bool issues = false;
    for (const currency_token& token : message.tokens) {
        issues = issues || token.witness == message.from;
        objects.note_version(object_kind::config, token.config, token.witness);
        objects.note_version(object_kind::roster, token.roster, token.witness);
        tracker.add_token(token, sent.sent - token.age);
    }
    if (message.from != self)
        tracker.note_reply(message.from, message.incarnation, issues);
    tracker.advance(now);
    if (message.lease_granted && sent.wants_lease && may_use_lease())
        lease.grant(message.from, sent.sent + lease_duration);
    emit(objects.advance(now));
}

void membership_agent::state::on(const object_push&, time_point)
{
    // The owner of the agent parses the content and passes it in as object_received.
}

void membership_agent::state::on(const object_fetch& message, time_point)
{
    const object_version version = objects.version(message.kind);
    if (version != 0)
        send(message.from, object_push{self, message.kind, version, objects.content(message.kind)});
}

void membership_agent::state::on(const fence_reply& message, time_point)
{
    fences.note_reply(message);
    // A refusal changes no claim. While a fleet starts, nearly all requests are
    // refused.
    claims_changed = claims_changed || message.granted;
}

} // namespace ebonywick
