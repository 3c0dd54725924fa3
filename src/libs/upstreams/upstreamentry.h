// Registration of an upstream as the store has it.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "settings/declaration.h"

#include <compare>
#include <cstdint>
#include <string>

namespace ebonywick {

/// Registration of an upstream.
struct upstream_entry
{
    upstream_id id;
    service_name service;
    endpoint address;
    failure_domain_id domain;
    // Calls that the upstream runs at once.
    std::uint32_t slots = 1;
    bool leaving = false;
    // Rest of the cold start at the time of the entry; zero: warm.
    duration cold_remaining{};
    // Version of its software; empty if the entry states none.
    std::string version = {};
    // Changes when the upstream restarts under the same id.
    std::uint64_t incarnation = 0;

    auto operator<=>(const upstream_entry&) const = default;
};

} // namespace ebonywick
