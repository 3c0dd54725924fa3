// Structured log on standard output for a process that runs a single event loop.
#pragma once

#include "base/clock.h"
#include "logging/logger.h"

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace ebonywick {

/// Never blocks: lines wait in a bounded buffer until flush() finds the output ready. Lines that
/// exceed the rate or the buffer are dropped and counted, and a later line reports their number.
/// Not thread-safe.
class event_loop_logger
{
public:
    explicit event_loop_logger(log_level min_level) : min_level_(min_level) {}
    ~event_loop_logger() = default;
    event_loop_logger(const event_loop_logger&) = delete;
    event_loop_logger& operator=(const event_loop_logger&) = delete;

    void write(log_level level, std::string_view event, std::initializer_list<log_field> fields);
    [[nodiscard]] bool enabled(log_level level) const { return level >= min_level_; }
    void set_level(log_level min_level) { min_level_ = min_level; }

    /// Writes as much as the output takes without blocking, and adds to the allowance of lines
    /// for the time since the last call. To be called several times per second.
    void flush(time_point now);
    /// Lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    // A line costs a few microseconds, and the process has a tenth of a core; this rate leaves most
    // of it to requests. Warnings and errors may exceed it by half.
    static constexpr double lines_per_second = 300.0;
    // A line is dropped once this much is pending.
    static constexpr std::size_t buffer_bytes = std::size_t{256} * 1024;

    log_level min_level_;
    // Formatted lines that are not written yet.
    fmt::memory_buffer pending_;
    // Lines that may be added before the next flush(): at most lines_per_second; below 0 after
    // warnings and errors that exceeded the rate.
    double allowance_ = lines_per_second;
    // Last call of flush().
    time_point allowance_updated_at_{};
    std::uint64_t dropped_ = 0;
    // Number of dropped lines that the log has reported; at most dropped_.
    std::uint64_t dropped_reported_ = 0;
};

} // namespace ebonywick
