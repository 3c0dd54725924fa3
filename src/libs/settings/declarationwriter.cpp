// Writes a configuration as declaration YAML.
#include "settings/yamlreader.h"

#include <fmt/format.h>

namespace ebonywick {

namespace {

// A double-quoted YAML scalar, so that names such as `null` or `1` are read as text.
std::string quoted(const std::string& text)
{
    std::string out = "\"";
    for (const char ch : text) {
        if (ch == '"' || ch == '\\')
            out += '\\';
        if (ch >= ' ')
            out += ch;
        else
            out += fmt::format("\\x{:02x}", static_cast<unsigned char>(ch));
    }
    return out + "\"";
}

// The duration in milliseconds with all decimal places, so that it is read back exactly.
std::string milliseconds_text(duration value)
{
    const auto ns = value.count();
    std::string out = fmt::format("{}.{:06}", ns / 1000000, ns % 1000000);
    out.erase(out.find_last_not_of('0') + 1);
    if (out.back() == '.')
        out.pop_back();
    return out;
}

std::string to_yaml(const upstream_declaration& upstream)
{
    return fmt::format("              - {{id: {}, address: {}, failure_domain: {}, slots: {}, "
                       "connections: {}, cold_concurrency: {}}}\n",
                       quoted(upstream.id.value()), quoted(to_string(upstream.address)),
                       quoted(upstream.domain.value()), upstream.slots, upstream.connections,
                       upstream.cold_concurrency);
}

std::string to_yaml(const service_declaration& service)
{
    std::string out = fmt::format(
        "  - name: {}\n    class: {}\n    yields_first: {}\n    least_coverage: {}\n"
        "    shard_maps:\n",
        quoted(service.name.value()),
        service.default_class == request_class::batch ? "batch" : "interactive",
        service.yields == yields_first::coverage ? "coverage" : "latency", service.least_coverage);
    for (const auto& map : service.shard_maps) {
        out += fmt::format("      - epoch: {}\n        shards:\n", map.epoch);
        for (const auto& shard : map.shards) {
            out += fmt::format("          - name: {}\n            replicas:\n",
                               quoted(shard.name.value()));
            for (const auto& upstream : shard.replicas)
                out += to_yaml(upstream);
        }
    }
    return out;
}

std::string to_yaml(const preset_declaration& preset)
{
    std::string domains;
    for (const auto& domain : preset.domains_out)
        domains += (domains.empty() ? "" : ", ") + quoted(domain.value());
    return fmt::format("  {}:\n    deadline_ms: {}\n    hedge_budget: {}\n"
                       "    interactive_limit: {}\n    batch_limit: {}\n    batch_queue: {}\n"
                       "    target_queue_wait_ms: {}\n    domains_out: [{}]\n",
                       quoted(preset.name.value()), milliseconds_text(preset.deadline),
                       preset.hedge_budget, preset.interactive_limit, preset.batch_limit,
                       preset.batch_queue, milliseconds_text(preset.target_queue_wait), domains);
}

} // namespace

std::string write_declaration(const configuration& config)
{
    std::string out = "services:\n";
    for (const auto& service : config.services)
        out += to_yaml(service);
    out += "presets:\n";
    for (const auto& preset : config.presets)
        out += to_yaml(preset);
    return out + fmt::format("preset_in_force: {}\n", quoted(config.preset_in_force.value()));
}

} // namespace ebonywick
