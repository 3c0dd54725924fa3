// Counting of crashes, blocks and their end, and the merge of what other hosts tell.
#include "quarantine/quarantine.h"

#include "base/hashing.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace ebonywick {

namespace constants = quarantine_constants;

std::string_view to_string(quarantine_change::kind kind)
{
    return kind == quarantine_change::kind::blocked ? "blocked" : "released";
}

quarantine::quarantine(host_id self)
    : self_(std::move(self)), next_told_(stable_hash(self_.value()))
{
}

time_point quarantine::memory_end(std::uint32_t strikes, time_point blocked_at)
{
    const duration time = block_time(strikes);
    return blocked_at + time + std::max(time, constants::crash_retention);
}

duration quarantine::block_time(std::uint32_t strikes)
{
    duration out = constants::first_block;
    for (std::uint32_t it = 1; it < strikes && out < constants::max_block; ++it)
        out *= constants::block_growth;
    return std::min(out, constants::max_block);
}

quarantine_decision quarantine::decide(const request_key& key, time_point now)
{
    if (records_.empty())
        return pass_request{};
    std::vector<record*> trials;
    bool suspected = false;
    for (const std::uint64_t it : {key.request, key.resource}) {
        const auto found = records_.find(it);
        if (found == records_.end())
            continue;
        record& of = found->second;
        if (!of.blocked()) {
            suspected = suspected || of.crashes.size() >= constants::careful_from_crashes;
            continue;
        }
        if (now < of.block_end())
            return reject_request{it, of.block_end() - now};
        if (!may_try(it, of, now))
            return reject_request{it, constants::trial_retry_after};
        trials.push_back(&of);
    }
    for (record* it : trials)
        it->tried_at = now;
    if (!trials.empty() || suspected)
        return pass_request_once{!trials.empty()};
    return pass_request{};
}

bool quarantine::blocks(const request_key& key) const
{
    const auto is_blocked = [&](std::uint64_t of) {
        const auto found = records_.find(of);
        return found != records_.end() && found->second.blocked();
    };
    return !records_.empty() && (is_blocked(key.request) || is_blocked(key.resource));
}

bool quarantine::may_try(std::uint64_t key, const record& of, time_point now) const
{
    // One host after the other, so that not each of them crashes an upstream.
    const auto weight = [&](const host_id& it) {
        return stable_hash(it.value(), key);
    };
    const bool takes_part = std::find(hosts_.begin(), hosts_.end(), self_) != hosts_.end();
    const auto before = std::count_if(hosts_.begin(), hosts_.end(), [&](const host_id& it) {
        return !takes_part || weight(it) > weight(self_);
    });
    const duration turn = constants::trial_spacing * static_cast<std::int64_t>(before);
    const duration round = constants::trial_spacing * static_cast<std::int64_t>(hosts_.size() + 1);
    return now >= of.block_end() + turn &&
           (of.tried_at < of.block_end() || now >= of.tried_at + round);
}

void quarantine::crashed(const std::vector<crash_record>& records, time_point now,
                         std::vector<quarantine_change>& out)
{
    for (const crash_record& it : records)
        own_crashes_.push_back({it, now});
    count(records, now, out);
}

void quarantine::count(const std::vector<crash_record>& records, time_point now,
                       std::vector<quarantine_change>& out)
{
    // Requests that are blocked already explain the end of the upstream for the others.
    std::vector<const crash_record*> ordered;
    ordered.reserve(records.size());
    for (const crash_record& it : records)
        ordered.push_back(&it);
    std::stable_partition(ordered.begin(), ordered.end(),
                          [&](const crash_record* it) { return blocks(it->run.key); });
    for (const crash_record* it : ordered) {
        count_for(it->run.key.request, false, *it, now, out);
        count_for(it->run.key.resource, true, *it, now, out);
    }
}

