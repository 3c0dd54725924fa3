// Round robin over the callers with waiting requests.
#include "admission/fairqueue.h"

#include <algorithm>
#include <utility>

namespace ebonywick {

void fair_queue::push(waiting_request request)
{
    auto known = by_caller_.find(request.caller);
    if (known == by_caller_.end()) {
        // A caller whose queue was empty goes to the end of the round, so that it gains nothing
        // by keeping its queue short.
        callers_.push_back(caller_queue{request.caller, {}});
        known = by_caller_.emplace(request.caller, std::prev(callers_.end())).first;
    }
    const caller_position caller = known->second;
    const request_id id = request.id;
    const auto deadline = deadlines_.emplace(request.start_by, id);
    caller->entries.push_back(entry{std::move(request), deadline});
    by_id_.emplace(id, position{caller, std::prev(caller->entries.end())});
}

waiting_request fair_queue::extract(const position& from)
{
    waiting_request request = std::move(from.entry_position->request);
    deadlines_.erase(from.entry_position->deadline);
    from.caller->entries.erase(from.entry_position);
    by_id_.erase(request.id);
    if (from.caller->entries.empty()) {
        by_caller_.erase(request.caller);
        callers_.erase(from.caller);
    }
    return request;
}

std::optional<waiting_request> fair_queue::pop()
{
    if (callers_.empty())
        return std::nullopt;
    const caller_position first = callers_.begin();
    callers_.splice(callers_.end(), callers_, first);
    return extract(position{first, first->entries.begin()});
}

bool fair_queue::remove(const request_id& id)
{
    const auto it = by_id_.find(id);
    if (it == by_id_.end())
        return false;
    const position from = it->second;
    extract(from);
    return true;
}

std::optional<waiting_request> fair_queue::pop_from_longest()
{
    const caller_position longest = std::max_element(
        callers_.begin(), callers_.end(), [](const caller_queue& a, const caller_queue& b) {
            return a.entries.size() < b.entries.size();
        });
    if (longest == callers_.end())
        return std::nullopt;
    return extract(position{longest, std::prev(longest->entries.end())});
}

std::vector<waiting_request> fair_queue::remove_expired(time_point now)
{
    std::vector<waiting_request> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const position from = by_id_.at(deadlines_.begin()->second);
        expired.push_back(extract(from));
    }
    return expired;
}

std::size_t fair_queue::waiting_of(const caller_id& caller) const
{
    const auto it = by_caller_.find(caller);
    return it == by_caller_.end() ? 0 : it->second->entries.size();
}

} // namespace ebonywick
