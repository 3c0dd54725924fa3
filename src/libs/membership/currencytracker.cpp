// Counts currency tokens against the majorities of the witness sets.
#include "membership/currencytracker.h"

#include "membership/leaseregistry.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace ebonywick {

namespace {

bool contains(const std::vector<host_id>& set, const host_id& host)
{
    return std::find(set.begin(), set.end(), host) != set.end();
}

std::size_t majority(std::size_t n)
{
    return n / 2 + 1;
}

} // namespace

currency_tracker::currency_tracker(host_id self, incarnation_number incarnation, time_point started)
    : self_(std::move(self)), incarnation_(incarnation), appointed_at_(started)
{
}

void currency_tracker::set_roster(const roster& hosts, object_version version, time_point now)
{
    const bool was_witness = is_witness();
    const bool same_sets = witnesses_ == hosts.witnesses && previous_ == hosts.previous_witnesses;
    witnesses_ = hosts.witnesses;
    previous_ = hosts.previous_witnesses;
    roster_ = version;
    confirmed_at_.reset();
    note_versions(0, version);
    if (!is_witness())
        issues_tokens_ = false;
    if (!was_witness && is_witness()) {
        appointed_at_ = now;
        witnesses_not_issuing_.clear();
    }
    if (!same_sets) {
        majority_not_issuing_since_.reset();
        std::erase_if(tokens_, [&](const auto& it) {
            return !contains(witnesses_, it.first) && !contains(previous_, it.first);
        });
    }
    advance(now);
}

void currency_tracker::set_config(object_version version, time_point now)
{
    config_ = version;
    confirmed_at_.reset();
    note_versions(version, 0);
    advance(now);
}

void currency_tracker::add_token(const currency_token& token, time_point issued)
{
    note_versions(token.config, token.roster);
    if (token.witness == self_ ||
        (!contains(witnesses_, token.witness) && !contains(previous_, token.witness)))
        return;
    const auto it = tokens_.find(token.witness);
    if (it != tokens_.end()) {
        const received_token& known = it->second;
        if (token.incarnation < known.token.incarnation)
            return;
        if (token.incarnation == known.token.incarnation && issued <= known.issued)
            return;
    }
    tokens_[token.witness] = received_token{token, issued};
}

void currency_tracker::note_reply(const host_id& from, incarnation_number incarnation, bool issues)
{
    if (!issues && !issues_tokens_ && (contains(witnesses_, from) || contains(previous_, from)))
        witnesses_not_issuing_[from] = incarnation;
}

void currency_tracker::note_versions(object_version config, object_version roster)
{
    newest_config_ = std::max(newest_config_, config);
    newest_roster_ = std::max(newest_roster_, roster);
}

bool currency_tracker::is_witness() const
{
    return contains(witnesses_, self_) || contains(previous_, self_);
}

bool currency_tracker::majority_of_others_confirms(const witness_set& set) const
{
    std::size_t others = 0;
    std::size_t confirming = 0;
    for (const host_id& witness : set) {
        if (witness == self_)
            continue;
        ++others;
        const auto it = tokens_.find(witness);
        if (it != tokens_.end() && it->second.issued >= appointed_at_ &&
            it->second.token.config <= config_ && it->second.token.roster <= roster_)
            ++confirming;
    }
    return set.empty() || (others > 0 && confirming >= majority(others));
}

bool currency_tracker::majority_not_issuing(const witness_set& set) const
{
    std::size_t n = 0;
    for (const host_id& witness : set)
        n += witness == self_ || witnesses_not_issuing_.contains(witness) ? 1 : 0;
    return set.empty() || n >= majority(set.size());
}

void currency_tracker::update_issuing(time_point now)
{
    if (issues_tokens_ || !is_witness())
        return;
    if (majority_of_others_confirms(witnesses_) && majority_of_others_confirms(previous_)) {
        issues_tokens_ = true;
        return;
    }
    if (!majority_not_issuing(witnesses_) || !majority_not_issuing(previous_)) {
        majority_not_issuing_since_.reset();
        return;
    }
    if (!majority_not_issuing_since_)
        majority_not_issuing_since_ = now;
    issues_tokens_ = now - *majority_not_issuing_since_ >= lease_duration + freshness_bound &&
                     config_ >= newest_config_ && roster_ >= newest_roster_;
}

void currency_tracker::advance(time_point now)
{
    update_issuing(now);
    if (issues_tokens_)
        tokens_[self_] = {currency_token{self_, incarnation_, config_, roster_, duration::zero()},
                          now};
    else
        tokens_.erase(self_);
    if (witnesses_.empty()) {
        current_until_ = time_point{};
        return;
    }
    current_until_ = current_until_of(witnesses_);
    if (!previous_.empty())
        current_until_ = std::min(current_until_, current_until_of(previous_));
    if (!confirmed_at_ && majority_has_own_versions(witnesses_) &&
        (previous_.empty() || majority_has_own_versions(previous_)))
        confirmed_at_ = now;
}

time_point currency_tracker::current_until_of(const witness_set& set) const
{
    // A token with a newer version than this host's does not count. This makes a
    // host that misses a version stop within freshness_bound.
    std::vector<time_point> issued;
    for (const host_id& witness : set) {
        const auto it = tokens_.find(witness);
        if (it != tokens_.end() && it->second.token.config <= config_ &&
            it->second.token.roster <= roster_)
            issued.push_back(it->second.issued);
    }
    const std::size_t needed = majority(set.size());
    if (issued.size() < needed)
        return time_point{};
    std::sort(issued.begin(), issued.end(), std::greater<>{});
    return issued[needed - 1] + freshness_bound;
}

bool currency_tracker::majority_has_own_versions(const witness_set& set) const
{
    std::size_t n = 0;
    for (const host_id& witness : set) {
        const auto it = tokens_.find(witness);
        n += it != tokens_.end() && it->second.token.config >= config_ &&
                     it->second.token.roster >= roster_
                 ? 1
                 : 0;
    }
    return n >= majority(set.size());
}

std::vector<currency_token> currency_tracker::tokens(time_point now) const
{
    std::vector<currency_token> relayed;
    for (const auto& [witness, seen] : tokens_) {
        if (now - seen.issued >= freshness_bound)
            continue;
        relayed.push_back(seen.token);
        relayed.back().age = now - seen.issued;
    }
    return relayed;
}

std::vector<host_id> currency_tracker::witnesses_to_ask() const
{
    std::vector<host_id> hosts;
    if (issues_tokens_ || !is_witness())
        return hosts;
    for (const witness_set* set : {&witnesses_, &previous_})
        for (const host_id& witness : *set)
            if (witness != self_ && !contains(hosts, witness))
                hosts.push_back(witness);
    return hosts;
}

} // namespace ebonywick
