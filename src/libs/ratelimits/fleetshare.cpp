// Equal parts, for as many hosts as the limit bears.
#include "ratelimits/fleetshare.h"

#include "base/hashing.h"

#include <algorithm>

namespace ebonywick {

namespace {

// Each host with a part may send one call at once, whatever its rate. These calls of all hosts
// stay within this time's worth of the limit, and a few more: with a single host, its loss would
// leave the upstream without calls.
constexpr double simultaneous_calls_s = 0.5;
constexpr std::size_t min_sharing_hosts = 2;

} // namespace

bool fleet_share::set_hosts(sharing_hosts hosts)
{
    std::sort(hosts.known.begin(), hosts.known.end());
    if (hosts == hosts_)
        return false;
    hosts_ = std::move(hosts);
    return true;
}

bool fleet_share::includes_self() const
{
    return std::binary_search(hosts_.known.begin(), hosts_.known.end(), self_);
}

double fleet_share::equal_part_of(double calls_per_second) const
{
    return includes_self() ? calls_per_second / static_cast<double>(hosts_.count()) : 0;
}

double fleet_share::part_of(double calls_per_second, std::string_view key) const
{
    const auto count = static_cast<double>(hosts_.known.size());
    // A limit may be any number, also one that no integer holds.
    const auto borne =
        min_sharing_hosts +
        static_cast<std::size_t>(std::min(calls_per_second * simultaneous_calls_s, count));
    if (borne >= hosts_.known.size() || hosts_.unknown > 0 || !includes_self())
        return equal_part_of(calls_per_second);
    const auto weight = [&](const host_id& it) {
        return rendezvous_weight(key, it.value());
    };
    const auto own = weight(self_);
    const auto before = std::count_if(hosts_.known.begin(), hosts_.known.end(),
                                      [&](const host_id& it) { return weight(it) > own; });
    return static_cast<std::size_t>(before) < borne ? calls_per_second / static_cast<double>(borne)
                                                    : 0;
}

} // namespace ebonywick
