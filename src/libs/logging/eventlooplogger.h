// Structured log of a single-threaded process, on standard output.
#pragma once

#include "base/clock.h"
#include "logging/logger.h"

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace ebonywick {

/// Never blocks: lines wait in a bounded buffer until flush() finds the output ready.
/// Lines beyond the rate or the buffer are dropped and counted, and a later line says how
/// many. Not thread-safe.
class event_loop_logger
{
public:
    explicit event_loop_logger(log_level least) : least_(least) {}
    ~event_loop_logger() = default;
    event_loop_logger(const event_loop_logger&) = delete;
    event_loop_logger& operator=(const event_loop_logger&) = delete;

    void write(log_level level, std::string_view event, std::initializer_list<log_field> fields);
    [[nodiscard]] bool enabled(log_level level) const { return level >= least_; }
    void set_level(log_level least) { least_ = least; }

    /// Writes what the output takes at once; to be called several times a second. The
    /// lines that a second may add are renewed here.
    void flush(time_point now);
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    // A line costs a few microseconds of a tenth of a core; this many leave most of the
    // processor to requests. Warnings and errors may use half as much again.
    static constexpr double lines_per_second = 300.0;
    static constexpr std::size_t buffer_bytes = std::size_t{256} * 1024;

    log_level least_;
    fmt::memory_buffer pending_;
    // Lines that may still be written; below lines_per_second.
    double allowance_ = lines_per_second;
    time_point renewed_at_{};
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_reported_ = 0;
};

} // namespace ebonywick
