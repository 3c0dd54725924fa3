// Fences that this host holds of others: which to ask for, and how long they
// last.
#pragma once

#include "membership/majoritygrant.h"
#include "membership/membershipagent.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace ebonywick {

/// Not thread-safe.
class fence_keeper
{
public:
    explicit fence_keeper(host_id self) : self_(std::move(self)) {}

    /// Monitors of `subject`. They may differ after a roster change; the fences
    /// of hosts that left the roster go on with their last monitors.
    void set_monitors(const host_id& subject, const std::vector<host_id>& monitors);
    /// `subject` cannot have a lease before `until`, because all its monitors
    /// hold off.
    void note_no_lease_before(const host_id& subject, time_point until);
    /// Drops everything about hosts outside `kept`.
    void forget_except(const std::set<host_id>& kept);

    /// Requests that are due for the wanted fences.
    std::vector<membership_action> request(const std::set<host_id>& wanted, time_point now);
    /// `monitor` reports that `subject` is absent: asks it at once.
    std::vector<membership_action> ask_at_once(const host_id& subject, const host_id& monitor,
                                               time_point now);
    void note_reply(const fence_reply& reply);

    [[nodiscard]] time_point fenced_until(const host_id& subject) const;
    [[nodiscard]] bool any_unexpired(time_point now) const;

private:
    struct asked
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

    membership_action ask(const host_id& subject, const host_id& monitor, time_point now);

    host_id self_;
    std::map<host_id, fence> fences_;
    std::map<std::uint64_t, asked> asked_;
    std::uint64_t sequence_ = 0;
};

} // namespace ebonywick
