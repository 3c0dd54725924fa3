// Tests of the YAML readers of node settings and declarations.
#include "settings/yamlreader.h"

#include "configurationgenerator.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <random>

using namespace ebonywick;

namespace {

const std::string node_text = "host: h1\nfailure_domain: a\nhttp: 127.0.0.1:1\n"
                              "control: 127.0.0.1:2\ndispatch: 127.0.0.1:3\nstore: 127.0.0.1:4\n";

// A declaration with one service. Each of `upstreams` is the YAML flow mapping of the only
// replica of a shard; `more` is inserted after the preset `ordinary`.
std::string declaration(const std::vector<std::string>& upstreams, const std::string& more = {})
{
    std::string out = "services:\n- name: s\n  shard_maps:\n  - shards:\n";
    for (std::size_t it = 0; it < upstreams.size(); ++it)
        out += fmt::format("    - name: p{}\n      replicas:\n      - {}\n", it, upstreams[it]);
    return out + "presets:\n  ordinary: {}\n" + more + "preset_in_force: ordinary\n";
}

const std::string replica_k1 = "{id: k1, address: 127.0.0.1:5, failure_domain: a}";

std::vector<setting_problem> problems_of(const std::string& text)
{
    const auto read = read_declaration(text, "f");
    const auto* problems = std::get_if<1>(&read);
    return problems == nullptr ? std::vector<setting_problem>{} : *problems;
}

// The problem as `LINE KEY` if there is exactly one, otherwise the number of problems.
std::string only_problem(const std::string& text)
{
    const auto problems = problems_of(text);
    if (problems.size() != 1)
        return fmt::format("{} problems", problems.size());
    return fmt::format("{} {}", problems[0].line, problems[0].key);
}

} // namespace

// Failure: a default in the setting table differs from the one in the header.
Test(yaml_reader, defaults_equal_the_member_initializers)
{
    const auto read = read_node_settings(node_text, "f");
    cr_assert_eq(read.index(), 0U);
    const node_settings expected_node;
    const auto& node = std::get<0>(read);
    cr_assert_eq(node.caller_connections, expected_node.caller_connections);
    cr_assert_eq(node.worker_threads, expected_node.worker_threads);
    cr_assert(node.log_level == expected_node.log_level && node.seeds == expected_node.seeds);

    const auto text = declaration({replica_k1});
    const auto declared = read_declaration(text, "f");
    cr_assert_eq(declared.index(), 0U);
    const auto& config = std::get<0>(declared);
    const auto& map = config.services[0].shard_maps[0];
    const auto expected = service_declaration{.name = service_name{"s"}, .shard_maps = {map}};
    cr_assert(config.services[0] == expected);
    cr_assert_eq(map.epoch, shard_map{}.epoch);
    const auto upstream = upstream_declaration{
        .id = upstream_id{"k1"}, .address = {"127.0.0.1", 5}, .domain = failure_domain_id{"a"}};
    cr_assert(map.shards[0].replicas[0] == upstream);
    preset_declaration preset;
    preset.name = preset_name{"ordinary"};
    cr_assert(config.active_preset() == preset);
}

// Failure: an operator must run the check again after each corrected problem.
Test(yaml_reader, all_problems_are_reported_with_their_lines)
{
    const auto read = read_node_settings("host: -h\nhttp: localhost:80\nhttp: 127.0.0.1:1\n"
                                         "worker_threads: 65\ncolour: red\n"
                                         "control: 127.0.0.1:2\ndispatch: 127.0.0.1:2\n"
                                         "store: 0.0.0.0:4\nlog_level: loud\nseeds: [x]\n",
                                         "node.yaml");
    cr_assert_eq(read.index(), 1U);
    std::string seen;
    for (const auto& problem : std::get<1>(read)) {
        seen += fmt::format("{} {};", problem.line, problem.key);
        cr_assert(problem.file == "node.yaml" && !problem.accepted_values.empty() &&
                  !problem.remedy.empty());
    }
    cr_assert_str_eq(seen.c_str(), "1 failure_domain;1 host;2 http;3 http;4 worker_threads;"
                                   "5 colour;7 dispatch;8 store;9 log_level;10 seeds;");
}

