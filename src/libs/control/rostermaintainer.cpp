// Decides when this host updates the roster, and how.
#include "control/rostermaintainer.h"

#include "membership/leaseregistry.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ebonywick {

namespace {

using namespace std::chrono_literals;

// Random delay that spreads the first tries of hosts that start together.
constexpr duration start_jitter = 200ms;
constexpr duration first_conflict_delay = 100ms;
constexpr duration max_conflict_delay = 8s;
// Time for the reply to an update and for the new roster to arrive.
constexpr duration retry_interval = 2s;
// Time that a witness waits per serving witness with a lower id.
constexpr duration rank_delay = 5s;

bool contains(const std::vector<host_id>& set, const host_id& host)
{
    return std::find(set.begin(), set.end(), host) != set.end();
}

} // namespace

roster_maintainer::roster_maintainer(roster_host self, std::uint64_t seed, time_point started)
    : self_(std::move(self)), random_(seed),
      next_try_(started +
                duration{random_.below(static_cast<std::uint64_t>(start_jitter.count()))}),
      conflict_delay_(first_conflict_delay)
{
}

void roster_maintainer::note_conflict(time_point now)
{
    // Hosts that add themselves at the same time cause conflicts. Exponential backoff
    // with full jitter spreads them.
    const auto bound = static_cast<std::uint64_t>(conflict_delay_.count());
    next_try_ = now + duration{random_.below(bound)};
    conflict_delay_ = std::min(2 * conflict_delay_, max_conflict_delay);
}

std::optional<roster_update> roster_maintainer::propose(const roster_view& view, time_point now)
{
    track_statuses(view, now);
    const host_status own = view.status_of(self_.id);
    if (own == host_status::leaving || own == host_status::down)
        return std::nullopt;
    const roster_host* listed = view.hosts.find(self_.id);
    std::optional<roster_update> update;
    if (listed == nullptr || *listed != self_)
        update = add_self(view);
    else if (view.current && own == host_status::serving &&
             contains(view.hosts.witnesses, self_.id))
        update = next_change(view, now);
    const std::string reason = update ? update->reason : std::string{};
    if (reason != due_reason_) {
        due_reason_ = reason;
        due_since_ = now;
    }
    if (!update || now < next_try_)
        return std::nullopt;
    if (listed != nullptr && *listed == self_) {
        const auto rank = std::count_if(
            view.hosts.witnesses.begin(), view.hosts.witnesses.end(), [&](const host_id& it) {
                return it < self_.id && view.status_of(it) == host_status::serving;
            });
        if (now - due_since_ < rank * rank_delay)
            return std::nullopt;
    }
    next_try_ = now + retry_interval;
    return update;
}

void roster_maintainer::track_statuses(const roster_view& view, time_point now)
{
    if (view.version != seen_version_) {
        seen_version_ = view.version;
        version_seen_at_ = now;
        conflict_delay_ = std::max(first_conflict_delay, conflict_delay_ / 2);
    }
    std::erase_if(hosts_, [&](const auto& it) { return view.hosts.find(it.first) == nullptr; });
    for (const roster_host& host : view.hosts.hosts) {
        status_history& it = hosts_[host.id];
        const host_status status = view.status_of(host.id);
        if (status != host_status::down)
            it.down_since.reset();
        else if (!it.down_since)
            it.down_since = now;
        if (status != host_status::serving)
            it.serving_since.reset();
        else if (!it.serving_since)
            it.serving_since = now;
    }
}

std::optional<roster_update> roster_maintainer::add_self(const roster_view& view) const
{
    roster_update update{view.hosts, view.version, "host " + self_.id.value() + " adds itself"};
    auto& hosts = update.hosts.hosts;
    std::erase_if(hosts, [&](const auto& it) { return it.id == self_.id; });
    hosts.insert(std::upper_bound(hosts.begin(), hosts.end(), self_,
                                  [](const auto& a, const auto& b) { return a.id < b.id; }),
                 self_);
    if (update.hosts.witnesses.empty())
        update.hosts.witnesses.push_back(self_.id);
    return update;
}

bool roster_maintainer::is_lost(const host_id& host, time_point now) const
{
    const auto it = hosts_.find(host);
    // A witness that is not in the roster has to add itself before it can serve again.
    return it == hosts_.end() ||
           (it->second.down_since && now - *it->second.down_since >= removal_delay);
}

std::optional<roster_update> roster_maintainer::next_change(const roster_view& view,
                                                            time_point now) const
{
    if (auto update = change_witnesses(view, now))
        return update;
    for (const roster_host& host : view.hosts.hosts) {
        if (!is_lost(host.id, now) || contains(view.hosts.witnesses, host.id))
            continue;
        roster_update update{view.hosts, view.version, "host " + host.id.value() + " is down"};
        std::erase_if(update.hosts.hosts, [&](const auto& it) { return it.id == host.id; });
        return update;
    }
    return std::nullopt;
}

std::optional<roster_update> roster_maintainer::change_witnesses(const roster_view& view,
                                                                 time_point now) const
{
    const roster& hosts = view.hosts;
    roster_update update{hosts, view.version, {}};
    if (!hosts.previous_witnesses.empty()) {
        // Before that, a host that does not know the new set yet could still be current
        // with the confirmations of the previous set alone.
        if (now - version_seen_at_ < 2 * freshness_bound)
            return std::nullopt;
        update.hosts.previous_witnesses.clear();
        update.reason = "witness change is complete";
        return update;
    }
    const auto lost = std::find_if(hosts.witnesses.begin(), hosts.witnesses.end(),
                                   [&](const host_id& it) { return is_lost(it, now); });
    const host_id replaced = lost == hosts.witnesses.end() ? host_id{} : *lost;
    const roster_host* added = best_new_witness(view, replaced);
    if (replaced.empty() && (added == nullptr || hosts.witnesses.size() >= max_witnesses))
        return std::nullopt;
    update.hosts.previous_witnesses = hosts.witnesses;
    if (!replaced.empty()) {
        std::erase(update.hosts.witnesses, replaced);
        update.reason = "witness " + replaced.value() + " is down";
    }
    if (added != nullptr) {
        update.hosts.witnesses.push_back(added->id);
        update.reason += (replaced.empty() ? "witness " : ", replaced by ") + added->id.value();
        update.reason += replaced.empty() ? " appointed" : "";
    }
    return update;
}

const roster_host* roster_maintainer::best_new_witness(const roster_view& view,
                                                       const host_id& replaced) const
{
    const roster& hosts = view.hosts;
    const auto in_domain = [&](const failure_domain_id& domain) {
        return std::count_if(hosts.witnesses.begin(), hosts.witnesses.end(), [&](const auto& it) {
            const roster_host* host = hosts.find(it);
            return it != replaced && host != nullptr && host->domain == domain;
        });
    };
    const roster_host* best = nullptr;
    for (const roster_host& host : hosts.hosts) {
        const auto& serving_since = hosts_.at(host.id).serving_since;
        if (!serving_since || contains(hosts.witnesses, host.id))
            continue;
        if (best == nullptr ||
            std::tuple{in_domain(host.domain), *serving_since} <
                std::tuple{in_domain(best->domain), *hosts_.at(best->id).serving_since})
            best = &host;
    }
    return best;
}

} // namespace ebonywick
