// Event handling of the membership agent: store objects, ticks, leaving, and the
// claims that follow. Messages are handled in agentmessages.cpp, the monitor side in
// agentmonitor.cpp.
#include "membership/membershipagent.h"

#include "membership/agentstate.h"

#include <algorithm>
#include <utility>

namespace ebonywick {

namespace {

using namespace std::chrono_literals;

// A lease release is repeated because it is not acknowledged.
constexpr unsigned release_repeats = 5;
constexpr duration release_interval = 200ms;
// Time after which a joining host serves as entry host although its monitors have
// not granted it a lease.
constexpr duration max_lease_wait = 5s;

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
    return ever_settled && !released && !gossip.superseded() && tables.contains(self);
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

void membership_agent::state::adopt(const object_received& object, time_point now)
{
    if (!objects.adopt(object.kind, object.version, object.content))
        return;
    claims_changed = true;
    actions.emplace_back(adopt_object{object.kind, object.version});
    if (object.kind == object_kind::config) {
        config = object.config;
        update_placement(false, hosts, now);
        tracker.set_config(object.version, now);
    } else {
        const roster previous = std::exchange(hosts, object.hosts);
        update_placement(true, previous, now);
        tracker.set_roster(hosts, object.version, now);
    }
    announce_to_neighbours(now);
}

void membership_agent::state::update_placement(bool roster_changed, const roster& previous,
                                               time_point now)
{
    const bool current_before = now < tracker.current_until();
    if (roster_changed) {
        const std::vector<host_id> previous_subjects = tables.subjects;
        for (const auto& [host, monitor_hosts] : tables.monitors)
            last_monitors[host] = monitor_hosts;
        compute_host_tables(tables, hosts, self);
        for (const host_id& host : tables.hosts)
            last_monitors.erase(host);
        gossip.set_roster(hosts);
        lease.set_monitors(tables.contains(self) ? tables.monitors[self] : std::vector<host_id>{});
        if (previous.find(self) == nullptr || !tables.contains(self))
            ever_settled = false;

        std::map<host_id, subject_state> kept;
        for (const host_id& subject : tables.subjects) {
            const auto it = subjects.find(subject);
            kept.emplace(subject,
                         it != subjects.end() ? it->second : subject_state{now, {}, false});
            // A monitor that was not current may have missed a roster in which it did
            // not monitor the subject, so the grants that it knows may be incomplete.
            if (it == subjects.end() || !current_before) {
                unconfirmed_subjects.insert(subject);
                registry.hold_off(subject, time_point::max());
            }
        }
        subjects = std::move(kept);
        for (const host_id& subject : previous_subjects)
            if (!subjects.contains(subject))
                unconfirmed_subjects.erase(subject);
    }
    compute_candidates(tables, config);
    claims.set_placement(tables, {!ever_settled, settled});
    settled = false;
    const std::set<host_id> relevant = claims.relevant_hosts();
    fences.retain_only(relevant);
    for (const host_id& host : relevant) {
        fences.set_monitors(host,
                            tables.contains(host) ? tables.monitors[host] : last_monitors[host]);
        // The monitors of a host that enters the roster refuse grants for
        // lease_duration + freshness_bound from the confirmation of this roster. That
        // is not before the last confirmation of the previous one, at
        // current_until() - freshness_bound.
        if (roster_changed && !previous.hosts.empty() && tables.contains(host) &&
            previous.find(host) == nullptr)
            fences.note_no_lease_before(host, tracker.current_until() + lease_duration);
    }
}

void membership_agent::state::tick(time_point now)
{
    // After a pause of this host, the silence of others does not mean that they are
    // down: each subject gets at least half a lease_duration to be heard.
    if (now - last_tick > lease_duration / 4)
        for (auto& [host, it] : subjects)
            it.last_heard = std::max(it.last_heard, now - lease_duration / 2);
    last_tick = now;
    // Time alone changes claims only while fences are held or wanted.
    claims_changed = claims_changed || fences_in_use;
    tracker.advance(now);
    apply_confirmed_roster(now);
    send_due_heartbeats(now);
    check_subjects(now);
    emit(objects.advance(now));
    if (releases_left > 0 && now >= next_release) {
        --releases_left;
        next_release = now + release_interval;
        if (tables.contains(self))
            for (const host_id& monitor : tables.monitors[self])
                send(monitor, lease_release{self, incarnation});
    }
}

void membership_agent::state::apply_confirmed_roster(time_point now)
{
    const auto confirmed = tracker.confirmed_at();
    if (!confirmed)
        return;
    if (registry_unconfirmed) {
        registry_unconfirmed = false;
        registry = lease_registry{*confirmed + monitor_hold_off};
        unconfirmed_subjects.clear();
    }
    for (const host_id& subject : unconfirmed_subjects)
        registry.hold_off(subject, *confirmed + monitor_hold_off);
    unconfirmed_subjects.clear();
    if (settled || now < *confirmed + freshness_bound)
        return;
    settled = true;
    if (tables.contains(self)) {
        if (!ever_settled)
            settled_since = now;
        ever_settled = true;
        claims.mark_settled();
        claims_changed = true;
    }
    last_monitors.clear();
}

void membership_agent::state::leave(time_point now)
{
    if (gossip.own().status == host_status::down || gossip.own().status == host_status::leaving)
        return;
    gossip.announce(host_status::leaving);
    actions.emplace_back(host_changed{self, host_status::leaving});
    // A host that does not know of the leave keeps listing this host to callers, and
    // gossip alone does not bound the time until each host knows.
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
    const bool waited = settled_since && now - *settled_since >= max_lease_wait;
    if (gossip.own().status == host_status::joining && current && may_use_lease() &&
        (has_lease || waited)) {
        gossip.announce(host_status::serving);
        actions.emplace_back(host_changed{self, host_status::serving});
        announce_to_neighbours(now);
    }
    // Most events are heartbeats that change no claim. With 460 hosts, recomputing
    // the claims for each would be most of the cost.
    const bool eligible = has_lease && current;
    if (!claims_changed && eligible == was_eligible)
        return;
    claims_changed = false;
    was_eligible = eligible;
    fences_in_use = false;
    if (eligible) {
        const std::set<host_id> wanted = claims.wanted_fences(fences, status(), now);
        fences_in_use = !wanted.empty() || fences.any_unexpired(now);
        emit(fences.request(wanted, now));
    }
    std::string ineligible_reason = "configuration not confirmed as current";
    if (released)
        ineligible_reason = "lease released";
    else if (gossip.superseded())
        ineligible_reason = "a later incarnation of this host exists";
    else if (!has_lease)
        ineligible_reason = "lease expired";
    emit(claims.refresh(fences, eligible, ineligible_reason, now));
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
                          [&](const object_received& e) { it.adopt(e, now); },
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
        // Lets fences that this host grants itself take effect within this event.
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
