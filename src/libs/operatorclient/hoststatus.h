// The status replies of hosts and their evaluation for the operator.
#pragma once

#include "base/identifiers.h"
#include "settings/roster.h"

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace ebonywick {

/// Content of a reply to `GET /v1/status`. Missing values are empty or 0.
struct host_report
{
    host_id id;
    std::string incarnation;
    // joining, serving, leaving or down.
    std::string status;
    // True if the host has confirmed that its configuration is the newest one.
    bool is_current = false;
    object_version config_version = 0;
    object_version roster_version = 0;
    std::string preset;
    // Number of upstreams that the host holds.
    std::size_t held = 0;
    failure_domain_id domain;

    auto operator<=>(const host_report&) const = default;
};

/// A host whose status was requested. `report` is empty if it did not answer.
struct polled_host
{
    host_id id;
    endpoint http;
    std::optional<host_report> report;

    auto operator<=>(const polled_host&) const = default;
};

/// Empty if the text is not a status reply. Unknown keys are ignored, so that the tool can read
/// the status of hosts of a later release.
[[nodiscard]] std::optional<host_report> parse_status(const std::string& text);

/// True if at least one host answered and all that did have this version of the configuration
/// or a later one.
[[nodiscard]] bool all_have_version(const std::vector<polled_host>& hosts, object_version version);

/// Newest version of the configuration that a host has reported; 0 if none answered.
[[nodiscard]] object_version newest_config_version(const std::vector<polled_host>& hosts);

/// Text table for the terminal with one line per host.
[[nodiscard]] std::string status_table(const std::vector<polled_host>& hosts);

/// Up to five witnesses, spread over the failure domains. The number is odd, since an even
/// number tolerates no more losses than the odd number below it. Within a failure domain,
/// serving hosts are preferred to joining ones; the latter are accepted because hosts that
/// restart after the loss of the witnesses cannot leave that state. The result is sorted by id.
[[nodiscard]] std::vector<host_id> choose_witnesses(const std::vector<polled_host>& hosts);

} // namespace ebonywick
