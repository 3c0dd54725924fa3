// Decides which upstreams this host holds and which fences it needs for them.
#include "membership/upstreamclaims.h"

#include <algorithm>
#include <utility>

namespace ebonywick {

namespace {

// Bounds the fence requests of one host while many hosts are absent, as when a fleet
// starts. Claims that need the fewest fences come first.
constexpr std::size_t max_wanted_fences = 16;

bool is_absent(host_status status)
{
    // A joining host has no lease yet.
    return status == host_status::down || status == host_status::joining;
}

std::string gained_reason(const std::vector<host_id>& earlier)
{
    if (earlier.empty())
        return "lease held, configuration current, first candidate";
    std::string text = "lease held, configuration current, fences against earlier candidates";
    for (const host_id& host : earlier)
        text += " " + host.value();
    return text;
}

} // namespace

void upstream_claims::set_placement(const placement& tables, const placement_change& change)
{
    std::unordered_map<upstream_id, claim> claims;
    std::set<upstream_id> known;
    for (const auto& [upstream, order] : tables.candidates) {
        known.insert(upstream);
        const auto own = std::find_if(order.begin(), order.end(),
                                      [&](std::uint32_t it) { return tables.hosts[it] == self_; });
        if (own == order.end())
            continue;
        claim next;
        for (auto it = order.begin(); it != own; ++it)
            next.earlier_candidates.push_back(tables.hosts[*it]);
        const auto old = claims_.find(upstream);
        if (change.no_earlier_claims)
            next.blocked = true;
        else if (old != claims_.end()) {
            next.former_candidates = old->second.former_candidates;
            next.former_candidates.insert(old->second.earlier_candidates.begin(),
                                          old->second.earlier_candidates.end());
            for (const host_id& host : next.earlier_candidates)
                next.former_candidates.erase(host);
            next.blocked = old->second.blocked;
        } else
            next.blocked = declared_.contains(upstream) || !change.was_settled;
        claims.emplace(upstream, std::move(next));
    }
    claims_ = std::move(claims);
    declared_ = std::move(known);
}

void upstream_claims::mark_settled()
{
    for (auto& [upstream, it] : claims_) {
        it.former_candidates.clear();
        it.blocked = false;
    }
}

std::set<host_id> upstream_claims::wanted_fences(const fence_tracker& fences,
                                                 const status_function& status_of,
                                                 time_point now) const
{
    std::set<host_id> wanted;
    const auto absent = [&](const host_id& host) {
        return is_absent(status_of(host)) || now < fences.fenced_until(host);
    };
    std::vector<const claim*> open;
    for (const auto& [upstream, it] : claims_)
        if (!it.blocked &&
            std::all_of(it.earlier_candidates.begin(), it.earlier_candidates.end(), absent) &&
            std::all_of(it.former_candidates.begin(), it.former_candidates.end(), absent))
            open.push_back(&it);
    std::sort(open.begin(), open.end(), [](const claim* a, const claim* b) {
        return a->earlier_candidates.size() + a->former_candidates.size() <
               b->earlier_candidates.size() + b->former_candidates.size();
    });
    for (const claim* it : open) {
        if (wanted.size() + it->earlier_candidates.size() + it->former_candidates.size() >
            max_wanted_fences)
            break;
        wanted.insert(it->earlier_candidates.begin(), it->earlier_candidates.end());
        wanted.insert(it->former_candidates.begin(), it->former_candidates.end());
    }
    std::erase_if(wanted, [&](const host_id& host) { return !is_absent(status_of(host)); });
    return wanted;
}

std::set<host_id> upstream_claims::relevant_hosts() const
{
    std::set<host_id> hosts;
    for (const auto& [upstream, it] : claims_) {
        hosts.insert(it.earlier_candidates.begin(), it.earlier_candidates.end());
        hosts.insert(it.former_candidates.begin(), it.former_candidates.end());
    }
    return hosts;
}

std::vector<membership_action> upstream_claims::refresh(const fence_tracker& fences, bool eligible,
                                                        const std::string& ineligible_reason,
                                                        time_point now)
{
    std::unordered_map<upstream_id, time_point> held;
    if (eligible) {
        for (const auto& [upstream, it] : claims_) {
            if (it.blocked)
                continue;
            time_point until = time_point::max();
            for (auto host = it.earlier_candidates.begin();
                 now < until && host != it.earlier_candidates.end(); ++host)
                until = std::min(until, fences.fenced_until(*host));
            for (auto host = it.former_candidates.begin();
                 now < until && host != it.former_candidates.end(); ++host)
                until = std::min(until, fences.fenced_until(*host));
            if (now < until)
                held.emplace(upstream, until);
        }
    }
    std::vector<membership_action> actions;
    for (const auto& [upstream, until] : held_)
        if (!held.contains(upstream))
            actions.emplace_back(holder_lost{upstream, eligible ? lost_reason(upstream, fences, now)
                                                                : ineligible_reason});
    for (const auto& [upstream, until] : held)
        if (!held_.contains(upstream))
            actions.emplace_back(
                holder_gained{upstream, gained_reason(claims_[upstream].earlier_candidates)});
    held_ = std::move(held);
    return actions;
}

std::string upstream_claims::lost_reason(const upstream_id& upstream, const fence_tracker& fences,
                                         time_point now) const
{
    const auto it = claims_.find(upstream);
    if (it == claims_.end())
        return declared_.contains(upstream) ? "no longer a candidate" : "no longer declared";
    for (const host_id& host : it->second.earlier_candidates)
        if (now >= fences.fenced_until(host))
            return "no valid fence against earlier candidate " + host.value();
    for (const host_id& host : it->second.former_candidates)
        if (now >= fences.fenced_until(host))
            return "no valid fence against " + host.value() +
                   ", an earlier candidate in a previous version";
    return "other hosts may still use the previous version";
}

bool upstream_claims::holds(const upstream_id& upstream, time_point now) const
{
    return now < fences_valid_until(upstream);
}

time_point upstream_claims::fences_valid_until(const upstream_id& upstream) const
{
    const auto it = held_.find(upstream);
    return it == held_.end() ? time_point::min() : it->second;
}

host_id upstream_claims::expected_holder(const placement& tables, const upstream_id& upstream,
                                         const status_function& status_of) const
{
    if (held_.contains(upstream))
        return self_;
    const auto it = tables.candidates.find(upstream);
    if (it == tables.candidates.end())
        return host_id{};
    for (const std::uint32_t place : it->second)
        if (!is_absent(status_of(tables.hosts[place])))
            return tables.hosts[place];
    return host_id{};
}

std::set<host_id> upstream_claims::successors_of(const placement& tables, const host_id& absent,
                                                 const status_function& status_of)
{
    std::set<host_id> successors;
    const auto own = std::find(tables.hosts.begin(), tables.hosts.end(), absent);
    const auto index = static_cast<std::uint32_t>(own - tables.hosts.begin());
    for (const auto& [upstream, order] : tables.candidates) {
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
