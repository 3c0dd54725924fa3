// Records calls and executed orders for the history checker.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace ebonywick::standin {

/// One event of an upstream.
struct call_event
{
    time_point time;
    // `start`, `end` or `order`.
    std::string_view event;
    std::string_view upstream;
    std::string_view call;
    // For `end` the status, for `order` the idempotency key.
    std::string_view detail;
    std::uint64_t version = 0;
};

/// Thread-safe. Appends one JSON line for each event; `t` is CLOCK_BOOTTIME in
/// nanoseconds.
class recorder
{
public:
    /// Records nothing if `path` is empty. Throws std::system_error if the file can't be
    /// opened.
    explicit recorder(const std::string& path);

    void write(const call_event& event);
    void flush();

private:
    std::mutex mutex_;
    std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
};

} // namespace ebonywick::standin
