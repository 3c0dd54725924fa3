// Rendezvous hashing that gives every host the same result for the same roster:
// monitors of a host, its neighbours in the gossip graph, and the candidates for an
// upstream.
#pragma once

#include "settings/declaration.h"
#include "settings/roster.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace ebonywick {

/// Monitors of each host; a lease or a fence needs a majority of them.
inline constexpr std::size_t monitor_count = 3;

/// Rendezvous order over one roster. Each id is hashed only once, and the weight of a
/// host for a key mixes the two hashes: a fleet of the target size computes 1.5
/// million weights for each new roster.
class host_ranking
{
public:
    host_ranking() = default;
    explicit host_ranking(const roster& hosts);

    /// The first `count` hosts for `key`, as indices into the roster.
    [[nodiscard]] std::vector<std::uint32_t> best(const std::string& key, std::size_t count) const;
    [[nodiscard]] std::size_t size() const { return hashes_.size(); }

private:
    std::vector<std::uint64_t> hashes_;
};

/// The `monitor_count` hosts with the highest rendezvous weight for `host`, except
/// `host` itself; fewer if the roster is smaller. In a roster of up to 3 hosts, `host`
/// is one of its own monitors if it is listed, so that a majority of the monitors
/// remains when one of three hosts is lost.
[[nodiscard]] std::vector<host_id> monitors_of(const roster& hosts, const host_id& host);
[[nodiscard]] std::vector<host_id> monitors_of(const roster& hosts, const host_ranking& ranking,
                                               const host_id& host);

/// Hosts at distance 1, 2, 4, ... from `host` on the ring of host ids in hash order.
[[nodiscard]] std::vector<host_id> neighbours_of(const roster& hosts, const host_id& host);

/// Candidates for the holder of each replica of a shard, best first and at most
/// `limit` per replica. Hosts that come first for an earlier replica are moved to the
/// end, so that the replicas of a shard have different holders.
[[nodiscard]] std::map<upstream_id, std::vector<host_id>>
holder_candidates(const roster& hosts, const shard_declaration& shard,
                  std::size_t limit = std::numeric_limits<std::size_t>::max());
/// The same as holder_candidates(), in the order of the replicas and with indices
/// into the roster.
[[nodiscard]] std::vector<std::vector<std::uint32_t>>
candidate_indices(const host_ranking& ranking, const shard_declaration& shard, std::size_t limit);

} // namespace ebonywick
