// Parses the status replies of hosts and evaluates them for the operator.
#include "operatorclient/hoststatus.h"

#include "jsontext/jsontext.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <stdexcept>
#include <tuple>

namespace ebonywick {

namespace {

using json = nlohmann::json;

constexpr std::size_t max_witnesses = 5;

// Empty if the key is missing or its value is not a string.
std::string read_text(const json& node, const char* key)
{
    const auto it = node.find(key);
    return it != node.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

// 0 if the key is missing or its value is not an unsigned integer.
object_version read_version(const json& node, const char* key)
{
    const auto it = node.find(key);
    return it != node.end() && it->is_number_unsigned() ? it->get<object_version>() : 0;
}

} // namespace

std::optional<host_report> parse_status(const std::string& text)
{
    json node;
    try {
        node = parse_json(text);
    } catch (const std::invalid_argument&) {
        return std::nullopt;
    }
    if (!node.is_object() || read_text(node, "host").empty())
        return std::nullopt;
    host_report out;
    out.id = host_id{read_text(node, "host")};
    if (const auto it = node.find("incarnation"); it != node.end())
        out.incarnation = it->is_string() ? it->get<std::string>() : it->dump();
    out.status = read_text(node, "status");
    const auto current = node.find("current");
    out.is_current = current != node.end() && *current == true;
    out.config_version = read_version(node, "config_version");
    out.roster_version = read_version(node, "roster_version");
    out.preset = read_text(node, "preset");
    if (const auto held = node.find("held"); held != node.end() && held->is_array())
        out.held = held->size();
    out.domain = failure_domain_id{read_text(node, "domain")};
    return out;
}

bool all_have_version(const std::vector<polled_host>& hosts, object_version version)
{
    std::size_t reports = 0;
    for (const auto& host : hosts) {
        if (!host.report)
            continue;
        ++reports;
        if (host.report->config_version < version)
            return false;
    }
    return reports > 0;
}

object_version newest_config_version(const std::vector<polled_host>& hosts)
{
    object_version out = 0;
    for (const polled_host& it : hosts) {
        if (it.report)
            out = std::max(out, it.report->config_version);
    }
    return out;
}

std::string status_table(const std::vector<polled_host>& hosts)
{
    constexpr const char* row = "{:<20} {:<21} {:<12} {:<9} {:<8} {:>8} {:>8} {:<14} {:>5}\n";
    std::string out = fmt::format(fmt::runtime(row), "HOST", "HTTP", "DOMAIN", "STATUS", "CURRENT",
                                  "CONFIG", "ROSTER", "PRESET", "HELD");
    for (const auto& host : hosts) {
        const auto address = to_string(host.http);
        if (!host.report) {
            out += fmt::format(fmt::runtime(row), host.id.value(), address, "-", "no reply", "-",
                               "-", "-", "-", "-");
            continue;
        }
        const auto& report = *host.report;
        out += fmt::format(fmt::runtime(row), report.id.value(), address, report.domain.value(),
                           report.status, report.is_current ? "yes" : "no", report.config_version,
                           report.roster_version, report.preset, report.held);
    }
    return out;
}

std::vector<host_id> choose_witnesses(const std::vector<polled_host>& hosts)
{
    std::vector<const host_report*> usable;
    for (const auto& host : hosts) {
        if (host.report && (host.report->status == "serving" || host.report->status == "joining"))
            usable.push_back(&*host.report);
    }
    std::sort(usable.begin(), usable.end(), [](const auto* one, const auto* two) {
        return std::tuple{one->status == "joining", one->id} <
               std::tuple{two->status == "joining", two->id};
    });
    auto count = std::min(max_witnesses, usable.size());
    if (count > 0 && count % 2 == 0)
        --count;
    std::vector<host_id> out;
    std::map<failure_domain_id, std::size_t> witnesses_in_domain;
    while (out.size() < count) {
        const auto next =
            std::min_element(usable.begin(), usable.end(), [&](const auto* one, const auto* two) {
                return witnesses_in_domain[one->domain] < witnesses_in_domain[two->domain];
            });
        ++witnesses_in_domain[(*next)->domain];
        out.push_back((*next)->id);
        usable.erase(next);
    }
    std::sort(out.begin(), out.end());
    return out;
}

} // namespace ebonywick
