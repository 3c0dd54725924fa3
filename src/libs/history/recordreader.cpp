// Converts JSON lines to records.
#include "history/recordreader.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <utility>

namespace ebonywick::history {

namespace {

using nlohmann::json;

struct field_error
{
    line_error_kind kind;
    std::string detail;
};

template <class T>
bool has_type(const json& value)
{
    if constexpr (std::is_same_v<T, bool>)
        return value.is_boolean();
    else if constexpr (std::is_same_v<T, std::string>)
        return value.is_string();
    else if constexpr (std::is_unsigned_v<T>)
        return value.is_number_unsigned();
    else
        return value.is_number_integer();
}

template <class T>
T required_field(const json& line, const char* name)
{
    const auto found = line.find(name);
    if (found == line.end())
        throw field_error{line_error_kind::missing_field, name};
    if (!has_type<T>(*found))
        throw field_error{line_error_kind::wrong_type, name};
    return found->get<T>();
}

template <class T>
T optional_field(const json& line, const char* name, T fallback)
{
    return line.contains(name) ? required_field<T>(line, name) : fallback;
}

using number = std::uint64_t;
using text = std::string;

record_body read_request(const json& line)
{
    caller_request out;
    out.start = required_field<timestamp>(line, "start");
    out.host = required_field<text>(line, "host");
    out.service = required_field<text>(line, "service");
    out.outcome = required_field<text>(line, "outcome");
    out.status = required_field<int>(line, "status");
    out.id = optional_field<text>(line, "request_id", "");
    out.key = optional_field<text>(line, "key", "");
    out.version = optional_field<number>(line, "version", 0);
    out.merged = optional_field<number>(line, "merged", 0);
    out.total = optional_field<number>(line, "total", 0);
    if (line.contains("missing")) {
        if (!line["missing"].is_array())
            throw field_error{line_error_kind::wrong_type, "missing"};
        out.missing = line["missing"].size();
    }
    if (line.contains("hit_versions")) {
        for (const json& it : line["hit_versions"]) {
            if (!it.is_number_unsigned())
                throw field_error{line_error_kind::wrong_type, "hit_versions"};
            out.hit_versions.push_back(it.get<number>());
        }
    }
    out.reply = optional_field<text>(line, "reply", "");
    out.answer_error = optional_field<text>(line, "wrong", "");
    return out;
}

record_body read_call_start(const json& line)
{
    return call_start{required_field<text>(line, "searcher"), required_field<text>(line, "call"),
                      required_field<number>(line, "version"),
                      optional_field<bool>(line, "cold", false),
                      optional_field<number>(line, "concurrent", 0)};
}

record_body read_call_end(const json& line)
{
    const auto status = required_field<text>(line, "status");
    if (status != "completed" && status != "expired" && status != "cancelled")
        throw field_error{line_error_kind::unknown_value, "status " + status};
    return call_end{required_field<text>(line, "searcher"), required_field<text>(line, "call"),
                    required_field<number>(line, "version"), status == "completed"};
}

record_body read_order_run(const json& line)
{
    return order_run{required_field<text>(line, "searcher"), required_field<text>(line, "call"),
                     required_field<text>(line, "key")};
}

record_body read_store_write(const json& line)
{
    const auto result = required_field<text>(line, "result");
    const bool accepted = result.starts_with("accepted");
    if (!accepted && !result.starts_with("mismatch"))
        throw field_error{line_error_kind::unknown_value, "result " + result};
    return store_write{required_field<text>(line, "key"), required_field<number>(line, "version"),
                       accepted};
}

record_body read_change(const json& line)
{
    static const std::map<text, change_result> results{{"accepted", change_result::accepted},
                                                       {"conflict", change_result::conflict},
                                                       {"unknown", change_result::unknown}};
    const auto result = required_field<text>(line, "told");
    const auto found = results.find(result);
    if (found == results.end())
        throw field_error{line_error_kind::unknown_value, "told " + result};
    operator_change out{found->second, std::nullopt, required_field<timestamp>(line, "start")};
    if (line.contains("version"))
        out.version = required_field<number>(line, "version");
    else if (out.result == change_result::accepted)
        throw field_error{line_error_kind::missing_field, "version"};
    return out;
}

record_body read_status(const json& line)
{
    return host_status{
        required_field<text>(line, "host"), required_field<number>(line, "incarnation"),
        required_field<number>(line, "config_version"), required_field<bool>(line, "current")};
}

using body_reader = std::function<record_body(const json&)>;

const std::map<text, body_reader>& body_readers()
{
    static const std::map<text, body_reader> table{
        {"request", read_request},
        {"call_start", read_call_start},
        {"call_end", read_call_end},
        {"order_run", read_order_run},
        {"store_write", read_store_write},
        {"searcher",
         [](const json& it) {
             return upstream_declared{required_field<text>(it, "searcher"),
                                      required_field<text>(it, "failure_domain"),
                                      required_field<number>(it, "cold_concurrency")};
         }},
        {"cold_peak",
         [](const json& it) {
             return cold_peak{required_field<text>(it, "searcher"),
                              required_field<number>(it, "concurrent")};
         }},
        {"searcher_leaving",
         [](const json& it) {
             return upstream_leaving_change{required_field<text>(it, "searcher"), true};
         }},
        {"searcher_back",
         [](const json& it) {
             return upstream_leaving_change{required_field<text>(it, "searcher"), false};
         }},
        {"domain_out",
         [](const json& it) {
             return domain_out_change{required_field<text>(it, "failure_domain"), true};
         }},
        {"domain_back",
         [](const json& it) {
             return domain_out_change{required_field<text>(it, "failure_domain"), false};
         }},
        {"change", read_change},
        {"host_status", read_status},
        {"host_leave",
         [](const json& it) {
             return host_event{required_field<text>(it, "host"), host_event_kind::leave, 0};
         }},
        {"host_start",
         [](const json& it) {
             return host_event{required_field<text>(it, "host"), host_event_kind::start, 0};
         }},
        {"host_end",
         [](const json& it) {
             return host_event{required_field<text>(it, "host"), host_event_kind::end,
                               required_field<int>(it, "exit_code")};
         }},
    };
    return table;
}

/// The kind of a line. Lines of the load tool and of the stand-ins have no `kind` field;
/// their kind follows from the fields that they have.
text record_kind(const json& line)
{
    if (line.contains("type"))
        return "request";
    if (line.contains("event")) {
        static const std::map<text, text> kinds{
            {"start", "call_start"}, {"end", "call_end"}, {"order", "order_run"}};
        const auto event = required_field<text>(line, "event");
        const auto found = kinds.find(event);
        return found == kinds.end() ? "event " + event : found->second;
    }
    if (line.contains("result") && !line.contains("kind"))
        return "store_write";
    return required_field<text>(line, "kind");
}

timestamp record_time(const json& line, const text& kind)
{
    if (kind == "request")
        return required_field<timestamp>(line, "end");
    if (kind == "searcher")
        return 0;
    return required_field<timestamp>(line, line.contains("time") ? "time" : "t");
}

} // namespace

std::variant<record, line_error> read_line(const std::string& line, const std::string& source)
{
    const json parsed = json::parse(line, nullptr, false);
    if (!parsed.is_object())
        return line_error{line_error_kind::not_json, source, line.substr(0, 80)};
    try {
        const text kind = record_kind(parsed);
        const auto found = body_readers().find(kind);
        if (found == body_readers().end())
            return line_error{line_error_kind::unknown_kind, source, kind};
        return record{record_time(parsed, kind), found->second(parsed), line, source};
    } catch (const field_error& error) {
        return line_error{error.kind, source, error.detail};
    }
}

std::string to_string(const line_error& error)
{
    static const std::map<line_error_kind, const char*> names{
        {line_error_kind::not_json, "not a JSON object"},
        {line_error_kind::unknown_kind, "unknown kind"},
        {line_error_kind::missing_field, "missing field"},
        {line_error_kind::wrong_type, "field of the wrong type"},
        {line_error_kind::unknown_value, "unknown value"}};
    return error.source + ": " + names.at(error.kind) + ": " + error.detail;
}

} // namespace ebonywick::history
