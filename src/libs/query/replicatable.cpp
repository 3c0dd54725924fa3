// Records of upstreams, indexed by upstream and by shard.
#include "query/replicatable.h"

#include "query/querycoordinator.h"

#include <algorithm>
#include <utility>

namespace ebonywick {

bool replica_record::holds(snapshot wanted) const
{
    return std::any_of(versions.begin(), versions.end(), [&](const held_version& it) {
        return it.version == wanted.version && (it.epoch == 0 || it.epoch == wanted.epoch);
    });
}

replica_table::index replica_table::find_or_add(const upstream_declaration& declared,
                                                const std::vector<failure_domain_id>& domains_out)
{
    const auto [it, added] = by_id_.try_emplace(declared.id, static_cast<index>(records_.size()));
    if (added) {
        records_.emplace_back();
        records_.back().id = declared.id;
    }
    replica_record& record = records_[it->second];
    record.cold_factor =
        std::max(1.0, double(declared.slots) / std::max(1U, declared.cold_concurrency));
    const bool out =
        std::find(domains_out.begin(), domains_out.end(), declared.domain) != domains_out.end();
    // An upstream is taken to be cold when its failure domain returns.
    if (record.domain_out && !out)
        record.cold = true;
    record.domain_out = out;
    return it->second;
}

void replica_table::configure(const service_declaration& service,
                              const std::vector<failure_domain_id>& domains_out)
{
    std::vector<replica_record> previous = std::exchange(records_, {});
    const std::unordered_map<upstream_id, index> previous_ids = std::exchange(by_id_, {});
    maps_.clear();
    // Move the records that are kept first, so that find_or_add() finds them.
    for (const shard_map& map : service.shard_maps) {
        for (const shard_declaration& shard : map.shards) {
            for (const upstream_declaration& declared : shard.replicas) {
                const auto known = previous_ids.find(declared.id);
                if (known == previous_ids.end() || by_id_.contains(declared.id))
                    continue;
                by_id_.emplace(declared.id, static_cast<index>(records_.size()));
                records_.push_back(std::move(previous[known->second]));
            }
        }
    }
    for (const shard_map& map : service.shard_maps) {
        map_index& indexed = maps_.emplace_back();
        indexed.epoch = map.epoch;
        for (const shard_declaration& shard : map.shards) {
            std::vector<index>& replicas = indexed.shards[shard.name];
            for (const upstream_declaration& declared : shard.replicas)
                replicas.push_back(find_or_add(declared, domains_out));
        }
    }
    std::sort(maps_.begin(), maps_.end(),
              [](const map_index& a, const map_index& b) { return a.epoch < b.epoch; });
}

bool replica_table::apply(const upstream_report& report, time_point now, duration leaving_duration)
{
    replica_record* record = find(report.upstream);
    if (record == nullptr)
        return false;
    record->cold = report.cold;
    record->reported_queue = report.queue_length;
    const bool was_leaving = record->leaving_until > now;
    record->leaving_until = report.leaving ? now + leaving_duration : time_point{};
    bool changed = was_leaving != report.leaving;
    // A report without versions says nothing about them. An example is a refusal by a
    // dispatcher that has not reached its upstream.
    if (report.versions.empty())
        return changed;
    record->versions_known = true;
    record->versions_reported_at = now;
    const bool same =
        std::equal(report.versions.begin(), report.versions.end(), record->versions.begin(),
                   record->versions.end(),
                   [](index_version a, const held_version& b) { return a == b.version; });
    if (same)
        return changed;
    std::vector<held_version> held;
    held.reserve(report.versions.size());
    for (const index_version version : report.versions) {
        const auto old =
            std::find_if(record->versions.begin(), record->versions.end(),
                         [&](const held_version& it) { return it.version == version; });
        held.push_back({version, old == record->versions.end() ? 0 : old->epoch});
    }
    record->versions = std::move(held);
    return true;
}

replica_record* replica_table::find(const upstream_id& upstream)
{
    const auto it = by_id_.find(upstream);
    return it == by_id_.end() ? nullptr : &records_[it->second];
}

const replica_record* replica_table::find(const upstream_id& upstream) const
{
    const auto it = by_id_.find(upstream);
    return it == by_id_.end() ? nullptr : &records_[it->second];
}

std::span<const replica_table::index> replica_table::replicas_of(const shard_name& shard,
                                                                 shard_map_epoch epoch) const
{
    for (auto map = maps_.rbegin(); map != maps_.rend(); ++map) {
        if (epoch != 0 && map->epoch != epoch)
            continue;
        const auto it = map->shards.find(shard);
        if (it != map->shards.end())
            return it->second;
    }
    return {};
}

std::vector<snapshot> replica_table::complete_snapshots(time_point now) const
{
    std::vector<snapshot> complete;
    const auto held = [&](const std::vector<index>& replicas, snapshot wanted) {
        return std::any_of(replicas.begin(), replicas.end(), [&](index it) {
            return records_[it].is_usable(now) && records_[it].holds(wanted);
        });
    };
    for (const map_index& map : maps_) {
        if (map.shards.empty())
            continue;
        std::vector<index_version> candidates;
        for (const index it : map.shards.begin()->second) {
            for (const held_version& version : records_[it].versions)
                candidates.push_back(version.version);
        }
        std::sort(candidates.begin(), candidates.end());
        candidates.erase(std::unique(candidates.begin(), candidates.end()), candidates.end());
        for (const index_version version : candidates) {
            const snapshot wanted{version, map.epoch};
            if (std::all_of(map.shards.begin(), map.shards.end(),
                            [&](const auto& shard) { return held(shard.second, wanted); }))
                complete.push_back(wanted);
        }
    }
    std::sort(complete.rbegin(), complete.rend());
    return complete;
}

time_point replica_table::next_leaving_end(time_point now) const
{
    time_point next = time_point::max();
    for (const replica_record& record : records_) {
        if (record.leaving_until > now)
            next = std::min(next, record.leaving_until);
    }
    return next;
}

} // namespace ebonywick