void quarantine::count_for(std::uint64_t key, bool resource, const crash_record& it, time_point now,
                           std::vector<quarantine_change>& out)
{
    // What other hosts tell arrives a little later than it happened.
    const time_point latest = it.at - constants::same_moment;
    if (released_since(key, service_bit(it.run.service), latest) || explained(key, it.upstream))
        return;
    record& of = record_of(key, resource, now);
    if (std::find(of.upstreams.begin(), of.upstreams.end(), it.upstream) == of.upstreams.end()) {
        of.upstreams.push_back(it.upstream);
        if (of.upstreams.size() > constants::max_upstreams)
            of.upstreams.pop_front();
    }
    const bool same = std::any_of(of.crashes.begin(), of.crashes.end(), [&](const auto& each) {
        const duration between = each.at < it.at ? it.at - each.at : each.at - it.at;
        return each.attempt == it.run.attempt || each.upstream == it.upstream ||
               between < constants::same_moment;
    });
    if (!same && of.crashes.size() < of.max_crashes())
        of.crashes.push_back({it.run.attempt, it.upstream, it.run.service, it.at});
    // After a block, the trial has crashed another upstream.
    if (of.blocked() ? it.at >= of.block_end() : of.crashes.size() >= of.max_crashes())
        block(key, of, now, out);
}

void quarantine::block(std::uint64_t key, record& of, time_point now,
                       std::vector<quarantine_change>& out)
{
    ++of.strikes;
    for (const counted_crash& it : of.crashes)
        of.services |= service_bit(it.service);
    of.blocked_at = now;
    of.block_known_at = now;
    out.push_back(
        {quarantine_change::kind::blocked, key, of.resource, of.strikes, of.crashes.size()});
    explain_crashes(key, of);
}

void quarantine::explain_crashes(std::uint64_t by, const record& of)
{
    for (auto it = records_.begin(); it != records_.end();) {
        record& other = it->second;
        if (it->first == by || other.blocked()) {
            ++it;
            continue;
        }
        const std::size_t before = other.crashes.size();
        std::erase_if(other.crashes, [&](const auto& each) {
            return std::find(of.upstreams.begin(), of.upstreams.end(), each.upstream) !=
                   of.upstreams.end();
        });
        it = before > 0 && other.crashes.empty() ? records_.erase(it) : std::next(it);
    }
}

bool quarantine::explained(std::uint64_t key, std::uint32_t upstream) const
{
    return std::any_of(records_.begin(), records_.end(), [&](const auto& it) {
        const auto& [other, of] = it;
        return other != key && of.blocked() &&
               std::find(of.upstreams.begin(), of.upstreams.end(), upstream) != of.upstreams.end();
    });
}

void quarantine::replied(const request_run& run, time_point now,
                         std::vector<quarantine_change>& out)
{
    if (records_.empty())
        return;
    for (const std::uint64_t it : {run.key.request, run.key.resource}) {
        if (records_.contains(it))
            release_key(it, run.service, now, now, out);
    }
}

void quarantine::release_key(std::uint64_t key, std::uint32_t service, time_point at,
                             time_point now, std::vector<quarantine_change>& out)
{
    std::erase_if(releases_,
                  [&](const auto& it) { return it.key == key && it.service == service; });
    releases_.push_back({key, service, at, now});
    if (releases_.size() > constants::max_releases)
        releases_.pop_front();
    const auto found = records_.find(key);
    if (found == records_.end())
        return;
    record& of = found->second;
    if (of.blocked()) {
        if (of.blocked_at > at || (of.services & service_bit(service)) == 0)
            return;
        out.push_back({quarantine_change::kind::released, key, of.resource, of.strikes, 0});
        records_.erase(found);
        return;
    }
    std::erase_if(of.crashes, [&](const auto& it) { return it.service == service && it.at <= at; });
    if (of.crashes.empty())
        records_.erase(found);
}

bool quarantine::released_since(std::uint64_t key, std::uint32_t services, time_point at) const
{
    return std::any_of(releases_.begin(), releases_.end(), [&](const auto& it) {
        return it.key == key && (service_bit(it.service) & services) != 0 && it.at >= at;
    });
}

void quarantine::tell_release_again(std::uint64_t key, time_point now)
{
    const auto repeated = std::stable_partition(releases_.begin(), releases_.end(),
                                                [&](const auto& it) { return it.key != key; });
    std::for_each(repeated, releases_.end(), [&](auto& it) { it.known_at = now; });
}

