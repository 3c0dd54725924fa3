// List of the entry hosts that callers may use, and the phases of a graceful
// shutdown.
#pragma once

#include "base/clock.h"
#include "membership/hoststate.h"
#include "settings/roster.h"

#include <compare>
#include <cstddef>
#include <functional>
#include <vector>

namespace ebonywick {

/// Time for which callers may use a list of entry hosts.
inline constexpr duration entry_list_validity = std::chrono::milliseconds{5000};
/// Longest time that a leaving host allows between a caller's choice of an entry host
/// and the arrival of its request.
inline constexpr duration max_request_transit = std::chrono::milliseconds{1000};

struct entry_host
{
    host_id id;
    // For callers' HTTP requests.
    endpoint address;
    failure_domain_id domain;

    auto operator<=>(const entry_host&) const = default;
};

/// Returns the serving hosts whose failure domain is not out. The order depends on the
/// caller, so that callers spread over the hosts, and is stable for one caller.
[[nodiscard]] std::vector<entry_host>
entry_hosts(const roster& hosts, const configuration& config,
            const std::function<host_status(const host_id&)>& status_of, const caller_id& caller);

/// Phases of a graceful shutdown, in their order:
/// - announced: the leave is being announced, and callers may still use this host;
/// - handing_over: callers no longer use this host as entry host, and its calls as
///   holder come to an end;
/// - finished: no request and no call is in progress.
enum class drain_phase { serving, announced, handing_over, finished };

/// State of a graceful shutdown. Not thread-safe.
class drain_sequence
{
public:
    /// Starts the shutdown; further calls have no effect.
    void begin(time_point now);
    /// Enters each following phase whose conditions are met. `requests` is the number
    /// of callers' requests in progress, `calls` that of the calls that this host runs
    /// or queues as holder.
    drain_phase advance(time_point now, std::size_t requests, std::size_t calls);
    [[nodiscard]] drain_phase phase() const { return phase_; }

private:
    drain_phase phase_ = drain_phase::serving;
    time_point started_at_{};
};

} // namespace ebonywick
