// Runs functions at given times on one thread.
#pragma once

#include "base/clock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <queue>
#include <thread>
#include <vector>

namespace ebonywick {

/// Thread-safe. Functions run in order of time, those for the same time in the order
/// in which they were scheduled. They must not block or throw.
class timer_service
{
public:
    timer_service();
    /// Waits for the function in progress and discards those that have not run.
    ~timer_service();
    timer_service(const timer_service&) = delete;
    timer_service& operator=(const timer_service&) = delete;

    void schedule(time_point when, std::function<void()> function);

private:
    struct entry
    {
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> function;

        // Reversed, because std::priority_queue has its largest element on top.
        bool operator<(const entry& other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    void run(const std::stop_token& stop);

    std::mutex mutex_;
    std::condition_variable_any changed_;
    // Guarded by mutex_; the earliest entry is on top.
    std::priority_queue<entry> entries_;
    std::uint64_t next_order_ = 0;
    std::jthread thread_;
};

} // namespace ebonywick
