// Computes which shards a change of the configuration leaves with too little capacity.
#include "settings/capacitywarnings.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace ebonywick {

namespace {

std::vector<capacity_warning> find_shortages(const configuration& config)
{
    std::vector<capacity_warning> shortages;
    for (const auto& service : config.services) {
        for (const auto& map : service.shard_maps) {
            for (const auto& shard : map.shards) {
                capacity_warning shortage{service.name, map.epoch, shard.name};
                std::uint64_t declared = 0;
                for (const auto& upstream : shard.replicas) {
                    declared += upstream.slots;
                    if (config.is_domain_out(upstream.domain))
                        continue;
                    ++shortage.usable_replicas;
                    shortage.usable_slots += upstream.slots;
                }
                shortage.required_slots = static_cast<std::uint64_t>(
                    std::ceil(static_cast<double>(declared) * required_slot_ratio));
                if (shortage.usable_replicas == 0 ||
                    shortage.usable_slots < shortage.required_slots)
                    shortages.push_back(std::move(shortage));
            }
        }
    }
    return shortages;
}

} // namespace

std::vector<capacity_warning> capacity_warnings(const configuration& before,
                                                const configuration& after)
{
    const auto earlier = find_shortages(before);
    auto out = find_shortages(after);
    std::erase_if(out, [&](const auto& warning) {
        return std::find(earlier.begin(), earlier.end(), warning) != earlier.end();
    });
    return out;
}

std::string to_string(const capacity_warning& warning)
{
    const auto shard = fmt::format("shard `{}` of service `{}` (epoch {})", warning.shard.value(),
                                   warning.service.value(), warning.epoch);
    if (warning.usable_replicas == 0)
        return fmt::format("{} is left without a usable replica: queries will not cover it", shard);
    return fmt::format("{} keeps {} usable replicas with {} slots, {} are required: expect refused "
                       "calls at peak load",
                       shard, warning.usable_replicas, warning.usable_slots,
                       warning.required_slots);
}

} // namespace ebonywick
