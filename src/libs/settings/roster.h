// The roster: the hosts of the system and the witnesses among them. It is the
// content of the store object `ebonywick/roster`.
#pragma once

#include "base/identifiers.h"
#include "settings/declaration.h"

#include <compare>
#include <vector>

namespace ebonywick {

/// A host and the addresses at which it listens.
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
    // The former witnesses while a witness is being replaced, otherwise empty.
    std::vector<host_id> previous_witnesses;

    /// Null if the host is not in the roster. The pointer is valid until `hosts` changes.
    [[nodiscard]] const roster_host* find(const host_id& id) const;

    auto operator<=>(const roster&) const = default;
};

} // namespace ebonywick
