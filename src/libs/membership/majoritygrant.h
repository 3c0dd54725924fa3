// Grants of a majority of the monitors of one host, counted from the moment at
// which each was asked for.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <map>
#include <vector>

namespace ebonywick {

/// Grants from the monitors of one host, of one kind: the own lease, or fences
/// of another host. Not thread-safe.
class majority_grant
{
public:
    /// Grants of hosts that stay monitors remain valid.
    void set_monitors(const std::vector<host_id>& monitors);
    /// `monitor` granted until `until`, on this host's clock.
    void grant(const host_id& monitor, time_point until);
    void clear();

    /// Until when a majority of the monitors have granted.
    [[nodiscard]] time_point until() const;
    [[nodiscard]] const std::vector<host_id>& monitors() const { return monitors_; }

private:
    std::vector<host_id> monitors_;
    std::map<host_id, time_point> grants_;
};

} // namespace ebonywick
