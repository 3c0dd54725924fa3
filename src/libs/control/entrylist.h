// Which entry hosts callers may use, and when a leaving host may stop.
#pragma once

#include "base/clock.h"
#include "membership/hoststate.h"
#include "settings/roster.h"

#include <compare>
#include <cstddef>
#include <functional>
#include <vector>

namespace ebonywick {

/// Time for which callers keep the list of entry hosts.
inline constexpr duration entry_list_validity = std::chrono::milliseconds{5000};
/// Longest time between a caller's look at its list and the arrival of its request
/// that a leaving host waits for.
inline constexpr duration request_transit = std::chrono::milliseconds{1000};

struct entry_host
{
    host_id id;
    endpoint address;
    failure_domain_id domain;

    auto operator<=>(const entry_host&) const = default;
};

/// Serving hosts outside the domains that are out, in an order that differs from
/// caller to caller, so that callers spread over the hosts.
[[nodiscard]] std::vector<entry_host>
entry_hosts(const roster& hosts, const configuration& config,
            const std::function<host_status(const host_id&)>& status_of, const caller_id& caller);

enum class drain_phase { serving, announced, handing_over, finished };

/// Sequence of a graceful shutdown. Not thread-safe.
class drain_sequence
{
public:
    void begin(time_point now);
    /// Moves on as far as time and work in progress allow. `requests` counts the
    /// callers' requests in progress, `calls` the calls at this host's gates.
    drain_phase advance(time_point now, std::size_t requests, std::size_t calls);
    [[nodiscard]] drain_phase phase() const { return phase_; }

private:
    drain_phase phase_ = drain_phase::serving;
    time_point began_{};
};

} // namespace ebonywick
