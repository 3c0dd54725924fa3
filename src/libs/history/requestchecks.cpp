// Checks requests against the calls that upstreams recorded (I1, I2, I5, I6).
#include "history/historychecker.h"

#include <algorithm>
#include <map>
#include <set>

namespace ebonywick::history {

namespace {

/// Calls of one request, as recorded by the upstreams.
struct request_calls
{
    std::vector<const record*> started;
    std::vector<const record*> completed;
};

std::string request_id_of(const std::string& call)
{
    return call.substr(0, call.find('-'));
}

std::string shard_of(const std::string& call)
{
    const auto first = call.find('-');
    if (first == std::string::npos)
        return call;
    return call.substr(first + 1, call.find('-', first + 1) - first - 1);
}

std::map<std::string, request_calls> calls_by_request(const record_list& records)
{
    std::map<std::string, request_calls> out;
    for (const record& it : records) {
        if (const auto* start = std::get_if<call_start>(&it.body))
            out[request_id_of(start->call)].started.push_back(&it);
        else if (const auto* end = std::get_if<call_end>(&it.body);
                 end != nullptr && end->completed)
            out[request_id_of(end->call)].completed.push_back(&it);
    }
    return out;
}

/// The calls, followed by the request.
std::vector<record> evidence_for(const record& request, const std::vector<const record*>& calls)
{
    std::vector<record> out;
    out.reserve(calls.size() + 1);
    for (const record* it : calls)
        out.push_back(*it);
    out.push_back(request);
    return out;
}

void check_answer(const record& rec, const caller_request& request, const request_calls& calls,
                  std::vector<violation>& out)
{
    const auto has_other_version = [&](std::uint64_t it) {
        return it != request.version;
    };
    if (std::any_of(request.hit_versions.begin(), request.hit_versions.end(), has_other_version))
        out.push_back({"I1", "the answer has hits of another version", {rec}});
    if (request.merged + request.missing != request.total)
        out.push_back({"I2", "merged and missing shards do not add up to the total", {rec}});
    std::set<std::string> covered;
    std::vector<const record*> evidence;
    std::vector<const record*> other_versions;
    for (const record* it : calls.completed) {
        const auto& end = std::get<call_end>(it->body);
        const bool is_same_version = end.version == request.version;
        if (is_same_version)
            covered.insert(shard_of(end.call));
        (is_same_version ? evidence : other_versions).push_back(it);
    }
    if (covered.size() >= request.merged)
        return;
    std::set<std::string> covered_by_any = covered;
    for (const record* it : other_versions)
        covered_by_any.insert(shard_of(std::get<call_end>(it->body).call));
    const bool other_version_completed = covered_by_any.size() >= request.merged;
    evidence.insert(evidence.end(), other_versions.begin(), other_versions.end());
    out.push_back({other_version_completed ? "I1" : "I2",
                   other_version_completed
                       ? "for some merged shards, only calls of another version completed"
                       : "more shards are reported as merged than shards with a completed call",
                   evidence_for(rec, evidence)});
}

} // namespace

std::vector<violation> check_requests(const record_list& records)
{
    std::vector<violation> out;
    const auto calls = calls_by_request(records);
    std::map<std::string, const record*> first_by_id;
    for (const record& it : records) {
        const auto* request = std::get_if<caller_request>(&it.body);
        if (request == nullptr)
            continue;
        if (!request->answer_error.empty())
            out.push_back({"I5", "the caller got a wrong answer: " + request->answer_error, {it}});
        if (request->id.empty())
            continue;
        const auto [first, inserted] = first_by_id.emplace(request->id, &it);
        if (!inserted)
            out.push_back({"I5", "two requests have the same id", {*first->second, it}});
        static const request_calls none;
        const auto found = calls.find(request->id);
        const request_calls& own_calls = found == calls.end() ? none : found->second;
        if (request->outcome == "answered" && request->key.empty())
            check_answer(it, *request, own_calls, out);
        if (request->outcome == "not_run" && !own_calls.started.empty())
            out.push_back({"I6",
                           "a request is reported as not run, but one of its calls was started",
                           evidence_for(it, {own_calls.started.front()})});
    }
    return out;
}

} // namespace ebonywick::history
