// Tests of the capacity warnings before a failure domain is taken out.
#include "settings/capacitywarnings.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

// One shard with one replica per entry of `slots`, in the failure domains a, b, ...
configuration configuration_with_slots(const std::vector<std::uint32_t>& slots)
{
    shard_declaration shard{shard_name{"x"}, {}};
    for (const auto count : slots) {
        upstream_declaration upstream;
        upstream.domain =
            failure_domain_id{std::string(1, static_cast<char>('a' + shard.replicas.size()))};
        upstream.slots = count;
        shard.replicas.push_back(upstream);
    }
    configuration out;
    out.services = {{.name = service_name{"s"}, .shard_maps = {{1, {shard}}}}};
    out.presets.resize(1);
    return out;
}

configuration with_domains_out(configuration config, const std::vector<std::string>& domains)
{
    config.presets[0].domains_out.clear();
    for (const auto& domain : domains)
        config.presets[0].domains_out.emplace_back(domain);
    return config;
}

} // namespace

// Failure: operators learn only from refused queries that a shard lacks capacity.
Test(capacity_warnings, shards_below_half_of_their_slots_are_reported)
{
    const auto three = configuration_with_slots({2, 2, 2});
    cr_assert((capacity_warnings(three, with_domains_out(three, {"a"})).empty()));
    const auto few = capacity_warnings(three, with_domains_out(three, {"a", "b"}));
    cr_assert_eq(few.size(), 1U);
    cr_assert(few[0].usable_replicas == 1 && few[0].usable_slots == 2 &&
              few[0].required_slots == 3);
    const auto uneven = configuration_with_slots({3, 2});
    cr_assert((capacity_warnings(uneven, with_domains_out(uneven, {"b"})).empty()));
    cr_assert_eq(capacity_warnings(uneven, with_domains_out(uneven, {"a"})).size(), 1U);
    const auto none = capacity_warnings(three, with_domains_out(three, {"a", "b", "c"}));
    cr_assert(none.size() == 1 && none[0].usable_replicas == 0);
    cr_assert(to_string(none[0]).find("without a usable replica") != std::string::npos);
}

// Failure: the warnings of one change appear again at each later change.
Test(capacity_warnings, earlier_shortages_are_not_repeated)
{
    const auto out = with_domains_out(configuration_with_slots({1, 1, 1}), {"a", "b"});
    cr_assert(capacity_warnings(out, out).empty());
    cr_assert_eq(capacity_warnings({}, out).size(), 1U);
}
