// Requests and lifetimes of fences.
#include "membership/fencekeeper.h"

#include "membership/leaseregistry.h"

#include <algorithm>

namespace ebonywick {

namespace {

using namespace std::chrono_literals;

// A fence lasts 2,000 ms, so that renewal survives the loss of two requests.
// A refused fence is asked for again at the same pace; the monitors report when a
// host turns absent.
constexpr duration request_interval = 500ms;

} // namespace

void fence_keeper::set_monitors(const host_id& subject, const std::vector<host_id>& monitors)
{
    fences_[subject].grants.set_monitors(monitors);
}

void fence_keeper::note_no_lease_before(const host_id& subject, time_point until)
{
    time_point& known = fences_[subject].no_lease_before;
    known = std::max(known, until);
}

void fence_keeper::forget_except(const std::set<host_id>& kept)
{
    std::erase_if(fences_, [&](const auto& it) { return !kept.contains(it.first); });
}

membership_action fence_keeper::ask(const host_id& subject, const host_id& monitor, time_point now)
{
    asked_.emplace(++sequence_, asked{subject, now});
    return send_control{monitor, fence_request{self_, subject, sequence_}};
}

std::vector<membership_action> fence_keeper::request(const std::set<host_id>& wanted,
                                                     time_point now)
{
    std::erase_if(asked_, [&](const auto& it) { return now - it.second.sent >= lease_duration; });
    std::vector<membership_action> actions;
    for (const host_id& subject : wanted) {
        const auto it = fences_.find(subject);
        if (it == fences_.end() || now < it->second.next_request)
            continue;
        it->second.next_request = now + request_interval;
        for (const host_id& monitor : it->second.grants.monitors())
            actions.push_back(ask(subject, monitor, now));
    }
    return actions;
}

std::vector<membership_action> fence_keeper::ask_at_once(const host_id& subject,
                                                         const host_id& monitor, time_point now)
{
    const auto it = fences_.find(subject);
    if (it == fences_.end() || now < it->second.grants.until())
        return {};
    const auto& monitors = it->second.grants.monitors();
    if (std::find(monitors.begin(), monitors.end(), monitor) == monitors.end())
        return {};
    return {ask(subject, monitor, now)};
}

void fence_keeper::note_reply(const fence_reply& reply)
{
    const auto it = asked_.find(reply.sequence);
    if (it == asked_.end() || it->second.subject != reply.subject)
        return;
    const auto known = fences_.find(reply.subject);
    if (reply.granted && known != fences_.end())
        known->second.grants.grant(reply.from, it->second.sent + lease_duration);
    asked_.erase(it);
}

time_point fence_keeper::fenced_until(const host_id& subject) const
{
    const auto it = fences_.find(subject);
    return it == fences_.end() ? time_point{}
                               : std::max(it->second.grants.until(), it->second.no_lease_before);
}

bool fence_keeper::any_unexpired(time_point now) const
{
    return std::any_of(fences_.begin(), fences_.end(), [&](const auto& it) {
        return now < std::max(it.second.grants.until(), it.second.no_lease_before);
    });
}

} // namespace ebonywick
