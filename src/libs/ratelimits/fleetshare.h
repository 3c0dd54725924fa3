// Division of a rate limit of the whole fleet among the hosts that send calls.
#pragma once

#include "base/identifiers.h"

#include <compare>
#include <cstddef>
#include <string_view>
#include <vector>

namespace ebonywick {

/// Hosts that divide the limits of the fleet.
struct sharing_hosts
{
    std::vector<host_id> known;
    // Further ones of which only the number is assumed.
    std::size_t unknown = 0;

    [[nodiscard]] std::size_t count() const { return known.size() + unknown; }

    auto operator<=>(const sharing_hosts&) const = default;
};

/// Every host computes its own part. The parts of all hosts add up to the limit if the hosts agree
/// on who sends calls. Not thread-safe.
class fleet_share
{
public:
    /// `self` is this host. Until set_hosts() it is the only one.
    explicit fleet_share(host_id self) : self_(std::move(self)), hosts_{{self_}, 0} {}

    /// Sets the hosts that send calls, possibly without this one, which has no part then. Returns
    /// false if they are the same as before.
    bool set_hosts(sharing_hosts hosts);
    /// Calls per second that this host may send of the fleet's `calls_per_second`. If the limit is
    /// too low for the number of hosts, some of them share it alone; which ones depends on `key`,
    /// so that different limits are given to different hosts.
    [[nodiscard]] double part_of(double calls_per_second, std::string_view key) const;
    /// The same for limits that every host shares, however low they are.
    [[nodiscard]] double equal_part_of(double calls_per_second) const;

private:
    [[nodiscard]] bool includes_self() const;

    host_id self_;
    // The known ones are sorted.
    sharing_hosts hosts_;
};

} // namespace ebonywick
