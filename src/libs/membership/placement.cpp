// Computes the tables that follow from one roster and configuration version.
#include "membership/placement.h"

#include <algorithm>
#include <utility>

namespace ebonywick {

void compute_host_tables(placement& tables, const roster& hosts, const host_id& self)
{
    tables.hosts.clear();
    tables.monitors.clear();
    tables.subjects.clear();
    tables.ranking = host_ranking{hosts};
    for (const roster_host& host : hosts.hosts) {
        tables.hosts.push_back(host.id);
        std::vector<host_id> monitors = monitors_of(hosts, tables.ranking, host.id);
        if (std::find(monitors.begin(), monitors.end(), self) != monitors.end())
            tables.subjects.push_back(host.id);
        tables.monitors.emplace(host.id, std::move(monitors));
    }
    tables.neighbours = neighbours_of(hosts, self);
}

void compute_candidates(placement& tables, const configuration& config)
{
    tables.candidates.clear();
    for (const service_declaration& service : config.services)
        for (auto map = service.shard_maps.rbegin(); map != service.shard_maps.rend(); ++map)
            for (const shard_declaration& shard : map->shards) {
                auto places = candidate_indices(tables.ranking, shard, max_candidates);
                for (std::size_t it = 0; it < places.size(); ++it)
                    tables.candidates.emplace(shard.replicas[it].id, std::move(places[it]));
            }
}

} // namespace ebonywick
