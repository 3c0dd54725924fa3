// What hosts report about themselves, and what follows from it for the operator.
#pragma once

#include "base/identifiers.h"
#include "settings/roster.h"

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace ebonywick {

/// Reply to `GET /v1/status`.
struct host_report
{
    host_id id;
    std::string incarnation;
    // joining, serving, leaving or down.
    std::string status;
    // The host has confirmed that its configuration is the newest.
    bool is_current = false;
    object_version config_version = 0;
    object_version roster_version = 0;
    std::string preset;
    std::size_t held = 0;
    failure_domain_id domain;

    auto operator<=>(const host_report&) const = default;
};

/// A host that was asked; no report if it did not answer.
struct asked_host
{
    host_id id;
    endpoint http;
    std::optional<host_report> report;

    auto operator<=>(const asked_host&) const = default;
};

/// Empty if the text is not a status reply. Unknown keys are ignored, so that
/// the tool can ask hosts of a later release.
[[nodiscard]] std::optional<host_report> parse_status(const std::string& text);

/// True if at least one host answered and each that did has the version.
[[nodiscard]] bool have_version(const std::vector<asked_host>& hosts, object_version version);

/// Table for the terminal, one line for each host.
[[nodiscard]] std::string status_table(const std::vector<asked_host>& hosts);

/// Up to five hosts, spread over the failure domains; an odd number, so that a
/// majority survives as many losses as possible. Serving hosts come first, then
/// joining ones: hosts restarted after the loss of the witnesses stay joining.
[[nodiscard]] std::vector<host_id> choose_witnesses(const std::vector<asked_host>& hosts);

} // namespace ebonywick
