// Tables of one roster and configuration version.
#include "membership/placement.h"

#include <algorithm>
#include <utility>

namespace ebonywick {

void place_hosts(placement& tables, const roster& hosts, const host_id& self)
{
    tables.hosts.clear();
    tables.monitors.clear();
    tables.subjects.clear();
    for (const roster_host& host : hosts.hosts) {
        tables.hosts.push_back(host.id);
        std::vector<host_id> monitors = monitors_of(hosts, host.id);
        if (std::find(monitors.begin(), monitors.end(), self) != monitors.end())
            tables.subjects.push_back(host.id);
        tables.monitors.emplace(host.id, std::move(monitors));
    }
    tables.neighbours = neighbours_of(hosts, self);
}

void place_searchers(placement& tables, const roster& hosts, const configuration& config)
{
    tables.orders.clear();
    std::unordered_map<host_id, std::uint32_t> index;
    for (std::uint32_t it = 0; it < tables.hosts.size(); ++it)
        index.emplace(tables.hosts[it], it);
    for (const service_declaration& service : config.services)
        for (auto map = service.shard_maps.rbegin(); map != service.shard_maps.rend(); ++map)
            for (const shard_declaration& shard : map->shards)
                for (const auto& [searcher, order] :
                     holder_candidates(hosts, shard, max_candidates)) {
                    std::vector<std::uint32_t> places;
                    places.reserve(order.size());
                    for (const host_id& host : order)
                        places.push_back(index.at(host));
                    tables.orders.emplace(searcher, std::move(places));
                }
}

} // namespace ebonywick
