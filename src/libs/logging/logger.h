// Structured log on standard error: one line of `key=value` pairs for each record, written by a
// separate thread.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace ebonywick {

enum class log_level { debug, info, warning, error };

/// One `key=value` pair of a record; the value is quoted in the line if necessary.
struct log_field
{
    log_field(std::string_view k, std::string_view v) : key(k), value(v) {}
    log_field(std::string_view k, const std::string& v) : key(k), value(v) {}
    log_field(std::string_view k, const char* v) : key(k), value(v) {}
    log_field(std::string_view k, std::string&& v) : key(k), value(std::move(v)) {}
    log_field(std::string_view k, std::uint64_t v) : key(k), value(std::to_string(v)) {}
    log_field(std::string_view k, std::uint32_t v) : key(k), value(std::to_string(v)) {}

    // Not owned; must outlive the field.
    std::string_view key;
    std::string value;
};

/// Thread-safe; write() never waits for the output. Lines that do not fit into the queue are
/// dropped and counted, and a later line reports their number.
class logger
{
public:
    /// Records below `min_level` are ignored; the queue holds `queue_lines` lines.
    explicit logger(log_level min_level, std::size_t queue_lines = 65536);
    /// Writes the lines that are still queued.
    ~logger();
    logger(const logger&) = delete;
    logger& operator=(const logger&) = delete;

    void write(log_level level, std::string_view event, std::initializer_list<log_field> fields);
    [[nodiscard]] bool enabled(log_level level) const { return level >= min_level_; }
    /// Lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    struct state;

    log_level min_level_;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
