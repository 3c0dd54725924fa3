// Fences that this host holds against other hosts. While a fence is valid, the
// fenced host gets no lease from a majority of its monitors, so that this host may
// act in its place.
#pragma once

#include "membership/majoritygrant.h"
#include "membership/membershipagent.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace ebonywick {

/// Sends fence requests and tracks until when each host is fenced. Not thread-safe.
class fence_tracker
{
public:
    explicit fence_tracker(host_id self) : self_(std::move(self)) {}

    /// Sets the monitors of `subject`, which may change with the roster. For a host
    /// that left the roster they are its last ones.
    void set_monitors(const host_id& subject, const std::vector<host_id>& monitors);
    /// `subject` cannot get a lease before `until`, because all its monitors refuse
    /// grants until then. Counts like a fence.
    void note_no_lease_before(const host_id& subject, time_point until);
    /// Forgets all hosts outside `kept`.
    void retain_only(const std::set<host_id>& kept);

    /// Returns the requests that are due for the wanted fences.
    std::vector<membership_action> request(const std::set<host_id>& wanted, time_point now);
    /// Requests a fence from `monitor`, which has reported that `subject` is absent,
    /// unless the fence is still valid.
    std::vector<membership_action> request_now(const host_id& subject, const host_id& monitor,
                                               time_point now);
    void note_reply(const fence_reply& reply);

    /// Until when `subject` cannot act as a holder; time_point{} if unknown.
    [[nodiscard]] time_point fenced_until(const host_id& subject) const;
    [[nodiscard]] bool any_unexpired(time_point now) const;

private:
    struct pending_request
    {
        host_id subject;
        time_point sent{};
    };
    struct fence
    {
        majority_grant grants;
        time_point no_lease_before{};
        time_point next_request{};
    };

    membership_action make_request(const host_id& subject, const host_id& monitor, time_point now);

    host_id self_;
    std::map<host_id, fence> fences_;
    std::map<std::uint64_t, pending_request> pending_requests_;
    std::uint64_t sequence_ = 0;
};

} // namespace ebonywick
