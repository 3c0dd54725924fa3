// Selects and orders the entry hosts for a caller, and steps through a graceful
// shutdown.
#include "control/entrylist.h"

#include "base/hashing.h"
#include "membership/leaseregistry.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace ebonywick {

std::vector<entry_host> entry_hosts(const roster& hosts, const configuration& config,
                                    const std::function<host_status(const host_id&)>& status_of,
                                    const caller_id& caller)
{
    std::vector<std::pair<std::uint64_t, entry_host>> weighted;
    for (const roster_host& host : hosts.hosts) {
        if (status_of(host.id) != host_status::serving || config.is_domain_out(host.domain))
            continue;
        weighted.emplace_back(rendezvous_weight(caller.value(), host.id.value()),
                              entry_host{host.id, host.http, host.domain});
    }
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<entry_host> entries;
    entries.reserve(weighted.size());
    for (auto& [weight, entry] : weighted)
        entries.push_back(std::move(entry));
    return entries;
}

void drain_sequence::begin(time_point now)
{
    if (phase_ != drain_phase::serving)
        return;
    phase_ = drain_phase::announced;
    started_at_ = now;
}

drain_phase drain_sequence::advance(time_point now, std::size_t requests, std::size_t calls)
{
    // Another host may list this one for up to freshness_bound after the leave, the
    // caller keeps that list for entry_list_validity, and its last request may be on
    // its way for max_request_transit.
    const bool unlisted =
        now >= started_at_ + freshness_bound + entry_list_validity + max_request_transit;
    if (phase_ == drain_phase::announced && unlisted && requests == 0)
        phase_ = drain_phase::handing_over;
    if (phase_ == drain_phase::handing_over && requests == 0 && calls == 0)
        phase_ = drain_phase::finished;
    return phase_;
}

} // namespace ebonywick
