// Rendezvous order over the roster.
#include "membership/rendezvous.h"

#include "base/hashing.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace ebonywick {

namespace {

using weighted = std::pair<std::uint64_t, const host_id*>;

/// The first `count` hosts in rendezvous order for `key`. Equal weights are
/// ordered by id, so that the order is the same on every host.
std::vector<const host_id*> ranked(const roster& hosts, const std::string& key, std::size_t count)
{
    // rendezvous_weight() with the hash of the key taken once.
    const std::uint64_t seed = stable_hash(key);
    std::vector<weighted> buf;
    buf.reserve(hosts.hosts.size());
    for (const roster_host& host : hosts.hosts)
        buf.emplace_back(stable_hash(host.id.value(), seed), &host.id);
    const std::size_t n = std::min(count, buf.size());
    std::partial_sort(buf.begin(), buf.begin() + static_cast<std::ptrdiff_t>(n), buf.end(),
                      [](const weighted& a, const weighted& b) {
                          return a.first != b.first ? a.first > b.first : *a.second < *b.second;
                      });
    std::vector<const host_id*> order;
    order.reserve(n);
    for (std::size_t it = 0; it < n; ++it)
        order.push_back(buf[it].second);
    return order;
}

} // namespace

std::vector<host_id> monitors_of(const roster& hosts, const host_id& host)
{
    const bool self_counts = hosts.hosts.size() <= monitor_count;
    std::vector<host_id> monitors;
    for (const host_id* it : ranked(hosts, host.value(), monitor_count + 1)) {
        if (*it == host && !self_counts)
            continue;
        if (monitors.size() < monitor_count)
            monitors.push_back(*it);
    }
    return monitors;
}

std::vector<host_id> neighbours_of(const roster& hosts, const host_id& host)
{
    std::vector<std::pair<std::uint64_t, const host_id*>> ring;
    for (const roster_host& it : hosts.hosts)
        ring.emplace_back(stable_hash(it.id.value()), &it.id);
    std::sort(ring.begin(), ring.end(), [](const weighted& a, const weighted& b) {
        return a.first != b.first ? a.first < b.first : *a.second < *b.second;
    });
    const std::pair<std::uint64_t, const host_id*> own{stable_hash(host.value()), &host};
    const auto pos =
        std::lower_bound(ring.begin(), ring.end(), own, [](const weighted& a, const weighted& b) {
            return a.first != b.first ? a.first < b.first : *a.second < *b.second;
        });
    // A host that is not listed yet takes the place before its successor.
    const bool listed = pos != ring.end() && *pos->second == host;
    const std::size_t start = static_cast<std::size_t>(pos - ring.begin());
    const std::size_t others = ring.size() - (listed ? 1 : 0);
    std::vector<host_id> neighbours;
    for (std::size_t distance = 1; distance <= others; distance *= 2)
        neighbours.push_back(*ring[(start + distance - (listed ? 0 : 1)) % ring.size()].second);
    return neighbours;
}

std::map<searcher_id, std::vector<host_id>>
holder_candidates(const roster& hosts, const shard_declaration& shard, std::size_t limit)
{
    std::map<searcher_id, std::vector<host_id>> candidates;
    std::vector<host_id> firsts;
    const std::size_t n = hosts.hosts.size();
    for (const searcher_declaration& replica : shard.replicas) {
        const std::size_t wanted = limit >= n ? n : std::min(n, limit + firsts.size());
        std::vector<host_id> order;
        std::vector<host_id> moved;
        for (const host_id* it : ranked(hosts, replica.id.value(), wanted)) {
            const bool taken = std::find(firsts.begin(), firsts.end(), *it) != firsts.end();
            (taken ? moved : order).push_back(*it);
        }
        if (wanted == n)
            order.insert(order.end(), moved.begin(), moved.end());
        if (order.size() > limit)
            order.resize(limit);
        if (!order.empty())
            firsts.push_back(order.front());
        candidates.emplace(replica.id, std::move(order));
    }
    return candidates;
}

} // namespace ebonywick
