// Timers of the event loop, multiplexed on one asio timer.
#pragma once

#include "base/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <set>
#include <utility>

namespace ebonywick {

class timer_queue;

/// One-shot timer that calls a function at its deadline. The function must not destroy the
/// timer before it returns. Not thread-safe.
class loop_timer
{
public:
    loop_timer(timer_queue& queue, std::function<void()> expired);
    ~loop_timer();
    loop_timer(const loop_timer&) = delete;
    loop_timer& operator=(const loop_timer&) = delete;

    /// Replaces the deadline; time_point::max() cancels it.
    void set(time_point at);
    void set_after(duration wait);
    void cancel();

private:
    friend class timer_queue;

    timer_queue& queue_;
    std::function<void()> expired_;
    // time_point::max() if no deadline is set.
    time_point at_ = time_point::max();
};

/// Orders the deadlines of its timers. Not thread-safe.
class timer_queue
{
public:
    timer_queue(boost::asio::io_context& loop, now_function now);
    /// Cancels all timers. They may be destroyed later, but not set again.
    ~timer_queue();
    timer_queue(const timer_queue&) = delete;
    timer_queue& operator=(const timer_queue&) = delete;

    [[nodiscard]] time_point now() const { return now_(); }
    /// Calls the functions of the timers that are due. The event loop does so by itself; a clock
    /// that is set by hand needs it after each change.
    void run_due();

private:
    friend class loop_timer;

    void insert(loop_timer& timer);
    void erase(loop_timer& timer);
    void arm();

    now_function now_;
    boost::asio::steady_timer system_timer_;
    // Time for which system_timer_ is set; time_point::max() if it is not.
    time_point armed_for_ = time_point::max();
    std::set<std::pair<time_point, loop_timer*>> timers_;
};

} // namespace ebonywick