quarantine::record& quarantine::record_of(std::uint64_t key, bool resource, time_point now)
{
    const auto found = records_.find(key);
    if (found == records_.end()) {
        forget_outdated(now);
        if (records_.size() >= constants::max_records)
            forget_one();
    }
    record& out = found == records_.end() ? records_[key] : found->second;
    // A block that another host has told does not say it.
    out.resource = out.resource || resource;
    out.updated_at = now;
    return out;
}

void quarantine::forget_outdated(time_point now)
{
    std::erase_if(records_, [&](const auto& it) { return now >= it.second.end(); });
    while (!releases_.empty() && now - releases_.front().known_at > constants::crash_retention)
        releases_.pop_front();
}

void quarantine::forget_one()
{
    const auto key = [](const record& of) {
        return std::tuple{of.strikes, of.crashes.size(), of.updated_at};
    };
    const auto least =
        std::min_element(records_.begin(), records_.end(), [&](const auto& a, const auto& b) {
            return key(a.second) < key(b.second);
        });
    if (least != records_.end())
        records_.erase(least);
}

std::size_t quarantine::blocked_count() const
{
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(), [](const auto& it) { return it.second.blocked(); }));
}

std::vector<block_report> quarantine::blocks_to_tell(time_point now)
{
    std::vector<block_report> out;
    std::vector<block_report> older;
    for (const auto& [key, of] : records_) {
        if (!of.blocked())
            continue;
        const block_report told{key, of.strikes, of.services, now - of.blocked_at};
        if (now - of.block_known_at >= constants::repeat_time)
            older.push_back(told);
        else if (out.size() < constants::max_told)
            out.push_back(told);
    }
    const std::size_t count = std::min(older.size(), constants::old_blocks_told);
    for (std::size_t it = 0; it < count; ++it)
        out.push_back(older[next_told_++ % older.size()]);
    return out;
}

quarantine_report quarantine::report(time_point now)
{
    quarantine_report out;
    forget_outdated(now);
    while (!own_crashes_.empty() && now - own_crashes_.front().known_at >= constants::repeat_time)
        own_crashes_.pop_front();
    for (auto it = own_crashes_.rbegin();
         it != own_crashes_.rend() && out.crashes.size() < constants::max_told; ++it)
        out.crashes.push_back({it->of.run, it->of.upstream, now - it->of.at});
    if (!records_.empty())
        out.blocks = blocks_to_tell(now);
    for (auto it = releases_.rbegin();
         it != releases_.rend() && out.releases.size() < constants::max_told; ++it) {
        if (now - it->known_at < constants::repeat_time)
            out.releases.push_back({it->key, it->service, now - it->at});
    }
    return out;
}

void quarantine::merge(const quarantine_report& report, time_point now,
                       std::vector<quarantine_change>& out)
{
    for (const release_report& it : report.releases) {
        const time_point at = now - it.age;
        if (!released_since(it.key, service_bit(it.service), at - constants::same_moment))
            release_key(it.key, it.service, at, now, out);
    }
    for (const block_report& it : report.blocks) {
        const time_point at = now - it.age;
        if (it.strikes == 0 || it.services == 0 || memory_end(it.strikes, at) <= now)
            continue;
        if (released_since(it.key, it.services, at)) {
            // The sender was cut off when the request was released.
            tell_release_again(it.key, now);
            continue;
        }
        record& of = record_of(it.key, false, now);
        of.services |= it.services;
        if (it.strikes < of.strikes || (it.strikes == of.strikes && at >= of.blocked_at))
            continue;
        const bool known = it.strikes == of.strikes;
        of.strikes = it.strikes;
        of.blocked_at = at;
        if (known)
            continue;
        of.block_known_at = now;
        out.push_back(
            {quarantine_change::kind::blocked, it.key, of.resource, of.strikes, of.crashes.size()});
        explain_crashes(it.key, of);
    }
    std::vector<crash_record> records;
    records.reserve(report.crashes.size());
    for (const crash_report& it : report.crashes)
        records.push_back({it.run, it.upstream, now - it.age});
    count(records, now, out);
}

} // namespace ebonywick
