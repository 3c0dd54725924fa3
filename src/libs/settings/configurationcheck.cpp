// Checks the rules that relate several values of a configuration to each other.
#include "settings/configurationcheck.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <utility>

namespace ebonywick {

namespace {

class configuration_checker
{
public:
    explicit configuration_checker(const configuration& config) : config_(config) {}

    std::vector<configuration_problem> run()
    {
        if (config_.services.empty())
            add("services", "no service is declared", "at least one entry", "declare a service");
        std::set<service_name> names;
        for (std::size_t it = 0; it < config_.services.size(); ++it) {
            const auto& service = config_.services[it];
            const auto path = fmt::format("services[{}]", it);
            if (!service.name.empty() && !names.insert(service.name).second)
                add(path + ".name",
                    fmt::format("service `{}` is declared twice", service.name.value()),
                    "a unique name", "rename or remove one of the services");
            check_service(service, path);
        }
        check_presets();
        return std::move(problems_);
    }

private:
    // An upstream with the service and the shard map that declare it.
    struct declared_upstream
    {
        const upstream_declaration* upstream;
        const service_declaration* service;
        const shard_map* map;
    };

    void add(std::string key, std::string message, std::string accepted_values, std::string remedy,
             std::vector<std::string> depends_on = {})
    {
        problems_.push_back({std::move(key), std::move(message), std::move(accepted_values),
                             std::move(remedy), std::move(depends_on)});
    }

    void check_service(const service_declaration& service, const std::string& path)
    {
        if (service.shard_maps.empty())
            add(path + ".shard_maps", "no shard map is declared", "at least one entry",
                "declare a shard map");
        for (std::size_t it = 0; it < service.shard_maps.size(); ++it) {
            const auto& map = service.shard_maps[it];
            const auto element_path = fmt::format("{}.shard_maps[{}]", path, it);
            if (it > 0 && map.epoch <= service.shard_maps[it - 1].epoch)
                add(element_path + ".epoch",
                    fmt::format("epoch {} follows epoch {}", map.epoch,
                                service.shard_maps[it - 1].epoch),
                    fmt::format("above {}", service.shard_maps[it - 1].epoch),
                    "sort the shard maps by ascending epoch",
                    {fmt::format("{}.shard_maps[{}].epoch", path, it - 1)});
            check_map(service, map, element_path);
        }
    }

    void check_map(const service_declaration& service, const shard_map& map,
                   const std::string& path)
    {
        if (map.shards.empty())
            add(path + ".shards", "the shard map is empty", "at least one entry",
                "declare a shard, or remove the shard map");
        std::set<shard_name> names;
        for (std::size_t it = 0; it < map.shards.size(); ++it) {
            const auto& shard = map.shards[it];
            const auto element_path = fmt::format("{}.shards[{}]", path, it);
            if (!shard.name.empty() && !names.insert(shard.name).second)
                add(element_path + ".name",
                    fmt::format("shard `{}` is declared twice", shard.name.value()),
                    "a name that is unique in the shard map", "rename or remove one of the shards");
            if (shard.replicas.empty())
                add(element_path + ".replicas", "the shard has no replica", "at least one entry",
                    "declare a replica, or remove the shard");
            for (std::size_t n = 0; n < shard.replicas.size(); ++n)
                check_upstream({&shard.replicas[n], &service, &map},
                               fmt::format("{}.replicas[{}]", element_path, n));
        }
    }

    void check_upstream(const declared_upstream& declared, const std::string& path)
    {
        const auto& upstream = *declared.upstream;
        if (!upstream.domain.empty())
            domains_.insert(upstream.domain);
        if (upstream.cold_concurrency > upstream.slots)
            add(path + ".cold_concurrency",
                fmt::format("{} is more than the {} slots", upstream.cold_concurrency,
                            upstream.slots),
                fmt::format("1 to {}", upstream.slots), "lower cold_concurrency",
                {path + ".slots"});
        // The host opens slots + 2 links and one connection that cancels calls.
        if (upstream.connections < std::uint64_t{upstream.slots} + 3)
            add(path + ".connections",
                fmt::format("{} are too few for {} slots", upstream.connections, upstream.slots),
                fmt::format("at least {}", std::uint64_t{upstream.slots} + 3),
                "raise connections or lower slots", {path + ".slots"});
        if (!upstream.id.empty())
            check_uniqueness(declared, path);
    }

    void check_uniqueness(const declared_upstream& declared, const std::string& path)
    {
        const auto& upstream = *declared.upstream;
        const auto [first, is_new] = upstreams_.emplace(upstream.id, declared);
        if (!is_new) {
            const bool is_shared = first->second.service == declared.service &&
                                   first->second.map != declared.map &&
                                   *first->second.upstream == upstream;
            if (!is_shared)
                add(path + ".id",
                    fmt::format("searcher `{}` is declared twice", upstream.id.value()),
                    "a unique id; only shard maps of one service may share an upstream, "
                    "and must declare it identically",
                    "rename or remove one of the upstreams");
            // A further declaration in the same shard map must be reported as a duplicate.
            first->second.map = declared.map;
            return;
        }
        if (upstream.address.port == 0)
            return;
        const auto [other, is_free] = addresses_.emplace(upstream.address, upstream.id);
        if (!is_free)
            add(path + ".address",
                fmt::format("{} is also the address of searcher `{}`", to_string(upstream.address),
                            other->second.value()),
                "a unique address", "correct one of the addresses");
    }

    void check_presets()
    {
        if (config_.presets.empty())
            add("presets", "no preset is declared", "at least one entry", "declare a preset");
        std::string known;
        bool is_declared = false;
        for (const auto& preset : config_.presets) {
            known += (known.empty() ? "" : ", ") + preset.name.value();
            is_declared = is_declared || preset.name == config_.preset_in_force;
            check_domains(preset);
        }
        if (!is_declared && !config_.preset_in_force.empty())
            add("preset_in_force",
                fmt::format("preset `{}` is not declared", config_.preset_in_force.value()), known,
                "name a declared preset", {"presets"});
    }

    void check_domains(const preset_declaration& preset)
    {
        const auto path = fmt::format("presets.{}.domains_out", preset.name.value());
        std::set<failure_domain_id> seen;
        for (const auto& domain : preset.domains_out) {
            if (!seen.insert(domain).second)
                add(path, fmt::format("failure domain `{}` is listed twice", domain.value()),
                    "each failure domain once", "remove one of the entries");
            if (domains_.contains(domain))
                continue;
            std::string known;
            for (const auto& it : domains_)
                known += (known.empty() ? "" : ", ") + it.value();
            add(path, fmt::format("no upstream is in failure domain `{}`", domain.value()), known,
                "name the failure domain of a declared upstream", {"services"});
        }
    }

    const configuration& config_;
    std::vector<configuration_problem> problems_;
    // The first declaration of each upstream, with the latest shard map that declares it.
    std::map<upstream_id, declared_upstream> upstreams_;
    std::map<endpoint, upstream_id> addresses_;
    // Failure domains of all upstreams; complete before check_presets().
    std::set<failure_domain_id> domains_;
};

} // namespace

std::vector<configuration_problem> check_configuration(const configuration& config)
{
    return configuration_checker{config}.run();
}

} // namespace ebonywick
