// Load balancing: which upstream of a service gets a call, and how long it would wait.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "base/randomsource.h"
#include "upstreams/upstream.h"

#include <cstdint>
#include <span>
#include <utility>

namespace ebonywick {

/// Which upstreams of a service a call may go to.
enum class version_choice : std::uint8_t {
    // All but those on trial.
    regular,
    // Those on trial.
    trial,
};

/// What a call needs of its upstream.
struct choice_request
{
    service_name service;
    // Upstreams that the request has called; empty for its first call. They outlive the choice.
    std::span<const upstream_pointer> excluded = {};
    time_point now;
    version_choice versions = version_choice::regular;

    /// Whether `it` may take the call as far as the request is concerned.
    [[nodiscard]] bool allows(const upstream_pointer& it) const;
};

/// Weighted random choice.
class upstream_choice
{
public:
    /// `own_domain` is that of this host.
    explicit upstream_choice(failure_domain_id own_domain) : own_domain_(std::move(own_domain)) {}

    /// Chooses one of `candidates` at random with a preference for lower cost. Null if none can
    /// take a call.
    [[nodiscard]] upstream_pointer choose(std::span<const upstream_pointer> candidates,
                                          const choice_request& request,
                                          random_source& random) const;

private:
    // Relative cost of a call; 1 for an idle upstream of usual latency.
    [[nodiscard]] double cost(const upstream& it, time_point now) const;

    failure_domain_id own_domain_;
};

/// Estimated time that a call to the least loaded of `candidates` waits for a slot, where
/// `run_time` is the duration of calls that find one; zero if nothing is known.
[[nodiscard]] duration expected_wait(std::span<const upstream_pointer> candidates,
                                     duration run_time, time_point now);
/// True if one of `candidates` that `request` allows and that is not in backoff is estimated to
/// have a free slot.
[[nodiscard]] bool has_free_slot(std::span<const upstream_pointer> candidates,
                                 const choice_request& request);

} // namespace ebonywick
