// Events of the membership agent: objects, ticks, leaving, and the state that
// follows from them. Messages are handled in agentmessages.cpp, the monitor side
// in agentmonitor.cpp.
#include "membership/membershipagent.h"

#include "membership/agentstate.h"

#include <algorithm>
#include <utility>

namespace ebonywick {

namespace {

using namespace std::chrono_literals;

// A release is repeated, because no reply confirms it.
constexpr unsigned release_repeats = 5;
constexpr duration release_interval = 200ms;
// A host whose monitors do not answer still serves as entry host.
constexpr duration serving_without_lease = 5s;

template <class... F>
struct overloaded : F...
{
    using F::operator()...;
};
template <class... F>
overloaded(F...) -> overloaded<F...>;

} // namespace

membership_agent::state::state(const host_id& id, incarnation_number own_incarnation,
                               std::uint64_t seed, time_point started)
    : self(id), incarnation(own_incarnation), last_tick(started), random(seed),
      tracker(id, own_incarnation, started), gossip(id, own_incarnation), objects(id, seed + 1),
      registry(time_point::max()), fences(id), claims(id), next_slot(started)
{
}

status_function membership_agent::state::status() const
{
    return [this](const host_id& host) {
        return gossip.status_of(host);
    };
}

bool membership_agent::state::may_use_lease() const
{
    return ever_settled && !released && !gossip.superseded() && tables.lists(self);
}

void membership_agent::state::send(const host_id& to, control_message message)
{
    if (to == self)
        to_self.push_back(std::move(message));
    else
        actions.emplace_back(send_control{to, std::move(message)});
}

void membership_agent::state::emit(std::vector<membership_action> more)
{
    for (membership_action& it : more) {
        auto* sent = std::get_if<send_control>(&it);
        if (sent != nullptr)
            send(sent->to, std::move(sent->message));
        else
            actions.push_back(std::move(it));
    }
}

void membership_agent::state::learn(const object_received& object, time_point now)
{
    if (!objects.learn(object.kind, object.version, object.content))
        return;
    claims_changed = true;
    actions.emplace_back(adopt_object{object.kind, object.version});
    if (object.kind == object_kind::config) {
        config = object.config;
        change_plan(false, hosts, now);
        tracker.set_config(object.version, now);
    } else {
        const roster former = std::exchange(hosts, object.hosts);
        change_plan(true, former, now);
        tracker.set_roster(hosts, object.version, now);
    }
    announce_to_neighbours(now);
}

void membership_agent::state::change_plan(bool roster_changed, const roster& former, time_point now)
{
    const bool current_before = now < tracker.current_until();
    if (roster_changed) {
        const std::vector<host_id> former_subjects = tables.subjects;
        for (const auto& [host, monitor_hosts] : tables.monitors)
            departed[host] = monitor_hosts;
        place_hosts(tables, hosts, self);
        for (const host_id& host : tables.hosts)
            departed.erase(host);
        gossip.set_roster(hosts);
        lease.set_monitors(tables.lists(self) ? tables.monitors[self] : std::vector<host_id>{});
        if (former.find(self) == nullptr || !tables.lists(self))
            ever_settled = false;

        std::map<host_id, subject_state> kept;
        for (const host_id& subject : tables.subjects) {
            const auto it = subjects.find(subject);
            kept.emplace(subject,
                         it != subjects.end() ? it->second : subject_state{now, {}, false});
            // A monitor that was not current may have missed rosters between the
            // two; its memory of the subject proves nothing then.
            if (it == subjects.end() || !current_before) {
                unconfirmed_subjects.insert(subject);
                registry.hold_off(subject, time_point::max());
            }
        }
        subjects = std::move(kept);
        for (const host_id& subject : former_subjects)
            if (!subjects.contains(subject))
                unconfirmed_subjects.erase(subject);
    }
    place_upstreams(tables, config);
    claims.set_placement(tables, {!ever_settled, settled});
    settled = false;
    const std::set<host_id> relevant = claims.relevant_hosts();
    fences.forget_except(relevant);
    for (const host_id& host : relevant) {
        fences.set_monitors(host, tables.lists(host) ? tables.monitors[host] : departed[host]);
        // The monitors of a host that enters the roster hold off for
        // lease_duration + F from the confirmation, which is not earlier than the
        // last confirmation of the former roster, current_until - F.
        if (roster_changed && !former.hosts.empty() && tables.lists(host) &&
            former.find(host) == nullptr)
            fences.note_no_lease_before(host, tracker.current_until() + lease_duration);
    }
}

void membership_agent::state::tick(time_point now)
{
    // After a pause of this host, silence of the others means nothing.
    if (now - last_tick > lease_duration / 4)
        for (auto& [host, it] : subjects)
            it.last_heard = std::max(it.last_heard, now - lease_duration / 2);
    last_tick = now;
    // Time alone changes claims only while fences are held or asked for.
    claims_changed = claims_changed || fences_in_use;
    tracker.advance(now);
    use_confirmed_roster(now);
    send_due_heartbeats(now);
    observe(now);
    emit(objects.advance(now));
    if (releases_left > 0 && now >= next_release) {
        --releases_left;
        next_release = now + release_interval;
        if (tables.lists(self))
            for (const host_id& monitor : tables.monitors[self])
                send(monitor, lease_release{self, incarnation});
    }
}

void membership_agent::state::use_confirmed_roster(time_point now)
{
    const auto confirmed = tracker.confirmed_at();
    if (!confirmed)
        return;
    if (registry_waits) {
        registry_waits = false;
        registry = lease_registry{*confirmed + monitor_hold_off};
        unconfirmed_subjects.clear();
    }
    for (const host_id& subject : unconfirmed_subjects)
        registry.hold_off(subject, *confirmed + monitor_hold_off);
    unconfirmed_subjects.clear();
    if (settled || now < *confirmed + freshness_bound)
        return;
    settled = true;
    if (tables.lists(self)) {
        if (!ever_settled)
            settled_since = now;
        ever_settled = true;
        claims.settle();
        claims_changed = true;
    }
    departed.clear();
}

void membership_agent::state::leave(time_point now)
{
    if (gossip.own().status == host_status::down || gossip.own().status == host_status::leaving)
        return;
    gossip.announce(host_status::leaving);
    actions.emplace_back(host_changed{self, host_status::leaving});
    // Gossip alone has no bound on the time until each host has the news, and a
    // host without it goes on naming this one to callers.
    for (const host_id& host : tables.hosts) {
        if (host != self)
            unaware_of_leave.insert(host);
    }
    announce_leave(now);
}

void membership_agent::state::release(time_point now)
{
    if (released)
        return;
    released = true;
    lease.clear();
    gossip.announce(host_status::down);
    releases_left = release_repeats;
    next_release = now;
    emit(claims.refresh(fences, false, "lease released", now));
    tick(now);
    announce_to_neighbours(now);
}

void membership_agent::state::refresh(time_point now)
{
    const bool current = now < tracker.current_until();
    if (current != was_current) {
        was_current = current;
        actions.emplace_back(currency_changed{current});
    }
    const bool has_lease = may_use_lease() && now < lease.until();
    const bool waited = settled_since && now - *settled_since >= serving_without_lease;
    if (gossip.own().status == host_status::joining && current && may_use_lease() &&
        (has_lease || waited)) {
        gossip.announce(host_status::serving);
        actions.emplace_back(host_changed{self, host_status::serving});
        announce_to_neighbours(now);
    }
    // Plain heartbeats change no claim; at 460 hosts this saves most of the cost.
    const bool acts = has_lease && current;
    if (!claims_changed && acts == acted)
        return;
    claims_changed = false;
    acted = acts;
    fences_in_use = false;
    if (acts) {
        const std::set<host_id> wanted = claims.wanted_fences(fences, status(), now);
        fences_in_use = !wanted.empty() || fences.any_unexpired(now);
        emit(fences.request(wanted, now));
    }
    std::string why_not = "not current";
    if (released)
        why_not = "lease released";
    else if (gossip.superseded())
        why_not = "a later life of this host exists";
    else if (!has_lease)
        why_not = "lease expired";
    emit(claims.refresh(fences, acts, why_not, now));
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): fixed interface.
membership_agent::membership_agent(host_id self, incarnation_number incarnation, std::uint64_t seed,
                                   time_point started)
    : state_(std::make_unique<state>(self, incarnation, seed, started))
{
}

membership_agent::~membership_agent() = default;

std::vector<membership_action> membership_agent::handle(const membership_event& ev, time_point now)
{
    state& it = *state_;
    std::visit(overloaded{[&](const message_received& e) { it.on_message(e.message, now); },
                          [&](const object_received& e) { it.learn(e, now); },
                          [&](const membership_tick&) { it.tick(now); },
                          [&](const leave_requested&) { it.leave(now); },
                          [&](const calls_drained&) {
                              it.release(now);
                          }},
               ev);
    it.refresh(now);
    bool refreshed = false;
    while (!it.to_self.empty()) {
        const control_message message = std::move(it.to_self.front());
        it.to_self.pop_front();
        it.on_message(message, now);
        // Fences that this host grants itself take effect at once.
        if (it.to_self.empty() && !std::exchange(refreshed, true))
            it.refresh(now);
    }
    return std::exchange(it.actions, {});
}

time_point membership_agent::lease_until() const
{
    return state_->may_use_lease() ? state_->lease.until() : time_point{};
}

time_point membership_agent::current_until() const
{
    return state_->tracker.current_until();
}

time_point membership_agent::fences_valid_until(const upstream_id& upstream) const
{
    return state_->claims.fences_valid_until(upstream);
}

bool membership_agent::holds(const upstream_id& upstream, time_point now) const
{
    return now < lease_until() && now < current_until() && state_->claims.holds(upstream, now);
}

host_id membership_agent::expected_holder(const upstream_id& upstream) const
{
    return state_->claims.expected_holder(state_->tables, upstream, state_->status());
}

host_status membership_agent::status_of(const host_id& host) const
{
    return state_->gossip.status_of(host);
}

object_version membership_agent::known_version(object_kind kind) const
{
    return state_->objects.version(kind);
}

} // namespace ebonywick
