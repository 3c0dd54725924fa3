// The roster: the hosts of the system and the witnesses among them. It is the
// content of the store object `ebonywick/roster`.
#pragma once

#include "base/identifiers.h"
#include "settings/declaration.h"

#include <compare>
#include <vector>

namespace ebonywick {

struct roster_host
{
    host_id id;
    failure_domain_id domain;
    endpoint http;
    endpoint control;
    endpoint dispatch;

    auto operator<=>(const roster_host&) const = default;
};

struct roster
{
    // Sorted by id.
    std::vector<roster_host> hosts;
    // Hosts that confirm which versions are current; at most 5.
    std::vector<host_id> witnesses;
    // While a witness is being replaced: the former witnesses; otherwise empty.
    std::vector<host_id> previous_witnesses;

    [[nodiscard]] const roster_host* find(const host_id& id) const;

    auto operator<=>(const roster&) const = default;
};

} // namespace ebonywick
