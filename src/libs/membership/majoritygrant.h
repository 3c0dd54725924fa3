// Validity of a grant that needs a majority of the monitors of one host.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <map>
#include <vector>

namespace ebonywick {

/// Grants of one kind from the monitors of one host: this host's own lease, or the
/// fences against another host. Not thread-safe.
class majority_grant
{
public:
    /// Replaces the monitors. The grants of those that stay remain valid.
    void set_monitors(const std::vector<host_id>& monitors);
    /// `monitor` granted until `until`, counted on this host's clock from the moment
    /// of the request, which is earlier than the grant. Ignored if it is no monitor.
    void grant(const host_id& monitor, time_point until);
    void clear();

    /// Until when a majority of the monitors has granted; time_point{} if never.
    [[nodiscard]] time_point until() const;
    [[nodiscard]] const std::vector<host_id>& monitors() const { return monitors_; }

private:
    std::vector<host_id> monitors_;
    std::map<host_id, time_point> grants_;
};

} // namespace ebonywick
