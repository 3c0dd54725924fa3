// Thread that waits for the earliest entry and runs its function.
#include "node/timerservice.h"

#include <utility>

namespace ebonywick {

timer_service::timer_service() : thread_([this](const std::stop_token& stop) { run(stop); }) {}

timer_service::~timer_service()
{
    thread_.request_stop();
    changed_.notify_all();
    thread_.join();
}

void timer_service::schedule(time_point when, std::function<void()> function)
{
    const std::lock_guard lock{mutex_};
    const bool earliest = entries_.empty() || when < entries_.top().when;
    entries_.push(entry{when, next_order_++, std::move(function)});
    if (earliest)
        changed_.notify_one();
}

void timer_service::run(const std::stop_token& stop)
{
    std::unique_lock lock{mutex_};
    while (!stop.stop_requested()) {
        if (entries_.empty()) {
            changed_.wait(lock, stop, [this] { return !entries_.empty(); });
            continue;
        }
        const duration left = entries_.top().when - boot_clock::now();
        if (left > duration::zero()) {
            changed_.wait_for(lock, left);
            continue;
        }
        const std::function<void()> function = entries_.top().function;
        entries_.pop();
        lock.unlock();
        function();
        lock.lock();
    }
}

} // namespace ebonywick
