// Deficit round robin over the callers with waiting requests.
#include "admission/fairqueue.h"

#include <algorithm>
#include <utility>

namespace ebonywick {

void fair_queue::push(waiting_request request)
{
    auto known = by_caller_.find(request.caller);
    if (known == by_caller_.end()) {
        // A caller that comes back goes to the end of the round, so that it gains
        // nothing by keeping its queue short.
        turns_.push_back(caller_queue{request.caller, {}});
        known = by_caller_.emplace(request.caller, std::prev(turns_.end())).first;
    }
    const turn caller = known->second;
    const request_id id = request.id;
    const auto deadline = deadlines_.emplace(request.start_by, id);
    caller->entries.push_back(entry{std::move(request), deadline});
    by_id_.emplace(id, place{caller, std::prev(caller->entries.end())});
}

waiting_request fair_queue::take(const place& from)
{
    waiting_request request = std::move(from.position->request);
    deadlines_.erase(from.position->deadline);
    from.caller->entries.erase(from.position);
    by_id_.erase(request.id);
    if (from.caller->entries.empty()) {
        by_caller_.erase(request.caller);
        turns_.erase(from.caller);
    }
    return request;
}

std::optional<waiting_request> fair_queue::pop()
{
    if (turns_.empty())
        return std::nullopt;
    const turn first = turns_.begin();
    turns_.splice(turns_.end(), turns_, first);
    return take(place{first, first->entries.begin()});
}

bool fair_queue::remove(const request_id& id)
{
    const auto it = by_id_.find(id);
    if (it == by_id_.end())
        return false;
    const place from = it->second;
    take(from);
    return true;
}

std::optional<waiting_request> fair_queue::pop_of_longest()
{
    const turn longest = std::max_element(turns_.begin(), turns_.end(),
                                          [](const caller_queue& a, const caller_queue& b) {
                                              return a.entries.size() < b.entries.size();
                                          });
    if (longest == turns_.end())
        return std::nullopt;
    return take(place{longest, std::prev(longest->entries.end())});
}

std::vector<waiting_request> fair_queue::take_expired(time_point now)
{
    std::vector<waiting_request> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const place from = by_id_.at(deadlines_.begin()->second);
        expired.push_back(take(from));
    }
    return expired;
}

std::size_t fair_queue::size_of(const caller_id& caller) const
{
    const auto it = by_caller_.find(caller);
    return it == by_caller_.end() ? 0 : it->second->entries.size();
}

} // namespace ebonywick
