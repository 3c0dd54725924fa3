// Structured log to standard error, one line of `key=value` pairs for each
// record, written by its own thread.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace ebonywick {

enum class log_level { debug, info, warning, error };

/// One `key=value` pair; the value is quoted where needed.
struct log_field
{
    log_field(std::string_view k, std::string_view v) : key(k), value(v) {}
    log_field(std::string_view k, const std::string& v) : key(k), value(v) {}
    log_field(std::string_view k, const char* v) : key(k), value(v) {}
    log_field(std::string_view k, std::string&& v) : key(k), value(std::move(v)) {}
    log_field(std::string_view k, std::uint64_t v) : key(k), value(std::to_string(v)) {}
    log_field(std::string_view k, std::uint32_t v) : key(k), value(std::to_string(v)) {}

    std::string_view key;
    std::string value;
};

/// Thread-safe. Lines that find the queue full are dropped and counted, and a
/// later line says how many.
class logger
{
public:
    explicit logger(log_level least, std::size_t queue_lines = 65536);
    ~logger();
    logger(const logger&) = delete;
    logger& operator=(const logger&) = delete;

    void write(log_level level, std::string_view event, std::initializer_list<log_field> fields);
    [[nodiscard]] bool enabled(log_level level) const { return level >= least_; }
    /// Lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    struct state;

    log_level least_;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
