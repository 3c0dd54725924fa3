// Writes one JSON line for each request.
#include "requestrecorder.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace ebonywick::load {

namespace {

std::int64_t nanoseconds(time_point at)
{
    return at.time_since_epoch().count();
}

} // namespace

request_recorder::request_recorder(const std::string& path)
{
    if (path.empty())
        return;
    file_ = std::fopen(path.c_str(), "w");
    if (file_ == nullptr)
        throw std::runtime_error{fmt::format("--record: cannot write {}", path)};
}

request_recorder::~request_recorder()
{
    if (file_ != nullptr)
        std::fclose(file_);
}

void request_recorder::add(const request_record& request)
{
    if (file_ == nullptr)
        return;
    const checked_answer& answer = request.answer;
    nlohmann::json line{{"type", request.is_order ? "order" : "search"},
                        {"stream", request.stream},
                        {"caller", request.caller},
                        {"service", request.service},
                        {"host", request.host},
                        {request.is_order ? "key" : "query", request.query},
                        {"repeat", request.repeat},
                        {"intended", nanoseconds(request.intended)},
                        {"start", nanoseconds(request.start)},
                        {"end", nanoseconds(request.end)},
                        {"status", request.status},
                        {"outcome", answer.outcome}};
    if (!answer.request_id.empty())
        line["request_id"] = answer.request_id;
    if (!answer.kind.empty())
        line["kind"] = answer.kind;
    if (!answer.answer_error.empty())
        line["wrong"] = answer.answer_error;
    if (answer.outcome == "answered" && request.is_order) {
        line["repeated"] = answer.repeated;
        line["reply"] = answer.reply;
    } else if (answer.outcome == "answered") {
        line["version"] = answer.version;
        line["epoch"] = answer.epoch;
        line["merged"] = answer.merged;
        line["total"] = answer.total;
        line["missing"] = answer.missing;
    }
    const std::string text =
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    const std::lock_guard lock{mutex_};
    std::fputs(text.c_str(), file_);
}

} // namespace ebonywick::load
