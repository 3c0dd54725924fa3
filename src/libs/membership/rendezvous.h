// Placement that every host computes alike from the roster: monitors of a host,
// neighbours in the dissemination graph, and candidates for a searcher.
#pragma once

#include "settings/declaration.h"
#include "settings/roster.h"

#include <cstddef>
#include <limits>
#include <map>
#include <vector>

namespace ebonywick {

inline constexpr std::size_t monitor_count = 3;

/// The `monitor_count` hosts of highest rendezvous weight for `host`, without
/// `host`; fewer if the roster is smaller. In a roster of fewer than 4 hosts a
/// listed host is itself one of its monitors, so that three hosts survive the
/// loss of one.
[[nodiscard]] std::vector<host_id> monitors_of(const roster& hosts, const host_id& host);

/// Hosts at distance 1, 2, 4, ... on the ring of ids in hash order.
[[nodiscard]] std::vector<host_id> neighbours_of(const roster& hosts, const host_id& host);

/// Candidates for the responsibility of each replica of a shard, best first.
/// Hosts that are first for an earlier replica go to the end. At most `limit`
/// candidates are returned for each replica.
[[nodiscard]] std::map<searcher_id, std::vector<host_id>>
holder_candidates(const roster& hosts, const shard_declaration& shard,
                  std::size_t limit = std::numeric_limits<std::size_t>::max());

} // namespace ebonywick
