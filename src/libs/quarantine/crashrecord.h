// What hosts remember and tell each other about requests that crash upstreams.
#pragma once

#include "base/clock.h"
#include "quarantine/requestkey.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace ebonywick {

/// A call of a request.
struct request_run
{
    request_key key;
    // Hash of the id of the caller's attempt.
    std::uint32_t attempt = 0;
    // Hash of the service.
    std::uint32_t service = 0;

    auto operator<=>(const request_run&) const = default;
};

/// A run that ended because its upstream did.
struct crash_record
{
    request_run run;
    // Short name of the upstream and its incarnation, the same on all hosts.
    std::uint32_t upstream = 0;
    time_point at;

    auto operator<=>(const crash_record&) const = default;
};

/// A crash as told to other hosts.
struct crash_report
{
    request_run run;
    std::uint32_t upstream = 0;
    duration age{};

    auto operator<=>(const crash_report&) const = default;
};

/// Bit that stands for a service; some services share it.
[[nodiscard]] constexpr std::uint32_t service_bit(std::uint32_t service)
{
    return std::uint32_t{1} << (service % 32U);
}

/// Requests with this key are rejected.
struct block_report
{
    // One of the hashes of a request_key.
    std::uint64_t key = 0;
    // Number of times it was blocked, from 1.
    std::uint32_t strikes = 0;
    // service_bit() of each service whose upstreams have ended. Only a reply from one of them ends
    // the block: another service runs another part of the request.
    std::uint32_t services = 0;
    // Since the block began.
    duration age{};

    auto operator<=>(const block_report&) const = default;
};

/// An upstream of this service has run a request with this key to its end.
struct release_report
{
    std::uint64_t key = 0;
    std::uint32_t service = 0;
    duration age{};

    auto operator<=>(const release_report&) const = default;
};

/// What a host tells others; a part of it if there is much.
struct quarantine_report
{
    std::vector<crash_report> crashes = {};
    std::vector<block_report> blocks = {};
    std::vector<release_report> releases = {};

    [[nodiscard]] bool empty() const
    {
        return crashes.empty() && blocks.empty() && releases.empty();
    }

    auto operator<=>(const quarantine_report&) const = default;
};

} // namespace ebonywick
