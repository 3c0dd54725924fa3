// Checks the differences that operators see before a change and in a conflict.
#include "control/configdiff.h"

#include "../settings/configurationgenerator.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

std::string lines(const configuration& before, const configuration& after)
{
    std::string out;
    for (const auto& difference : differences(before, after))
        out += to_string(difference) + "\n";
    return out;
}

} // namespace

// Failure: a change is not shown to the operator, or one is shown that does not exist.
Test(config_diff, is_empty_only_for_equal_configurations)
{
    fix_seed();
    cr_assert(rc::check("empty iff equal", [] {
        const auto before = arbitrary_configuration();
        auto after = before;
        RC_ASSERT(differences(before, after).empty());
        auto& service = after.services.back();
        auto& shard = service.shard_maps.back().shards.back();
        auto& upstream = shard.replicas.back();
        auto& preset = after.presets.back();
        const auto edit = *rc::gen::inRange(0, 17);
        switch (edit) {
        case 0:
            upstream.slots += 1;
            break;
        case 1:
            upstream.connections += 1;
            break;
        case 2:
            upstream.cold_concurrency += 1;
            break;
        case 3:
            upstream.domain = failure_domain_id{"new"};
            break;
        case 4:
            upstream.address.ip = "10.9.9.9";
            break;
        case 5:
            shard.replicas.pop_back();
            break;
        case 6:
            shard.name = shard_name{"new"};
            break;
        case 7:
            service.least_coverage += 1e-15;
            break;
        case 8:
            service.yields = static_cast<yields_first>(1 - static_cast<int>(service.yields));
            break;
        case 9:
            service.default_class =
                static_cast<request_class>(1 - static_cast<int>(service.default_class));
            break;
        case 10:
            preset.deadline += duration{1};
            break;
        case 11:
            preset.target_queue_wait += duration{1};
            break;
        case 12:
            preset.hedge_budget += 1e-15;
            break;
        case 13:
            preset.batch_limit += preset.batch_queue += preset.interactive_limit += 1;
            break;
        case 14:
            preset.domains_out.emplace_back("new");
            break;
        case 15:
            std::swap(after.presets[0], after.presets[1]);
            break;
        default:
            after.preset_in_force = preset_name{"new"};
            break;
        }
        RC_ASSERT(!differences(before, after).empty());
        RC_ASSERT(!differences(after, before).empty());
    }));
}

// Failure: a difference shows the position in a list instead of the upstream's name.
Test(config_diff, keys_contain_the_names_of_entries)
{
    configuration before;
    const upstream_declaration upstream{upstream_id{"k"}, {"10.0.0.1", 1}, failure_domain_id{"a"}};
    before.services = {
        {.name = service_name{"s"}, .shard_maps = {{3, {{shard_name{"x"}, {upstream}}}}}}};
    auto after = before;
    after.services[0].shard_maps[0].shards[0].replicas[0].slots = 4;
    after.services.push_back({.name = service_name{"t"}, .shard_maps = {}});
    after.preset_in_force = preset_name{"peak"};
    cr_assert(lines(before, after) ==
              "~ services.s.shard_maps.3.shards.x.replicas.k.slots: 1 -> 4\n"
              "+ services.t: no shard map\n"
              "+ preset_in_force: peak\n");
}

// Failure: the replacement of a witness is not shown.
Test(config_diff, rosters_are_compared)
{
    const roster_host host{host_id{"h"}, failure_domain_id{"a"}, {"10.0.0.1", 1}, {}, {}};
    roster before{{host}, {host.id}, {}};
    auto after = before;
    after.hosts[0].http.port = 2;
    after.witnesses = {host_id{"g"}};
    const auto found = differences(before, after);
    cr_assert_eq(found.size(), 2U);
    cr_assert(to_string(found[0]) == "~ hosts.h.http: 10.0.0.1:1 -> 10.0.0.1:2");
    cr_assert(to_string(found[1]) == "~ witnesses: [h] -> [g]");
}
