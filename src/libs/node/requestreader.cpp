// Validates callers' requests and writes their outcomes as JSON.
#include "node/requestreader.h"

#include "jsontext/jsontext.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <stdexcept>

namespace ebonywick {

namespace {

using nlohmann::json;

std::optional<long> parse_number(const std::string& text)
{
    long n = 0;
    const char* end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc{} || last != end)
        return std::nullopt;
    return n;
}

bool is_printable(const std::string& text)
{
    return std::all_of(text.begin(), text.end(), [](char ch) { return ch > ' ' && ch < 127; });
}

int http_status(error_kind kind)
{
    switch (kind) {
    case error_kind::invalid_request:
        return 400;
    case error_kind::unknown_service:
        return 404;
    case error_kind::body_too_large:
        return 413;
    case error_kind::key_reused:
        return 422;
    case error_kind::overloaded:
    case error_kind::deadline_too_short:
        return 429;
    default:
        return is_not_run(kind) ? 503 : 504;
    }
}

http_reply write_error(const request_id& id, const char* outcome, const error& reason,
                       duration retry_after)
{
    json out{{"outcome", outcome},
             {"request_id", to_string(id)},
             {"error",
              {{"kind", to_string(reason.kind)},
               {"message", reason.message},
               {"remedy", reason.remedy}}}};
    if (retry_after > duration::zero())
        out["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
    return http_reply{http_status(reason.kind),
                      out.dump(-1, ' ', false, json::error_handler_t::replace)};
}

// The JSON value in `reply`, or its text if it is none or cannot be embedded.
json value_or_text(const std::string& reply)
{
    try {
        return parse_json(reply);
    } catch (const std::invalid_argument&) {
        return reply;
    }
}

http_reply write_answer(const request_id& id, const answered& answer)
{
    std::string missing;
    for (const shard_name& it : answer.covered.missing) {
        if (!missing.empty())
            missing.push_back(',');
        missing += json(it.value()).dump();
    }
    std::string body = fmt::format(
        R"({{"outcome":"answered","request_id":"{}","snapshot":{{"version":{},"epoch":{}}},)"
        R"("coverage":{{"merged":{},"total":{},"missing":[{}]}},"hits":[)",
        to_string(id), answer.from.version, answer.from.epoch, answer.covered.merged,
        answer.covered.total, missing);
    // Each entry is a JSON array that the link has validated. The elements between
    // the brackets are copied, so that large hits are not parsed again.
    bool first = true;
    for (const std::string& it : answer.hits) {
        const auto begin = it.find('[');
        const auto end = it.rfind(']');
        if (begin == std::string::npos || end == std::string::npos || end <= begin + 1)
            continue;
        if (!first)
            body.push_back(',');
        first = false;
        body.append(it, begin + 1, end - begin - 1);
    }
    body += "]}";
    return http_reply{200, std::move(body)};
}

} // namespace

std::variant<caller_request, error>
read_caller_request(const request_id& id, const std::string& service, const header_reader& header,
                    const std::string& body, const configuration& config, time_point now)
{
    const auto invalid = [](std::string message) {
        return make_error(error_kind::invalid_request, std::move(message));
    };
    const service_declaration* declared = config.find_service(service_name{service});
    if (declared == nullptr)
        return make_error(error_kind::unknown_service,
                          fmt::format("service {} is not declared", service.substr(0, 64)));
    if (body.size() > max_body_bytes)
        return make_error(error_kind::body_too_large,
                          fmt::format("the body has {} bytes", body.size()));
    if (body.empty() || !json::accept(body))
        return invalid("the body is not a JSON document");

    caller_request out;
    out.id = id;
    out.service = declared->name;
    out.body = body;
    const std::string caller = header("X-Caller");
    if (caller.size() > max_caller_length || !is_printable(caller))
        return invalid("X-Caller must have at most 128 printable characters");
    out.caller = caller_id{caller.empty() ? "anonymous" : caller};

    const std::string traffic = header("X-Class");
    if (traffic.empty())
        out.traffic = declared->default_class;
    else if (traffic == "interactive")
        out.traffic = request_class::interactive;
    else if (traffic == "batch")
        out.traffic = request_class::batch;
    else
        return invalid("X-Class must be interactive or batch");

    const std::string deadline = header("X-Deadline-Ms");
    if (deadline.empty()) {
        out.deadline = now + 2 * config.active_preset().deadline;
        return out;
    }
    const std::optional<long> ms = parse_number(deadline);
    if (!ms || *ms < 1 || *ms > max_deadline.count())
        return invalid("X-Deadline-Ms must be a whole number from 1 to 60000");
    out.deadline = now + std::chrono::milliseconds{*ms};
    return out;
}

http_reply write_refusal(const request_id& id, const not_run& refusal)
{
    return write_error(id, "not_run", refusal.reason, refusal.retry_after);
}

http_reply write_outcome(const request_id& id, const query_outcome& outcome)
{
    if (const auto* answer = std::get_if<answered>(&outcome))
        return write_answer(id, *answer);
    if (const auto* refusal = std::get_if<not_run>(&outcome))
        return write_refusal(id, *refusal);
    return write_error(id, "unknown", std::get<unknown_outcome>(outcome).reason, duration::zero());
}

http_reply write_outcome(const request_id& id, const order_outcome& outcome)
{
    if (const auto* refusal = std::get_if<not_run>(&outcome))
        return write_refusal(id, *refusal);
    if (const auto* lost = std::get_if<unknown_outcome>(&outcome))
        return write_error(id, "unknown", lost->reason, duration::zero());
    const order_answer& answer = std::get<order_answer>(outcome);
    const json out{{"outcome", "answered"},
                   {"request_id", to_string(id)},
                   {"repeated", answer.repeated},
                   {"reply", value_or_text(answer.reply)}};
    return http_reply{200, out.dump(-1, ' ', false, json::error_handler_t::replace)};
}

} // namespace ebonywick
