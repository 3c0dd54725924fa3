// Comparison of configurations and rosters, field by field.
#include "control/configdiff.h"

#include <fmt/format.h>

#include <algorithm>

namespace ebonywick {

namespace {

using difference_list = std::vector<config_difference>;

template <class Ids>
std::string join_ids(const Ids& ids)
{
    std::string out = "[";
    for (const auto& id : ids)
        out += (out.size() > 1 ? ", " : "") + id.value();
    return out + "]";
}

std::string name_of(const service_declaration& entry)
{
    return entry.name.value();
}
std::string name_of(const preset_declaration& entry)
{
    return entry.name.value();
}
std::string name_of(const shard_map& entry)
{
    return std::to_string(entry.epoch);
}
std::string name_of(const shard_declaration& entry)
{
    return entry.name.value();
}
std::string name_of(const upstream_declaration& entry)
{
    return entry.id.value();
}
std::string name_of(const roster_host& entry)
{
    return entry.id.value();
}

std::string summary(const shard_map& map)
{
    std::size_t replicas = 0;
    for (const auto& shard : map.shards)
        replicas += shard.replicas.size();
    return fmt::format("{} shards, {} replicas", map.shards.size(), replicas);
}

std::string summary(const service_declaration& service)
{
    std::string out;
    for (const auto& map : service.shard_maps)
        out += fmt::format("{}epoch {}: {}", out.empty() ? "" : "; ", map.epoch, summary(map));
    return out.empty() ? "no shard map" : out;
}

std::string summary(const shard_declaration& shard)
{
    return fmt::format("{} replicas", shard.replicas.size());
}

std::string summary(const upstream_declaration& upstream)
{
    return fmt::format("{} in {}", to_string(upstream.address), upstream.domain.value());
}

std::string summary(const preset_declaration& preset)
{
    return fmt::format("deadline_ms {}, domains_out {}", to_milliseconds(preset.deadline),
                       join_ids(preset.domains_out));
}

std::string summary(const roster_host& host)
{
    return fmt::format("{} in {}", to_string(host.http), host.domain.value());
}

void compare(const std::string& key, const std::string& before, const std::string& after,
             difference_list& out)
{
    if (before != after)
        out.push_back({key, before, after});
}

// Matches the entries of two lists by name, and compares those that differ with
// `compare_entries(key, before, after, out)`. If only the order differs, that is the
// difference.
template <class Entry, class Compare>
void compare_lists(const std::string& key, const std::vector<Entry>& before,
                   const std::vector<Entry>& after, difference_list& out, Compare compare_entries)
{
    const auto previous_size = out.size();
    const auto find = [](const std::vector<Entry>& list, const std::string& name) {
        return std::find_if(list.begin(), list.end(),
                            [&](const Entry& entry) { return name_of(entry) == name; });
    };
    for (const auto& entry : before) {
        const auto entry_key = fmt::format("{}.{}", key, name_of(entry));
        const auto match = find(after, name_of(entry));
        if (match == after.end())
            out.push_back({entry_key, summary(entry), ""});
        else if (!(*match == entry))
            compare_entries(entry_key, entry, *match, out);
    }
    for (const auto& entry : after) {
        if (find(before, name_of(entry)) == before.end())
            out.push_back({fmt::format("{}.{}", key, name_of(entry)), "", summary(entry)});
    }
    if (out.size() == previous_size && !(before == after))
        out.push_back({key, "former order", "other order"});
}

void compare_upstreams(const std::string& key, const upstream_declaration& before,
                       const upstream_declaration& after, difference_list& out)
{
    compare(key + ".address", to_string(before.address), to_string(after.address), out);
    compare(key + ".failure_domain", before.domain.value(), after.domain.value(), out);
    compare(key + ".slots", std::to_string(before.slots), std::to_string(after.slots), out);
    compare(key + ".connections", std::to_string(before.connections),
            std::to_string(after.connections), out);
    compare(key + ".cold_concurrency", std::to_string(before.cold_concurrency),
            std::to_string(after.cold_concurrency), out);
}

void compare_shards(const std::string& key, const shard_declaration& before,
                    const shard_declaration& after, difference_list& out)
{
    compare_lists(key + ".replicas", before.replicas, after.replicas, out, compare_upstreams);
}

void compare_shard_maps(const std::string& key, const shard_map& before, const shard_map& after,
                        difference_list& out)
{
    compare_lists(key + ".shards", before.shards, after.shards, out, compare_shards);
}

void compare_services(const std::string& key, const service_declaration& before,
                      const service_declaration& after, difference_list& out)
{
    const auto class_text = [](request_class value) {
        return value == request_class::batch ? "batch" : "interactive";
    };
    const auto yields_text = [](yields_first value) {
        return value == yields_first::coverage ? "coverage" : "latency";
    };
    compare(key + ".class", class_text(before.default_class), class_text(after.default_class), out);
    compare(key + ".yields_first", yields_text(before.yields), yields_text(after.yields), out);
    compare(key + ".least_coverage", fmt::format("{}", before.least_coverage),
            fmt::format("{}", after.least_coverage), out);
    compare_lists(key + ".shard_maps", before.shard_maps, after.shard_maps, out,
                  compare_shard_maps);
}

void compare_presets(const std::string& key, const preset_declaration& before,
                     const preset_declaration& after, difference_list& out)
{
    const auto ms = [](duration value) {
        return fmt::format("{}", to_milliseconds(value));
    };
    compare(key + ".deadline_ms", ms(before.deadline), ms(after.deadline), out);
    compare(key + ".hedge_budget", fmt::format("{}", before.hedge_budget),
            fmt::format("{}", after.hedge_budget), out);
    compare(key + ".interactive_limit", std::to_string(before.interactive_limit),
            std::to_string(after.interactive_limit), out);
    compare(key + ".batch_limit", std::to_string(before.batch_limit),
            std::to_string(after.batch_limit), out);
    compare(key + ".batch_queue", std::to_string(before.batch_queue),
            std::to_string(after.batch_queue), out);
    compare(key + ".target_queue_wait_ms", ms(before.target_queue_wait),
            ms(after.target_queue_wait), out);
    compare(key + ".domains_out", join_ids(before.domains_out), join_ids(after.domains_out), out);
}

void compare_hosts(const std::string& key, const roster_host& before, const roster_host& after,
                   difference_list& out)
{
    compare(key + ".failure_domain", before.domain.value(), after.domain.value(), out);
    compare(key + ".http", to_string(before.http), to_string(after.http), out);
    compare(key + ".control", to_string(before.control), to_string(after.control), out);
    compare(key + ".dispatch", to_string(before.dispatch), to_string(after.dispatch), out);
}

} // namespace

std::vector<config_difference> differences(const configuration& before, const configuration& after)
{
    difference_list out;
    compare_lists("services", before.services, after.services, out, compare_services);
    compare_lists("presets", before.presets, after.presets, out, compare_presets);
    compare("preset_in_force", before.preset_in_force.value(), after.preset_in_force.value(), out);
    return out;
}

std::vector<config_difference> differences(const roster& before, const roster& after)
{
    difference_list out;
    compare_lists("hosts", before.hosts, after.hosts, out, compare_hosts);
    compare("witnesses", join_ids(before.witnesses), join_ids(after.witnesses), out);
    compare("previous_witnesses", join_ids(before.previous_witnesses),
            join_ids(after.previous_witnesses), out);
    return out;
}

std::string to_string(const config_difference& difference)
{
    if (difference.before.empty())
        return fmt::format("+ {}: {}", difference.key, difference.after);
    if (difference.after.empty())
        return fmt::format("- {}: {}", difference.key, difference.before);
    return fmt::format("~ {}: {} -> {}", difference.key, difference.before, difference.after);
}

} // namespace ebonywick
