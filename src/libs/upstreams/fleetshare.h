// Division of a rate limit of the whole fleet among the hosts that send calls.
#pragma once

#include "base/identifiers.h"

#include <compare>
#include <string_view>
#include <vector>

namespace ebonywick {

/// Every host computes its own part. The parts of all hosts add up to the limit if the hosts agree
/// on who sends calls. Not thread-safe.
class fleet_share
{
public:
    /// `self` is this host. Until set_hosts() it is the only one.
    explicit fleet_share(host_id self) : self_(std::move(self)), hosts_{self_} {}

    /// Sets the hosts that send calls, possibly without this one, which has no part then. Returns
    /// false if they are the same as before.
    bool set_hosts(std::vector<host_id> hosts);
    /// Calls per second that this host may send of the fleet's `calls_per_second`. If the limit is
    /// too low for the number of hosts, some of them share it alone; which ones depends on `key`,
    /// so that different limits are given to different hosts.
    [[nodiscard]] double part_of(double calls_per_second, std::string_view key) const;

private:
    host_id self_;
    // Sorted.
    std::vector<host_id> hosts_;
};

} // namespace ebonywick
