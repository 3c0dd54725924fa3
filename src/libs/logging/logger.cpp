// Queue and writer thread of the structured log.
#include "logging/logger.h"

#include "logging/logline.h"

#include <fmt/format.h>
#include <tbb/concurrent_queue.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <thread>

namespace ebonywick {

namespace {

// The writer polls the queue at this interval while it is empty, so that a thread that serves a
// request never has to wake it.
constexpr std::chrono::milliseconds idle_poll_interval{5};
// Lines are joined up to this size into one write.
constexpr std::size_t write_batch_bytes = std::size_t{64} * 1024;

} // namespace

struct logger::state
{
    explicit state(std::size_t queue_lines) { queue.set_capacity(std::ptrdiff_t(queue_lines)); }

    void run(const std::stop_token& stop);
    /// Writes a batch of queued queue; false if there was nothing to write.
    bool write_batch();

    tbb::concurrent_bounded_queue<std::string> queue;
    std::atomic<std::uint64_t> dropped{0};
    // Number of dropped lines that the log has reported; at most `dropped`. Used by the writer
    // only.
    std::uint64_t dropped_reported = 0;
    std::jthread writer;
};

bool logger::state::write_batch()
{
    fmt::memory_buffer buf;
    std::string line;
    while (buf.size() < write_batch_bytes && queue.try_pop(line))
        buf.append(line);
    const std::uint64_t total_dropped = dropped.load(std::memory_order_relaxed);
    if (total_dropped > dropped_reported) {
        append_drop_line(buf, total_dropped - dropped_reported, total_dropped);
        dropped_reported = total_dropped;
    }
    if (buf.size() == 0)
        return false;
    std::fwrite(buf.data(), 1, buf.size(), stderr);
    return true;
}

void logger::state::run(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        if (!write_batch())
            std::this_thread::sleep_for(idle_poll_interval);
    }
    while (write_batch()) {
    }
    std::fflush(stderr);
}

logger::logger(log_level min_level, std::size_t queue_lines)
    : min_level_(min_level), state_(std::make_unique<state>(queue_lines))
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
    append_log_line(buf, level, event, fields);
    if (!state_->queue.try_push(fmt::to_string(buf)))
        state_->dropped.fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t logger::dropped() const
{
    return state_->dropped.load(std::memory_order_relaxed);
}

} // namespace ebonywick
