// Rendezvous hashing over the roster.
#include "membership/rendezvous.h"

#include "base/hashing.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace ebonywick {

namespace {

using weighted_host = std::pair<std::uint64_t, const host_id*>;

/// Finalizer of SplitMix64: each input bit changes each output bit with a
/// probability near one half.
std::uint64_t mix(std::uint64_t it)
{
    it = (it ^ (it >> 30U)) * 0xbf58476d1ce4e5b9U;
    it = (it ^ (it >> 27U)) * 0x94d049bb133111ebU;
    return it ^ (it >> 31U);
}

} // namespace

host_ranking::host_ranking(const roster& hosts)
{
    hashes_.reserve(hosts.hosts.size());
    for (const roster_host& host : hosts.hosts)
        hashes_.push_back(stable_hash(host.id.value()));
}

std::vector<std::uint32_t> host_ranking::best(const std::string& key, std::size_t count) const
{
    using weighted_index = std::pair<std::uint64_t, std::uint32_t>;
    // Hashed with another seed than the host ids, so that a key and a host of the
    // same name get different hashes.
    const std::uint64_t seed = stable_hash(key, 1);
    std::vector<weighted_index> buf;
    buf.reserve(hashes_.size());
    for (std::uint32_t it = 0; it < hashes_.size(); ++it)
        buf.emplace_back(mix(hashes_[it] ^ seed), it);
    const std::size_t n = std::min(count, buf.size());
    // Equal weights are ordered by id, as the roster is.
    std::partial_sort(buf.begin(), buf.begin() + static_cast<std::ptrdiff_t>(n), buf.end(),
                      [](const weighted_index& a, const weighted_index& b) {
                          return a.first != b.first ? a.first > b.first : a.second < b.second;
                      });
    std::vector<std::uint32_t> order;
    order.reserve(n);
    for (std::size_t it = 0; it < n; ++it)
        order.push_back(buf[it].second);
    return order;
}

std::vector<host_id> monitors_of(const roster& hosts, const host_id& host)
{
    return monitors_of(hosts, host_ranking{hosts}, host);
}

std::vector<host_id> monitors_of(const roster& hosts, const host_ranking& ranking,
                                 const host_id& host)
{
    const bool monitors_itself = hosts.hosts.size() <= monitor_count;
    std::vector<host_id> monitors;
    for (const std::uint32_t it : ranking.best(host.value(), monitor_count + 1)) {
        const host_id& id = hosts.hosts[it].id;
        if (id == host && !monitors_itself)
            continue;
        if (monitors.size() < monitor_count)
            monitors.push_back(id);
    }
    return monitors;
}

std::vector<host_id> neighbours_of(const roster& hosts, const host_id& host)
{
    std::vector<weighted_host> ring;
    for (const roster_host& it : hosts.hosts)
        ring.emplace_back(stable_hash(it.id.value()), &it.id);
    std::sort(ring.begin(), ring.end(), [](const weighted_host& a, const weighted_host& b) {
        return a.first != b.first ? a.first < b.first : *a.second < *b.second;
    });
    const weighted_host own{stable_hash(host.value()), &host};
    const auto pos = std::lower_bound(
        ring.begin(), ring.end(), own, [](const weighted_host& a, const weighted_host& b) {
            return a.first != b.first ? a.first < b.first : *a.second < *b.second;
        });
    // A host that is not in the roster yet is treated as if placed just before its successor.
    const bool listed = pos != ring.end() && *pos->second == host;
    const std::size_t start = static_cast<std::size_t>(pos - ring.begin());
    const std::size_t others = ring.size() - (listed ? 1 : 0);
    std::vector<host_id> neighbours;
    for (std::size_t distance = 1; distance <= others; distance *= 2)
        neighbours.push_back(*ring[(start + distance - (listed ? 0 : 1)) % ring.size()].second);
    return neighbours;
}

std::vector<std::vector<std::uint32_t>>
candidate_indices(const host_ranking& ranking, const shard_declaration& shard, std::size_t limit)
{
    std::vector<std::vector<std::uint32_t>> candidates;
    std::vector<std::uint32_t> firsts;
    const std::size_t n = ranking.size();
    for (const upstream_declaration& replica : shard.replicas) {
        const std::size_t wanted = limit >= n ? n : std::min(n, limit + firsts.size());
        std::vector<std::uint32_t> order = ranking.best(replica.id.value(), wanted);
        const auto moved = std::stable_partition(order.begin(), order.end(), [&](auto it) {
            return std::find(firsts.begin(), firsts.end(), it) == firsts.end();
        });
        if (wanted < n)
            order.erase(moved, order.end());
        if (order.size() > limit)
            order.resize(limit);
        if (!order.empty())
            firsts.push_back(order.front());
        candidates.push_back(std::move(order));
    }
    return candidates;
}

std::map<upstream_id, std::vector<host_id>>
holder_candidates(const roster& hosts, const shard_declaration& shard, std::size_t limit)
{
    std::map<upstream_id, std::vector<host_id>> candidates;
    const auto places = candidate_indices(host_ranking{hosts}, shard, limit);
    for (std::size_t replica = 0; replica < places.size(); ++replica) {
        std::vector<host_id> order;
        for (const std::uint32_t it : places[replica])
            order.push_back(hosts.hosts[it].id);
        candidates.emplace(shard.replicas[replica].id, std::move(order));
    }
    return candidates;
}

} // namespace ebonywick
