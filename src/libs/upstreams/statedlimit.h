// Limits of calls that upstreams state in their replies, and their exchange between hosts.
#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace ebonywick {

/// What an upstream states in a reply about the calls that it takes from all hosts together.
struct stated_limit
{
    // Empty: the upstream states no limit.
    std::optional<double> calls_per_second;

    auto operator<=>(const stated_limit&) const = default;
};

/// What a host knows of the limit of an upstream.
struct limit_report
{
    // upstream_table::report_key() of the upstream.
    std::uint32_t upstream = 0;
    stated_limit limit;
    // Since the upstream stated it, in whole milliseconds on the wire.
    duration age{};

    auto operator<=>(const limit_report&) const = default;
};

} // namespace ebonywick
