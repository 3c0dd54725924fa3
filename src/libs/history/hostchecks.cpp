// Checks graceful shutdown (I9) and configuration (I10) of hosts.
#include "history/historychecker.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace ebonywick::history {

namespace {

struct shutdown_period
{
    const record* leave = nullptr;
    // Next start of the host; null if the period lasts to the end of the history.
    const record* restarted = nullptr;
};

void check_graceful_shutdown(const record_list& records, std::vector<violation>& out)
{
    std::map<std::string, std::vector<shutdown_period>> periods;
    for (const record& it : records) {
        const auto* ev = std::get_if<host_event>(&it.body);
        if (ev == nullptr)
            continue;
        auto& host_periods = periods[ev->host];
        const bool open = !host_periods.empty() && host_periods.back().restarted == nullptr;
        if (ev->kind == host_event_kind::leave)
            host_periods.push_back({&it, nullptr});
        else if (ev->kind == host_event_kind::start && open)
            host_periods.back().restarted = &it;
        else if (ev->kind == host_event_kind::end && open && ev->exit_code != 0)
            out.push_back({"I9",
                           ev->host + " exited with a nonzero status after leaving",
                           {*host_periods.back().leave, it}});
    }
    for (const record& it : records) {
        const auto* request = std::get_if<caller_request>(&it.body);
        if (request == nullptr || request->status != 0)
            continue;
        for (const shutdown_period& period : periods[request->host]) {
            // Includes requests that were sent before the host began to leave.
            const bool within =
                it.time >= period.leave->time &&
                (period.restarted == nullptr || request->start < period.restarted->time);
            if (!within)
                continue;
            out.push_back(
                {"I9", request->host + " aborted a request while leaving", {*period.leave, it}});
            return;
        }
    }
}

constexpr const char* config_key = "ebonywick/config";

/// Matches each change that was reported as accepted with a distinct store write made
/// while the operator waited. If the reply to a write is lost, the object is read back to
/// learn the outcome; by then it may have a later version than the change's own.
void check_accepted_changes(const record_list& records, std::vector<violation>& out)
{
    // A store that was restored from an older copy gives out versions again.
    std::multimap<std::uint64_t, const record*> unmatched_writes;
    std::multimap<std::uint64_t, const record*> accepted_changes;
    bool all_results_known = true;
    timestamp first = std::numeric_limits<timestamp>::max();
    for (const record& it : records) {
        const auto* write = std::get_if<store_write>(&it.body);
        if (write != nullptr && write->accepted && write->key == config_key)
            unmatched_writes.emplace(write->version, &it);
        const auto* change = std::get_if<operator_change>(&it.body);
        if (change == nullptr)
            continue;
        first = std::min(first, change->start);
        if (change->result == change_result::accepted)
            accepted_changes.emplace(change->version.value_or(0), &it);
        all_results_known = all_results_known && change->result != change_result::unknown;
    }
    for (const auto& [version, change_record] : accepted_changes) {
        const auto& change = std::get<operator_change>(change_record->body);
        auto write = unmatched_writes.upper_bound(version);
        bool found = false;
        while (!found && write != unmatched_writes.begin()) {
            --write;
            found =
                write->second->time >= change.start && write->second->time <= change_record->time;
        }
        if (found)
            unmatched_writes.erase(write);
        else
            out.push_back(
                {"I10",
                 "a change was reported as accepted, but no write in the store matches it",
                 {*change_record}});
    }
    // A change that the store accepted must not be reported as a conflict.
    for (const auto& [version, write] : unmatched_writes) {
        if (all_results_known && write->time >= first)
            out.push_back(
                {"I10", "the store accepted a write that no change was reported for", {*write}});
    }
}

void check_config_versions(const record_list& records, std::vector<violation>& out)
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
            out.push_back({"I10",
                           status->host + " reported an older configuration version than before",
                           {*last, it}});
            reported[status->host] = true;
        }
        last = &it;
        if (!status->current)
            continue;
        for (const record* newer : accepted) {
            const bool due = it.time > newer->time + max_enforcement_delay;
            if (!due || std::get<store_write>(newer->body).version <= status->config_version)
                continue;
            out.push_back(
                {"I10",
                 status->host +
                     " is current with a configuration that was replaced more than 3 s ago",
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
    check_graceful_shutdown(records, out);
    check_accepted_changes(records, out);
    check_config_versions(records, out);
    return out;
}

} // namespace ebonywick::history
