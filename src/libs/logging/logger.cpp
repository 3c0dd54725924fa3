// Queue and writer thread of the structured log.
#include "logging/logger.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <tbb/concurrent_queue.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <ctime>
#include <iterator>
#include <mutex>
#include <thread>

namespace ebonywick {

namespace {

// The writer sleeps this long when it finds no line, so that a request's thread
// never has to wake it.
constexpr std::chrono::milliseconds idle_wait{5};
constexpr std::size_t write_batch_bytes = std::size_t{64} * 1024;

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
    // Breaking a time into fields costs more than the rest of the line, so the
    // seconds are formatted once a second and thread.
    thread_local std::time_t last_second = -1;
    thread_local char prefix[32] = {};
    timespec ts{};
    clock_gettime(CLOCK_REALTIME, &ts);
    if (ts.tv_sec != last_second) {
        last_second = ts.tv_sec;
        const auto end = fmt::format_to(prefix, "{:%Y-%m-%dT%H:%M:%S}", fmt::gmtime(ts.tv_sec));
        *end = '\0';
    }
    fmt::format_to(std::back_inserter(buf), "time={}.{:06}Z", prefix, ts.tv_nsec / 1000);
}

} // namespace

struct logger::state
{
    explicit state(std::size_t queue_lines) { lines.set_capacity(std::ptrdiff_t(queue_lines)); }

    void run(const std::stop_token& stop);
    bool drain();

    tbb::concurrent_bounded_queue<std::string> lines;
    std::atomic<std::uint64_t> dropped{0};
    // Lines dropped that the log has told of; at most `dropped`.
    std::uint64_t dropped_reported = 0;
    std::jthread writer;
};

bool logger::state::drain()
{
    fmt::memory_buffer buf;
    std::string line;
    while (buf.size() < write_batch_bytes && lines.try_pop(line))
        buf.append(line);
    const std::uint64_t lost = dropped.load(std::memory_order_relaxed);
    if (lost > dropped_reported) {
        append_time(buf);
        fmt::format_to(std::back_inserter(buf),
                       " level=warning event=log_lines_dropped count={} total={}\n",
                       lost - dropped_reported, lost);
        dropped_reported = lost;
    }
    if (buf.size() == 0)
        return false;
    std::fwrite(buf.data(), 1, buf.size(), stderr);
    return true;
}

void logger::state::run(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        if (!drain())
            std::this_thread::sleep_for(idle_wait);
    }
    while (drain()) {
    }
    std::fflush(stderr);
}

logger::logger(log_level least, std::size_t queue_lines)
    : least_(least), state_(std::make_unique<state>(queue_lines))
{
    state_->writer = std::jthread{[it = state_.get()](const std::stop_token& stop) {
        it->run(stop);
    }};
}

logger::~logger()
{
    state_->writer.request_stop();
    state_->writer.join();
}

void logger::write(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (!enabled(level))
        return;
    fmt::memory_buffer buf;
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
    if (!state_->lines.try_push(fmt::to_string(buf)))
        state_->dropped.fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t logger::dropped() const
{
    return state_->dropped.load(std::memory_order_relaxed);
}

} // namespace ebonywick
