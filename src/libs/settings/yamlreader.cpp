// Reads node settings, gateway settings and declarations.
#include "settings/yamlreader.h"

#include "settings/configurationcheck.h"
#include "settings/yamlsection.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace ebonywick {

namespace {

duration milliseconds_to_duration(double ms)
{
    return duration{std::llround(ms * 1e6)};
}

upstream_declaration read_replica(const YAML::Node& node, const std::string& path,
                                  problem_list& problems)
{
    yaml_section section{node, declaration_setting_table(), "replica", path, problems};
    upstream_declaration out;
    out.id = upstream_id{section.name("id")};
    out.address = section.address("address");
    out.domain = failure_domain_id{section.name("failure_domain")};
    out.slots = static_cast<std::uint32_t>(section.integer("slots"));
    out.connections = static_cast<std::uint32_t>(section.integer("connections"));
    out.cold_concurrency = static_cast<std::uint32_t>(section.integer("cold_concurrency"));
    return out;
}

shard_declaration read_shard(const YAML::Node& node, const std::string& path,
                             problem_list& problems)
{
    yaml_section section{node, declaration_setting_table(), "shard", path, problems};
    shard_declaration out;
    out.name = shard_name{section.name("name")};
    for (const auto& entry : section.entries("replicas")) {
        const auto entry_path = fmt::format("{}.replicas[{}]", path, out.replicas.size());
        out.replicas.push_back(read_replica(entry, entry_path, problems));
    }
    return out;
}

shard_map read_shard_map(const YAML::Node& node, const std::string& path, problem_list& problems)
{
    yaml_section section{node, declaration_setting_table(), "shard_map", path, problems};
    shard_map out;
    out.epoch = section.integer("epoch");
    for (const auto& entry : section.entries("shards")) {
        const auto entry_path = fmt::format("{}.shards[{}]", path, out.shards.size());
        out.shards.push_back(read_shard(entry, entry_path, problems));
    }
    return out;
}

service_declaration read_service(const YAML::Node& node, const std::string& path,
                                 problem_list& problems)
{
    yaml_section section{node, declaration_setting_table(), "service", path, problems};
    service_declaration out;
    out.name = service_name{section.name("name")};
    out.default_class = static_cast<request_class>(section.choice("class"));
    out.yields = static_cast<yields_first>(section.choice("yields_first"));
    out.least_coverage = section.number("least_coverage");
    for (const auto& entry : section.entries("shard_maps")) {
        const auto entry_path = fmt::format("{}.shard_maps[{}]", path, out.shard_maps.size());
        out.shard_maps.push_back(read_shard_map(entry, entry_path, problems));
    }
    return out;
}

preset_declaration read_preset(const std::string& name, const YAML::Node& node,
                               problem_list& problems)
{
    yaml_section section{node, declaration_setting_table(), "preset", "presets." + name, problems};
    preset_declaration out;
    out.name = preset_name{name};
    out.deadline = milliseconds_to_duration(section.number("deadline_ms"));
    out.hedge_budget = section.number("hedge_budget");
    out.interactive_limit = static_cast<std::uint32_t>(section.integer("interactive_limit"));
    out.batch_limit = static_cast<std::uint32_t>(section.integer("batch_limit"));
    out.batch_queue = static_cast<std::uint32_t>(section.integer("batch_queue"));
    out.target_queue_wait = milliseconds_to_duration(section.number("target_queue_wait_ms"));
    for (auto& domain : section.names("domains_out"))
        out.domains_out.emplace_back(std::move(domain));
    return out;
}

// Reports the problems that check_configuration() finds, except those that depend on a value
// that could not be read.
void add_configuration_problems(const configuration& config, problem_list& problems)
{
    for (const auto& problem : check_configuration(config)) {
        const bool is_unread =
            problems.has_problem(problem.key) ||
            std::any_of(problem.depends_on.begin(), problem.depends_on.end(),
                        [&](const auto& key) { return problems.has_problem(key); });
        if (!is_unread)
            problems.add(problems.line_of(problem.key), problem.key, problem.message,
                         problem.accepted_values, problem.remedy);
    }
}

// Reports each address that equals an earlier one.
void check_addresses_differ(const node_settings& settings, problem_list& problems)
{
    const std::pair<const char*, const endpoint*> addresses[] = {
        {"http", &settings.self.http},
        {"control", &settings.self.control},
        {"dispatch", &settings.self.dispatch},
        {"store", &settings.store}};
    for (std::size_t it = 1; it < std::size(addresses); ++it) {
        const auto& [key, address] = addresses[it];
        if (address->port == 0)
            continue;
        for (std::size_t earlier = 0; earlier < it; ++earlier) {
            if (*addresses[earlier].second == *address)
                problems.add(problems.line_of(key), key,
                             fmt::format("{} is also the address of `{}`", to_string(*address),
                                         addresses[earlier].first),
                             "a unique address", "choose another port");
        }
    }
}

} // namespace

