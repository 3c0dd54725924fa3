// Checks of hosts: graceful shutdown (I9) and configuration (I10).
#include "history/historychecker.h"

#include <algorithm>
#include <map>
#include <utility>

namespace ebonywick::history {

namespace {

struct leave_period
{
    const record* began = nullptr;
    // Start of the next life; none: to the end of the history.
    const record* restarted = nullptr;
};

void check_leaving(const record_list& records, std::vector<violation>& out)
{
    std::map<std::string, std::vector<leave_period>> periods;
    for (const record& it : records) {
        const auto* ev = std::get_if<host_event>(&it.body);
        if (ev == nullptr)
            continue;
        auto& own = periods[ev->host];
        const bool open = !own.empty() && own.back().restarted == nullptr;
        if (ev->phase == host_phase::leave)
            own.push_back({&it, nullptr});
        else if (ev->phase == host_phase::start && open)
            own.back().restarted = &it;
        else if (ev->phase == host_phase::end && open && ev->exit_code != 0)
            out.push_back({"I9", ev->host + " did not end in order", {*own.back().began, it}});
    }
    for (const record& it : records) {
        const auto* request = std::get_if<caller_request>(&it.body);
        if (request == nullptr || request->status != 0)
            continue;
        for (const leave_period& period : periods[request->host]) {
            // A request that was sent before and is in progress counts too.
            const bool within =
                it.at >= period.began->at &&
                (period.restarted == nullptr || request->start < period.restarted->at);
            if (!within)
                continue;
            out.push_back(
                {"I9", request->host + " aborted a request while leaving", {*period.began, it}});
            return;
        }
    }
}

constexpr const char* config_key = "ebonywick/config";

void check_acceptance(const record_list& records, std::vector<violation>& out)
{
    std::map<std::uint64_t, const record*> accepted;
    for (const record& it : records) {
        const auto* write = std::get_if<store_write>(&it.body);
        if (write != nullptr && write->accepted && write->key == config_key)
            accepted.emplace(write->version, &it);
    }
    std::map<std::uint64_t, const record*> winners;
    for (const record& it : records) {
        const auto* change = std::get_if<operator_change>(&it.body);
        if (change == nullptr || change->told != change_result::accepted)
            continue;
        const auto version = change->version.value_or(0);
        if (!accepted.contains(version))
            out.push_back({"I10", "an operator was told accepted, but no write was", {it}});
        const auto [first, fresh] = winners.emplace(version, &it);
        if (!fresh)
            out.push_back({"I10", "two operators won the same version", {*first->second, it}});
    }
    const auto told_apart = std::count_if(records.begin(), records.end(), [](const record& it) {
        const auto* change = std::get_if<operator_change>(&it.body);
        return change != nullptr && change->told == change_result::unknown;
    });
    // Without an unknown outcome each accepted write after the first belongs to
    // an operator who was told so; a conflict that was accepted shows here.
    if (winners.empty() || told_apart > 0)
        return;
    for (const auto& [version, write] : accepted) {
        if (version > winners.begin()->first && !winners.contains(version))
            out.push_back({"I10", "a write was accepted, but no operator was told so", {*write}});
    }
}

void check_versions(const record_list& records, std::vector<violation>& out)
{
    std::map<std::pair<std::string, std::uint64_t>, const record*> newest;
    std::vector<const record*> accepted;
    std::map<std::string, bool> reported;
    for (const record& it : records) {
        const auto* write = std::get_if<store_write>(&it.body);
        if (write != nullptr && write->accepted && write->key == config_key)
            accepted.push_back(&it);
        const auto* status = std::get_if<host_status>(&it.body);
        if (status == nullptr || reported[status->host])
            continue;
        const record*& last = newest[{status->host, status->incarnation}];
        if (last != nullptr &&
            std::get<host_status>(last->body).config_version > status->config_version) {
            out.push_back({"I10", status->host + " went back to an older version", {*last, it}});
            reported[status->host] = true;
        }
        last = &it;
        if (!status->current)
            continue;
        for (const record* newer : accepted) {
            const bool due = it.at > newer->at + settle_time;
            if (!due || std::get<store_write>(newer->body).version <= status->config_version)
                continue;
            out.push_back({"I10",
                           status->host + " is current with an older version after 3 s",
                           {*newer, it}});
            reported[status->host] = true;
            break;
        }
    }
}

} // namespace

std::vector<violation> check_hosts(const record_list& records)
{
    std::vector<violation> out;
    check_leaving(records, out);
    check_acceptance(records, out);
    check_versions(records, out);
    return out;
}

} // namespace ebonywick::history
