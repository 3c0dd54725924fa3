// Order of the calls that wait for a slot of one upstream.
#include "dispatch/callqueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ebonywick {

std::uint64_t call_queue::next_round_of(const caller_id& caller) const
{
    std::uint64_t last = current_round_;
    for (const queued_call& it : batch_) {
        if (it.call.caller == caller)
            last = std::max(last, it.round);
    }
    return last + 1;
}

std::size_t call_queue::calls_ahead_of(const dispatcher_call& call) const
{
    if (call.traffic == request_class::interactive)
        return interactive_.size();
    const std::uint64_t round = next_round_of(call.caller);
    const auto earlier = std::count_if(batch_.begin(), batch_.end(),
                                       [&](const queued_call& it) { return it.round <= round; });
    return interactive_.size() + static_cast<std::size_t>(earlier);
}

void call_queue::push(const dispatcher_call& call, time_point now)
{
    if (call.traffic == request_class::interactive)
        interactive_.push_back({call, now});
    else
        batch_.push_back({call, now, next_round_of(call.caller)});
}

bool call_queue::is_batch_due(time_point now, bool overdue_batch_running) const
{
    // At most one overdue batch call runs at a time, and never two are served in a
    // row, so that they do not starve interactive calls.
    return !overdue_batch_running && !last_was_overdue_ &&
           now - batch_.front().queued_at >= max_batch_wait;
}

std::optional<queued_call> call_queue::pop(time_point now, bool overdue_batch_running)
{
    if (!batch_.empty() && (interactive_.empty() || is_batch_due(now, overdue_batch_running))) {
        // An overdue call is served by age, any other batch call by round.
        auto next = batch_.begin();
        if (interactive_.empty()) {
            next = std::min_element(
                batch_.begin(), batch_.end(),
                [](const queued_call& a, const queued_call& b) { return a.round < b.round; });
            current_round_ = next->round;
        }
        last_was_overdue_ = !interactive_.empty();
        queued_call taken = std::move(*next);
        batch_.erase(next);
        taken.overdue = last_was_overdue_;
        return taken;
    }
    if (interactive_.empty())
        return std::nullopt;
    last_was_overdue_ = false;
    queued_call taken = std::move(interactive_.front());
    interactive_.pop_front();
    return taken;
}

bool call_queue::remove(const call_id& id)
{
    const auto same = [&](const queued_call& it) {
        return it.call.id == id;
    };
    return std::erase_if(interactive_, same) + std::erase_if(batch_, same) > 0;
}

std::vector<queued_call> call_queue::take_expired(time_point now)
{
    std::vector<queued_call> expired;
    const auto check = [&](const queued_call& it) {
        if (it.call.deadline > now)
            return false;
        expired.push_back(it);
        return true;
    };
    std::erase_if(interactive_, check);
    std::erase_if(batch_, check);
    return expired;
}

std::vector<queued_call> call_queue::take_all()
{
    std::vector<queued_call> all(std::make_move_iterator(interactive_.begin()),
                                 std::make_move_iterator(interactive_.end()));
    std::move(batch_.begin(), batch_.end(), std::back_inserter(all));
    interactive_.clear();
    batch_.clear();
    return all;
}

} // namespace ebonywick
