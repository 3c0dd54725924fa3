// Monitors of each host and candidates for each upstream, computed once per version
// of the roster and the configuration.
#pragma once

#include "membership/rendezvous.h"
#include "settings/declaration.h"
#include "settings/roster.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace ebonywick {

/// Candidates that are kept for each upstream. With half of the hosts down, an
/// upstream still has a candidate with probability 1 - 2^-16.
inline constexpr std::size_t max_candidates = 16;

/// Tables of one roster and configuration from the view of one host.
struct placement
{
    /// Ids in the order of the roster.
    std::vector<host_id> hosts;
    host_ranking ranking;
    /// Monitors of each host of the roster.
    std::map<host_id, std::vector<host_id>> monitors;
    /// Hosts that this host monitors.
    std::vector<host_id> subjects;
    /// Neighbours of this host in the gossip graph.
    std::vector<host_id> neighbours;
    /// Candidates of each upstream, best first, as indices into `hosts`.
    std::unordered_map<upstream_id, std::vector<std::uint32_t>> candidates;

    /// True if `host` is in the roster.
    [[nodiscard]] bool contains(const host_id& host) const { return monitors.contains(host); }
};

/// Computes the tables that depend on the roster only; `self` is this host.
void compute_host_tables(placement& tables, const roster& hosts, const host_id& self);
/// Computes the candidates of all upstreams. An upstream in several shard maps of its
/// service gets those of the newest epoch. Needs the ranking of compute_host_tables().
void compute_candidates(placement& tables, const configuration& config);

} // namespace ebonywick
