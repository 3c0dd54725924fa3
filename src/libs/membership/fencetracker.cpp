// Requests fences from monitors and tracks their expiry.
#include "membership/fencetracker.h"

#include "membership/leaseregistry.h"

#include <algorithm>

namespace ebonywick {

namespace {

using namespace std::chrono_literals;

// A fence lasts 2,000 ms, so its renewal survives the loss of two requests. A
// refused fence is requested again at the same interval, which is often enough
// because monitors report when a host becomes absent.
constexpr duration request_interval = 500ms;

} // namespace

void fence_tracker::set_monitors(const host_id& subject, const std::vector<host_id>& monitors)
{
    fences_[subject].grants.set_monitors(monitors);
}

void fence_tracker::note_no_lease_before(const host_id& subject, time_point until)
{
    time_point& known = fences_[subject].no_lease_before;
    known = std::max(known, until);
}

void fence_tracker::retain_only(const std::set<host_id>& kept)
{
    std::erase_if(fences_, [&](const auto& it) { return !kept.contains(it.first); });
}

membership_action fence_tracker::make_request(const host_id& subject, const host_id& monitor,
                                              time_point now)
{
    pending_requests_.emplace(++sequence_, pending_request{subject, now});
    return send_control{monitor, fence_request{self_, subject, sequence_}};
}

std::vector<membership_action> fence_tracker::request(const std::set<host_id>& wanted,
                                                      time_point now)
{
    std::erase_if(pending_requests_,
                  [&](const auto& it) { return now - it.second.sent >= lease_duration; });
    std::vector<membership_action> actions;
    for (const host_id& subject : wanted) {
        const auto it = fences_.find(subject);
        if (it == fences_.end() || now < it->second.next_request)
            continue;
        it->second.next_request = now + request_interval;
        for (const host_id& monitor : it->second.grants.monitors())
            actions.push_back(make_request(subject, monitor, now));
    }
    return actions;
}

std::vector<membership_action> fence_tracker::request_now(const host_id& subject,
                                                          const host_id& monitor, time_point now)
{
    const auto it = fences_.find(subject);
    if (it == fences_.end() || now < it->second.grants.until())
        return {};
    const auto& monitors = it->second.grants.monitors();
    if (std::find(monitors.begin(), monitors.end(), monitor) == monitors.end())
        return {};
    return {make_request(subject, monitor, now)};
}

void fence_tracker::note_reply(const fence_reply& reply)
{
    const auto it = pending_requests_.find(reply.sequence);
    if (it == pending_requests_.end() || it->second.subject != reply.subject)
        return;
    const auto known = fences_.find(reply.subject);
    if (reply.granted && known != fences_.end())
        known->second.grants.grant(reply.from, it->second.sent + lease_duration);
    pending_requests_.erase(it);
}

time_point fence_tracker::fenced_until(const host_id& subject) const
{
    const auto it = fences_.find(subject);
    return it == fences_.end() ? time_point{}
                               : std::max(it->second.grants.until(), it->second.no_lease_before);
}

bool fence_tracker::any_unexpired(time_point now) const
{
    return std::any_of(fences_.begin(), fences_.end(), [&](const auto& it) {
        return now < std::max(it.second.grants.until(), it.second.no_lease_before);
    });
}

} // namespace ebonywick
