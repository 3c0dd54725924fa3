// Generates random valid configurations for property tests.
#pragma once

#include "settings/declaration.h"

#include <rapidcheck.h>

#include <cstdlib>
#include <string>

namespace ebonywick {

/// Sets rapidcheck's seed, so that each run checks the same cases. Must be called before the
/// first property of a test is checked.
inline void fix_seed()
{
    setenv("RC_PARAMS", "seed=20261204 max_success=100", 1);
}

inline upstream_declaration arbitrary_upstream(std::uint32_t number)
{
    upstream_declaration out;
    out.id = upstream_id{"searcher-" + std::to_string(number)};
    out.address = {"10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1),
                   *rc::gen::inRange<std::uint16_t>(1, 65535)};
    out.domain = failure_domain_id{"domain-" + std::to_string(*rc::gen::inRange(0, 4))};
    out.slots = *rc::gen::inRange<std::uint32_t>(1, 1025);
    out.connections = out.slots + 3 + *rc::gen::inRange<std::uint32_t>(0, 1000);
    out.cold_concurrency = *rc::gen::inRange<std::uint32_t>(1, out.slots + 1);
    return out;
}

/// `upstreams` counts the upstreams generated so far, which makes their ids unique.
inline service_declaration arbitrary_service(std::uint32_t number, std::uint32_t& upstreams)
{
    service_declaration out;
    out.name = service_name{std::to_string(number)};
    out.default_class = *rc::gen::element(request_class::interactive, request_class::batch);
    out.yields = *rc::gen::element(yields_first::latency, yields_first::coverage);
    out.least_coverage = *rc::gen::inRange(0, 100001) / 100000.0;
    shard_map_epoch epoch = 0;
    for (int maps = *rc::gen::inRange(1, 3); maps > 0; --maps) {
        epoch += *rc::gen::inRange<shard_map_epoch>(1, 1ULL << 51U);
        shard_map map{epoch, {}};
        for (int shard = *rc::gen::inRange(1, 4); shard > 0; --shard) {
            map.shards.push_back({shard_name{"shard-" + std::to_string(shard)}, {}});
            for (int replica = *rc::gen::inRange(1, 4); replica > 0; --replica)
                map.shards.back().replicas.push_back(arbitrary_upstream(++upstreams));
        }
        out.shard_maps.push_back(std::move(map));
    }
    return out;
}

inline preset_declaration arbitrary_preset(std::string name, const configuration& config)
{
    preset_declaration out;
    out.name = preset_name{std::move(name)};
    out.deadline = duration{*rc::gen::inRange<std::int64_t>(1'000'000, 600'000'000'001)};
    out.hedge_budget = *rc::gen::inRange(0, 1'000'001) / 1'000'000.0;
    out.interactive_limit = *rc::gen::inRange<std::uint32_t>(1, 100001);
    out.batch_limit = *rc::gen::inRange<std::uint32_t>(1, 100001);
    out.batch_queue = *rc::gen::inRange<std::uint32_t>(0, 1000001);
    out.target_queue_wait = duration{*rc::gen::inRange<std::int64_t>(1000, 10'000'000'001)};
    if (*rc::gen::arbitrary<bool>())
        out.domains_out = {config.services[0].shard_maps[0].shards[0].replicas[0].domain};
    return out;
}

/// A configuration that check_configuration() accepts.
inline configuration arbitrary_configuration()
{
    configuration out;
    std::uint32_t upstreams = 0;
    for (int service = *rc::gen::inRange(1, 4); service > 0; --service)
        out.services.push_back(arbitrary_service(static_cast<std::uint32_t>(service), upstreams));
    for (const char* name : {"ordinary", "null", "1.0"})
        out.presets.push_back(arbitrary_preset(name, out));
    out.preset_in_force = out.presets[*rc::gen::inRange<std::size_t>(0, 3)].name;
    return out;
}

} // namespace ebonywick
