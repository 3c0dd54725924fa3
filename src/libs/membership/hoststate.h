// Status of a host, and the records about hosts and versions that hosts exchange.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace ebonywick {

/// A joining host has no lease yet; a leaving host still finishes its work.
enum class host_status { joining, serving, leaving, down };

/// Name of the status in logs and replies.
[[nodiscard]] constexpr std::string_view to_string(host_status status)
{
    switch (status) {
    case host_status::joining:
        return "joining";
    case host_status::serving:
        return "serving";
    case host_status::leaving:
        return "leaving";
    case host_status::down:
        return "down";
    }
    return "down";
}

/// Status of a host at one moment. A larger (incarnation, sequence) is newer.
struct member_update
{
    host_id host;
    incarnation_number incarnation = 0;
    std::uint32_t sequence = 0;
    host_status status = host_status::joining;

    auto operator<=>(const member_update&) const = default;
};

/// Statement of a witness that it knows no versions newer than these.
struct currency_token
{
    host_id witness;
    incarnation_number incarnation = 0;
    object_version config = 0;
    object_version roster = 0;
    // Upper bound of the time since the witness issued the token.
    duration age = duration::zero();

    auto operator<=>(const currency_token&) const = default;
};

} // namespace ebonywick