std::string to_string(const setting_problem& problem)
{
    return fmt::format("{}:{}: {}{}{} (accepted: {}); {}", problem.file, problem.line, problem.key,
                       problem.key.empty() ? "" : ": ", problem.message, problem.accepted_values,
                       problem.remedy);
}

std::variant<node_settings, std::vector<setting_problem>>
read_node_settings(const std::string& text, const std::string& file)
{
    problem_list problems{file};
    const auto root = parse_yaml(text, problems);
    if (!root)
        return problems.sorted();
    yaml_section section{*root, node_setting_table(), "", "", problems};
    node_settings out;
    out.self.id = host_id{section.name("host")};
    out.self.domain = failure_domain_id{section.name("failure_domain")};
    out.self.http = section.address("http");
    out.self.control = section.address("control");
    out.self.dispatch = section.address("dispatch");
    out.store = section.address("store");
    out.seeds = section.addresses("seeds");
    out.caller_connections = static_cast<std::uint32_t>(section.integer("caller_connections"));
    out.worker_threads = static_cast<std::uint32_t>(section.integer("worker_threads"));
    out.log_level = static_cast<log_threshold>(section.choice("log_level"));
    check_addresses_differ(out, problems);
    if (!problems.empty())
        return problems.sorted();
    return out;
}

std::variant<gateway_settings, std::vector<setting_problem>>
read_gateway_settings(const std::string& text, const std::string& file)
{
    problem_list problems{file};
    const auto root = parse_yaml(text, problems);
    if (!root)
        return problems.sorted();
    yaml_section section{*root, gateway_setting_table(), "", "", problems};
    gateway_settings out;
    out.host = host_id{section.name("host")};
    out.domain = failure_domain_id{section.name("failure_domain")};
    out.callers = section.address("callers");
    out.readiness = section.address("readiness");
    out.directory = section.address("directory");
    out.heartbeats = section.address("heartbeats");
    out.control = section.address("control");
    out.metrics = section.address("metrics");
    out.store = section.address("store");
    out.seeds = section.addresses("seeds");
    out.processor_share = section.number("processor_share");
    out.memory_bytes = static_cast<std::uint64_t>(section.integer("memory_mb")) << 20U;
    out.held_bytes_ratio = section.number("held_bytes_ratio");
    out.max_descriptors = static_cast<std::uint32_t>(section.integer("max_descriptors"));
    out.caller_descriptor_ratio = section.number("caller_descriptor_ratio");
    out.grace = milliseconds_to_duration(section.number("grace_s") * 1000);
    out.extra_call_ratio = section.number("extra_call_ratio");
    out.extra_call_window = milliseconds_to_duration(section.number("extra_call_window_s") * 1000);
    out.extra_call_slack = section.number("extra_call_slack");
    out.stale_keys = static_cast<stale_key_policy>(section.choice("stale_keys"));
    out.key_max_age = milliseconds_to_duration(section.number("key_max_age_ms"));
    out.quota_window = milliseconds_to_duration(section.number("quota_window_s") * 1000);
    out.quota_overage = section.number("quota_overage");
    out.quota_slack = section.number("quota_slack");
    out.exposure_share = section.number("exposure_share");
    out.exposure_slack = section.number("exposure_slack");
    out.rollback = milliseconds_to_duration(section.number("rollback_ms"));
    out.log_level = static_cast<log_threshold>(section.choice("log_level"));
    if (!problems.empty())
        return problems.sorted();
    return out;
}

std::variant<configuration, std::vector<setting_problem>> read_declaration(const std::string& text,
                                                                           const std::string& file)
{
    problem_list problems{file};
    const auto root = parse_yaml(text, problems);
    if (!root)
        return problems.sorted();
    yaml_section section{*root, declaration_setting_table(), "", "", problems};
    configuration out;
    for (const auto& entry : section.entries("services")) {
        const auto entry_path = fmt::format("services[{}]", out.services.size());
        out.services.push_back(read_service(entry, entry_path, problems));
    }
    for (const auto& [name, node] : section.named_entries("presets"))
        out.presets.push_back(read_preset(name, node, problems));
    out.preset_in_force = preset_name{section.name("preset_in_force")};
    add_configuration_problems(out, problems);
    if (!problems.empty())
        return problems.sorted();
    return out;
}

} // namespace ebonywick
