// Writes call events as JSON lines.
#include "recorder.h"

#include <nlohmann/json.hpp>

#include <cerrno>
#include <system_error>

namespace ebonywick::standin {

recorder::recorder(const std::string& path)
    : file_(path.empty() ? nullptr : std::fopen(path.c_str(), "ae"), &std::fclose)
{
    if (!path.empty() && !file_)
        throw std::system_error(errno, std::generic_category(), "cannot write " + path);
}

void recorder::write(const call_event& event)
{
    if (!file_)
        return;
    std::string text = "{\"t\":" + std::to_string(event.time.time_since_epoch().count());
    const auto add = [&](std::string_view key, std::string_view value) {
        text.append(",\"").append(key).append("\":");
        text +=
            nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    };
    add("event", event.event);
    add("searcher", event.upstream);
    add("call", event.call);
    if (event.event == "end")
        add("status", event.detail);
    else if (event.event == "order")
        add("key", event.detail);
    text += ",\"version\":" + std::to_string(event.version) + "}\n";
    const std::scoped_lock guard{mutex_};
    std::fwrite(text.data(), 1, text.size(), file_.get());
    // Flushed at once, so that a killed stand-in doesn't lose the record of an order.
    if (event.event == "order")
        std::fflush(file_.get());
}

void recorder::flush()
{
    const std::scoped_lock guard{mutex_};
    if (file_)
        std::fflush(file_.get());
}

} // namespace ebonywick::standin
