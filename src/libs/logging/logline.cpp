// Formatting of log records, and quoting of their values.
#include "logging/logline.h"

#include <fmt/chrono.h>

#include <ctime>
#include <iterator>

namespace ebonywick {

namespace {

std::string_view level_name(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

bool needs_quotes(std::string_view text)
{
    return text.empty() || text.find_first_of(" =\"\\\n\r\t") != std::string_view::npos;
}

void append_quoted(fmt::memory_buffer& buf, std::string_view text)
{
    buf.push_back('"');
    for (const char ch : text) {
        switch (ch) {
        case '"':
        case '\\':
            buf.push_back('\\');
            buf.push_back(ch);
            break;
        case '\n':
            buf.append(std::string_view{"\\n"});
            break;
        case '\r':
            buf.append(std::string_view{"\\r"});
            break;
        default:
            buf.push_back(ch);
        }
    }
    buf.push_back('"');
}

void append_time(fmt::memory_buffer& buf)
{
    // Splitting a time into its fields costs more than the rest of the line, so each thread
    // formats the whole seconds only once per second.
    thread_local std::time_t last_second = -1;
    thread_local char formatted_seconds[32] = {};
    timespec ts{};
    clock_gettime(CLOCK_REALTIME, &ts);
    if (ts.tv_sec != last_second) {
        last_second = ts.tv_sec;
        const auto end =
            fmt::format_to(formatted_seconds, "{:%Y-%m-%dT%H:%M:%S}", fmt::gmtime(ts.tv_sec));
        *end = '\0';
    }
    fmt::format_to(std::back_inserter(buf), "time={}.{:06}Z", formatted_seconds, ts.tv_nsec / 1000);
}

} // namespace

void append_log_line(fmt::memory_buffer& buf, log_level level, std::string_view event,
                     std::initializer_list<log_field> fields)
{
    append_time(buf);
    fmt::format_to(std::back_inserter(buf), " level={} event={}", level_name(level), event);
    for (const log_field& it : fields) {
        buf.push_back(' ');
        buf.append(it.key);
        buf.push_back('=');
        if (needs_quotes(it.value))
            append_quoted(buf, it.value);
        else
            buf.append(it.value);
    }
    buf.push_back('\n');
}

void append_drop_line(fmt::memory_buffer& buf, std::uint64_t dropped, std::uint64_t total)
{
    append_time(buf);
    fmt::format_to(std::back_inserter(buf),
                   " level=warning event=log_lines_dropped count={} total={}\n", dropped, total);
}

} // namespace ebonywick
