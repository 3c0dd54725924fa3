// What hosts report about themselves, and what follows from it for the operator.
#include "operatorclient/hoststatus.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <tuple>

namespace ebonywick {

namespace {

using json = nlohmann::json;

constexpr std::size_t most_witnesses = 5;

std::string text_of(const json& node, const char* key)
{
    const auto it = node.find(key);
    return it != node.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

object_version version_of(const json& node, const char* key)
{
    const auto it = node.find(key);
    return it != node.end() && it->is_number_unsigned() ? it->get<object_version>() : 0;
}

} // namespace

std::optional<host_report> parse_status(const std::string& text)
{
    const auto node = json::parse(text, nullptr, false);
    if (!node.is_object() || text_of(node, "host").empty())
        return std::nullopt;
    host_report out;
    out.id = host_id{text_of(node, "host")};
    if (const auto it = node.find("incarnation"); it != node.end())
        out.incarnation = it->is_string() ? it->get<std::string>() : it->dump();
    out.status = text_of(node, "status");
    const auto current = node.find("current");
    out.is_current = current != node.end() && *current == true;
    out.config_version = version_of(node, "config_version");
    out.roster_version = version_of(node, "roster_version");
    out.preset = text_of(node, "preset");
    if (const auto held = node.find("held"); held != node.end() && held->is_array())
        out.held = held->size();
    out.domain = failure_domain_id{text_of(node, "domain")};
    return out;
}

bool have_version(const std::vector<asked_host>& hosts, object_version version)
{
    std::size_t answers = 0;
    for (const auto& host : hosts) {
        if (!host.report)
            continue;
        ++answers;
        if (host.report->config_version < version)
            return false;
    }
    return answers > 0;
}

std::string status_table(const std::vector<asked_host>& hosts)
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

std::vector<host_id> choose_witnesses(const std::vector<asked_host>& hosts)
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
    auto wanted = std::min(most_witnesses, usable.size());
    if (wanted > 0 && wanted % 2 == 0)
        --wanted;
    std::vector<host_id> out;
    std::map<failure_domain_id, std::size_t> chosen;
    while (out.size() < wanted) {
        const auto next =
            std::min_element(usable.begin(), usable.end(), [&](const auto* one, const auto* two) {
                return chosen[one->domain] < chosen[two->domain];
            });
        ++chosen[(*next)->domain];
        out.push_back((*next)->id);
        usable.erase(next);
    }
    std::sort(out.begin(), out.end());
    return out;
}

} // namespace ebonywick
