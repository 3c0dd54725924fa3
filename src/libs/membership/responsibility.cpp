// Claims on upstreams.
#include "membership/responsibility.h"

#include <algorithm>
#include <utility>

namespace ebonywick {

namespace {

// Bounds the fence requests of one host when many hosts are absent, as in the
// start of a fleet. Claims with few earlier candidates come first.
constexpr std::size_t max_wanted_fences = 16;

bool is_absent(host_status status)
{
    // A joining host has no lease yet.
    return status == host_status::down || status == host_status::joining;
}

std::string gained_reason(const std::vector<host_id>& before)
{
    if (before.empty())
        return "own lease, current, first candidate";
    std::string text = "own lease, current, fences of earlier candidates";
    for (const host_id& host : before)
        text += " " + host.value();
    return text;
}

} // namespace

void responsibility::set_placement(const placement& tables, const plan_change& change)
{
    std::unordered_map<upstream_id, claim> claims;
    std::set<upstream_id> known;
    for (const auto& [upstream, order] : tables.orders) {
        known.insert(upstream);
        const auto own = std::find_if(order.begin(), order.end(),
                                      [&](std::uint32_t it) { return tables.hosts[it] == self_; });
        if (own == order.end())
            continue;
        claim next;
        for (auto it = order.begin(); it != own; ++it)
            next.before.push_back(tables.hosts[*it]);
        const auto old = claims_.find(upstream);
        if (change.first)
            next.blocked = true;
        else if (old != claims_.end()) {
            next.former = old->second.former;
            next.former.insert(old->second.before.begin(), old->second.before.end());
            for (const host_id& host : next.before)
                next.former.erase(host);
            next.blocked = old->second.blocked;
        } else
            next.blocked = known_.contains(upstream) || !change.was_settled;
        claims.emplace(upstream, std::move(next));
    }
    claims_ = std::move(claims);
    known_ = std::move(known);
}

void responsibility::settle()
{
    for (auto& [upstream, it] : claims_) {
        it.former.clear();
        it.blocked = false;
    }
}

std::set<host_id> responsibility::wanted_fences(const fence_keeper& fences,
                                                const status_function& status_of,
                                                time_point now) const
{
    std::set<host_id> wanted;
    const auto absent = [&](const host_id& host) {
        return is_absent(status_of(host)) || now < fences.fenced_until(host);
    };
    std::vector<const claim*> open;
    for (const auto& [upstream, it] : claims_)
        if (!it.blocked && std::all_of(it.before.begin(), it.before.end(), absent) &&
            std::all_of(it.former.begin(), it.former.end(), absent))
            open.push_back(&it);
    std::sort(open.begin(), open.end(), [](const claim* a, const claim* b) {
        return a->before.size() + a->former.size() < b->before.size() + b->former.size();
    });
    for (const claim* it : open) {
        if (wanted.size() + it->before.size() + it->former.size() > max_wanted_fences)
            break;
        wanted.insert(it->before.begin(), it->before.end());
        wanted.insert(it->former.begin(), it->former.end());
    }
    std::erase_if(wanted, [&](const host_id& host) { return !is_absent(status_of(host)); });
    return wanted;
}

std::set<host_id> responsibility::relevant_hosts() const
{
    std::set<host_id> hosts;
    for (const auto& [upstream, it] : claims_) {
        hosts.insert(it.before.begin(), it.before.end());
        hosts.insert(it.former.begin(), it.former.end());
    }
    return hosts;
}

std::vector<membership_action> responsibility::refresh(const fence_keeper& fences, bool acts,
                                                       const std::string& why_not, time_point now)
{
    std::unordered_map<upstream_id, time_point> held;
    if (acts) {
        for (const auto& [upstream, it] : claims_) {
            if (it.blocked)
                continue;
            time_point until = time_point::max();
            for (auto host = it.before.begin(); now < until && host != it.before.end(); ++host)
                until = std::min(until, fences.fenced_until(*host));
            for (auto host = it.former.begin(); now < until && host != it.former.end(); ++host)
                until = std::min(until, fences.fenced_until(*host));
            if (now < until)
                held.emplace(upstream, until);
        }
    }
    std::vector<membership_action> actions;
    for (const auto& [upstream, until] : held_)
        if (!held.contains(upstream))
            actions.emplace_back(
                holder_lost{upstream, acts ? lost_reason(upstream, fences, now) : why_not});
    for (const auto& [upstream, until] : held)
        if (!held_.contains(upstream))
            actions.emplace_back(holder_gained{upstream, gained_reason(claims_[upstream].before)});
    held_ = std::move(held);
    return actions;
}

std::string responsibility::lost_reason(const upstream_id& upstream, const fence_keeper& fences,
                                        time_point now) const
{
    const auto it = claims_.find(upstream);
    if (it == claims_.end())
        return known_.contains(upstream) ? "no longer a candidate" : "no longer declared";
    for (const host_id& host : it->second.before)
        if (now >= fences.fenced_until(host))
            return "no fence of earlier candidate " + host.value();
    for (const host_id& host : it->second.former)
        if (now >= fences.fenced_until(host))
            return "no fence of candidate " + host.value() + " of the former version";
    return "new version not settled";
}

bool responsibility::holds(const upstream_id& upstream, time_point now) const
{
    return now < fences_valid_until(upstream);
}

time_point responsibility::fences_valid_until(const upstream_id& upstream) const
{
    const auto it = held_.find(upstream);
    return it == held_.end() ? time_point::min() : it->second;
}

host_id responsibility::expected_holder(const placement& tables, const upstream_id& upstream,
                                        const status_function& status_of) const
{
    if (held_.contains(upstream))
        return self_;
    const auto it = tables.orders.find(upstream);
    if (it == tables.orders.end())
        return host_id{};
    for (const std::uint32_t place : it->second)
        if (!is_absent(status_of(tables.hosts[place])))
            return tables.hosts[place];
    return host_id{};
}

std::set<host_id> responsibility::successors_of(const placement& tables, const host_id& absent,
                                                const status_function& status_of)
{
    std::set<host_id> successors;
    const auto own = std::find(tables.hosts.begin(), tables.hosts.end(), absent);
    const auto index = static_cast<std::uint32_t>(own - tables.hosts.begin());
    for (const auto& [upstream, order] : tables.orders) {
        if (std::find(order.begin(), order.end(), index) == order.end())
            continue;
        bool passed = false;
        for (const std::uint32_t place : order) {
            const host_id& host = tables.hosts[place];
            passed = passed || place == index;
            if (is_absent(status_of(host)))
                continue;
            if (passed)
                successors.insert(host);
            break;
        }
    }
    return successors;
}

} // namespace ebonywick
