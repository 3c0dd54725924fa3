// Look-up of hosts in the roster.
#include "settings/roster.h"

#include <algorithm>

namespace ebonywick {

const roster_host* roster::find(const host_id& id) const
{
    const auto it =
        std::find_if(hosts.begin(), hosts.end(), [&](const auto& host) { return host.id == id; });
    return it == hosts.end() ? nullptr : &*it;
}

} // namespace ebonywick
