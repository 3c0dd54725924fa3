// Lost and abandoned calls by upstream, until it is known whether the upstream has ended.
#include "quarantine/crashattribution.h"

#include <algorithm>

namespace ebonywick {

namespace constants = quarantine_constants;

namespace {

crash_record record_of(std::uint64_t upstream, const request_run& run, time_point at)
{
    return {run, static_cast<std::uint32_t>(upstream), at};
}

} // namespace

crash_attribution::suspect& crash_attribution::entry_of(std::uint64_t upstream, time_point now)
{
    const auto found = suspects_.find(upstream);
    if (found != suspects_.end()) {
        found->second.updated_at = now;
        return found->second;
    }
    if (suspects_.size() >= constants::max_suspicious_upstreams) {
        const auto first =
            std::min_element(suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
                return a.second.updated_at < b.second.updated_at;
            });
        suspects_.erase(first);
    }
    suspect& out = suspects_[upstream];
    out.updated_at = now;
    return out;
}

crash_attribution::result crash_attribution::call_lost(std::uint64_t upstream,
                                                       const request_run& run, time_point now)
{
    suspect& of = entry_of(upstream, now);
    if (of.ended)
        return {{record_of(upstream, run, now)}, false};
    if (of.lost.size() < constants::max_calls_of_upstream)
        of.lost.push_back({run, now});
    if (of.checked_at != time_point{} && now - of.checked_at < constants::check_interval)
        return {};
    of.checked_at = now;
    return {{}, true};
}

void crash_attribution::call_abandoned(std::uint64_t upstream, const request_run& run,
                                       time_point now)
{
    auto& calls = entry_of(upstream, now).abandoned;
    calls.push_back({run, now});
    while (calls.size() > constants::max_calls_of_upstream ||
           now - calls.front().at > constants::abandoned_retention)
        calls.pop_front();
}

void crash_attribution::upstream_replied(std::uint64_t upstream)
{
    const auto found = suspects_.find(upstream);
    if (found == suspects_.end())
        return;
    found->second.lost.clear();
    found->second.ended = false;
}

std::vector<crash_record> crash_attribution::upstream_ended(std::uint64_t upstream, time_point now)
{
    const auto found = suspects_.find(upstream);
    if (found == suspects_.end() || found->second.ended)
        return {};
    suspect& of = found->second;
    std::erase_if(of.lost, [&](const auto& it) { return now - it.at > constants::loss_retention; });
    // The upstream ended when the first of the calls was lost, or else just now.
    const time_point ended_at = of.lost.empty() ? now : of.lost.front().at;
    std::vector<crash_record> out;
    for (const ended_call& it : of.abandoned) {
        if (ended_at - it.at <= constants::abandoned_retention)
            out.push_back(record_of(upstream, it.run, ended_at));
    }
    for (const ended_call& it : of.lost)
        out.push_back(record_of(upstream, it.run, ended_at));
    of.lost.clear();
    of.abandoned.clear();
    of.ended = !out.empty();
    return out;
}

} // namespace ebonywick