// Failure: a declaration that breaks a rule of check_configuration() is accepted.
Test(yaml_reader, rules_of_check_configuration_are_applied)
{
    const std::string shards = "services[0].shard_maps[0].shards";
    const auto replica = [&](int shard, const char* key) {
        return fmt::format("{} {}[{}].replicas[0].{}", 7 + 3 * shard, shards, shard, key);
    };
    cr_expect_eq(problems_of(declaration({replica_k1})).size(), 0U);
    cr_expect_eq(only_problem(declaration(
                     {replica_k1, "{id: k1, address: 127.0.0.1:6, failure_domain: a}"})),
                 replica(1, "id"));
    cr_expect_eq(only_problem(declaration(
                     {replica_k1, "{id: k2, address: 127.0.0.1:5, failure_domain: a}"})),
                 replica(1, "address"));
    const std::string start = "{id: k1, address: 127.0.0.1:5, failure_domain: a, ";
    cr_expect_eq(only_problem(declaration({start + "slots: 2, cold_concurrency: 3}"})),
                 replica(0, "cold_concurrency"));
    cr_expect_eq(only_problem(declaration({start + "slots: 2, connections: 4}"})),
                 replica(0, "connections"));
    cr_expect_eq(problems_of(declaration({start + "slots: 2, connections: 5}"})).size(), 0U);
    cr_expect_eq(only_problem(declaration({replica_k1}, "  peak: {domains_out: [b]}\n")),
                 "10 presets.peak.domains_out");
    cr_expect_eq(only_problem(declaration({replica_k1}, "  ordinary: {}\n")),
                 "10 presets.ordinary");
    auto text = declaration({replica_k1});
    cr_expect_eq(only_problem(text.replace(text.rfind("ordinary"), 8, "peak")),
                 "10 preset_in_force");
    cr_expect_eq(only_problem(declaration({})), "4 services[0].shard_maps[0].shards");
    cr_expect_eq(only_problem("services: []\npresets: {p: {}}\npreset_in_force: p\n"),
                 "1 services");
    cr_expect_eq(only_problem("services: [{name: s, shard_maps: [{epoch: 2, shards: [{name: p, "
                              "replicas: [" +
                              replica_k1 +
                              "]}]},\n {epoch: 2, shards: [{name: p, "
                              "replicas: [" +
                              replica_k1 +
                              "]}]}]}]\npresets: {p: {}}\n"
                              "preset_in_force: p\n"),
                 "2 services[0].shard_maps[1].epoch");
}

// Failure: an unreadable value causes further, misleading problems in dependent rules.
Test(yaml_reader, unreadable_values_are_not_compared)
{
    cr_assert_eq(only_problem(declaration({"{id: k1, address: 127.0.0.1:5, failure_domain: a, "
                                           "slots: many, cold_concurrency: 3}"})),
                 "7 services[0].shard_maps[0].shards[0].replicas[0].slots");
}

// Failure: nested aliases expand a short text until the process runs out of memory.
Test(yaml_reader, aliases_cannot_expand_without_bound)
{
    std::string text = "x: &r [" + replica_k1;
    for (int it = 0; it < 999; ++it)
        text += ", " + replica_k1;
    text += "]\ny: &s [";
    for (int it = 0; it < 1000; ++it)
        text += "{name: p, replicas: *r}, ";
    text += "]\nservices: [{name: s, shard_maps: [{shards: *s}, {shards: *s}]}]\n";
    const auto problems = problems_of(text);
    cr_assert(std::any_of(problems.begin(), problems.end(), [](const auto& problem) {
        return problem.message.find("200000 values") != std::string::npos;
    }));
}

// Failure: a declaration changes when it is written and read again.
Test(yaml_reader, written_declarations_read_back_equal)
{
    fix_seed();
    cr_assert(rc::check("round trip", [] {
        const auto config = arbitrary_configuration();
        const auto read = read_declaration(write_declaration(config), "f");
        RC_ASSERT(read.index() == 0U);
        RC_ASSERT(std::get<0>(read) == config);
    }));
}

// Failure: a malformed file crashes the tool or the node, or makes it hang.
Test(yaml_reader, mutated_and_arbitrary_text_never_crashes, .timeout = 60)
{
    // yaml-cpp's LoadAll() does not return for this text.
    cr_assert_eq(read_declaration(",#@:", "f").index(), 1U);
    std::mt19937 engine{7};
    const std::string base =
        declaration({replica_k1, "{id: k2, address: 127.0.0.1:6}"}, "  p: {}\n");
    const std::string alphabet = "{}[]:,-&*!|>'\"%@`#?\n \t~<0az.\\\x01\xc3";
    int rejected = 0;
    for (int round = 0; round < 3000; ++round) {
        std::string text = round % 3 == 0 ? std::string{} : (round % 3 == 1 ? base : node_text);
        const auto edits = 1 + engine() % 12;
        for (std::size_t it = 0; it < edits + (text.empty() ? 40U : 0U); ++it) {
            const auto at = engine() % (text.size() + 1);
            if (engine() % 3 == 0 && at < text.size())
                text.erase(at, 1 + engine() % 9);
            else
                text.insert(at, 1, alphabet[engine() % alphabet.size()]);
        }
        rejected += read_declaration(text, "f").index() == 1U ? 1 : 0;
        rejected += read_node_settings(text, "f").index() == 1U ? 1 : 0;
    }
    // No text is valid as both kinds of file, so each is refused at least once.
    cr_assert_geq(rejected, 3000);
    cr_assert_eq(read_declaration(std::string(20000, '['), "f").index(), 1U);
    cr_assert_eq(read_declaration(std::string(5U << 20U, ' '), "f").index(), 1U);
}
