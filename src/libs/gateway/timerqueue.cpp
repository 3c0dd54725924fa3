// The asio timer is set only if a deadline becomes the earliest, because setting it costs a
// system call.
#include "gateway/timerqueue.h"

namespace ebonywick {

loop_timer::loop_timer(timer_queue& queue, std::function<void()> expired)
    : queue_(queue), expired_(std::move(expired))
{
}

loop_timer::~loop_timer()
{
    cancel();
}

void loop_timer::set(time_point at)
{
    if (at == at_)
        return;
    cancel();
    at_ = at;
    if (at != time_point::max())
        queue_.insert(*this);
}

void loop_timer::set_after(duration wait)
{
    set(queue_.now() + wait);
}

void loop_timer::cancel()
{
    if (at_ != time_point::max())
        queue_.erase(*this);
    at_ = time_point::max();
}

timer_queue::timer_queue(boost::asio::io_context& loop, now_function now)
    : now_(std::move(now)), system_timer_(loop)
{
}

timer_queue::~timer_queue()
{
    for (const auto& [at, timer] : timers_)
        timer->at_ = time_point::max();
}

void timer_queue::insert(loop_timer& timer)
{
    timers_.emplace(timer.at_, &timer);
    if (timer.at_ < armed_for_)
        arm();
}

void timer_queue::erase(loop_timer& timer)
{
    timers_.erase({timer.at_, &timer});
}

void timer_queue::arm()
{
    if (timers_.empty())
        return;
    armed_for_ = timers_.begin()->first;
    system_timer_.expires_after(std::max<duration>(armed_for_ - now(), duration::zero()));
    system_timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            run_due();
    });
}

void timer_queue::run_due()
{
    armed_for_ = time_point::max();
    const time_point current = now();
    while (!timers_.empty() && timers_.begin()->first <= current) {
        loop_timer& due = *timers_.begin()->second;
        timers_.erase(timers_.begin());
        due.at_ = time_point::max();
        due.expired_();
    }
    if (!timers_.empty() && timers_.begin()->first < armed_for_)
        arm();
}

} // namespace ebonywick
