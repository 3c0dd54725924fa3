// HTTP client of the operator tool for calls to the hosts.
#pragma once

#include "base/clock.h"
#include "operatorclient/hoststatus.h"
#include "settings/roster.h"

#include <string>
#include <vector>

namespace ebonywick {

/// Requests the status of all hosts, 32 at a time. The result has the order of `hosts`.
/// `timeout` limits connecting, sending and receiving each; a host that does not reply has no
/// report.
[[nodiscard]] std::vector<polled_host> poll_hosts(const std::vector<roster_host>& hosts,
                                                  duration timeout);

/// Sends the object of kind `config` or `roster`, encoded in `body`, to all hosts. Returns the
/// hosts that did not accept it; they receive it from their neighbours.
[[nodiscard]] std::vector<host_id> push_object(const std::vector<roster_host>& hosts,
                                               const std::string& kind, object_version version,
                                               const std::string& body, duration timeout);

} // namespace ebonywick
