// HTTP calls of the operator tool to the hosts.
#pragma once

#include "base/clock.h"
#include "operatorclient/hoststatus.h"
#include "settings/roster.h"

#include <string>
#include <vector>

namespace ebonywick {

/// Asks all hosts for their status at once. Blocks for at most about `timeout`
/// for each 32 hosts.
[[nodiscard]] std::vector<asked_host> ask_hosts(const std::vector<roster_host>& hosts,
                                                duration timeout);

/// Sends the object of kind `config` or `roster` to all hosts. Returns the hosts
/// that did not take it; they learn it from their neighbours.
[[nodiscard]] std::vector<host_id> push_object(const std::vector<roster_host>& hosts,
                                               const std::string& kind, object_version version,
                                               const std::string& body, duration timeout);

} // namespace ebonywick
