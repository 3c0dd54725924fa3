// Claims on upstreams: which upstreams this host holds, which fences it needs for
// them, and which hosts are expected to hold the others.
#pragma once

#include "membership/fencetracker.h"
#include "membership/membershipagent.h"
#include "membership/placement.h"

#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace ebonywick {

using status_function = std::function<host_status(const host_id&)>;

/// Circumstances under which a new version of the roster or configuration is adopted.
struct placement_change
{
    // This host has no claims yet, because it has just started or entered the roster.
    bool no_earlier_claims = false;
    // The previous versions were settled.
    bool was_settled = false;
};

/// Claims of one host on upstreams. Not thread-safe.
///
/// This host is the holder of an upstream while it has its lease, is current, and has
/// a fence against each candidate that comes before it.
///
/// A host with the previous version of the roster or configuration may be current for
/// freshness_bound after a majority of the witnesses has the new version. Only after
/// that time the new version is settled. Before, a claim must be valid under all
/// versions that other hosts may still use.
class upstream_claims
{
public:
    explicit upstream_claims(host_id self) : self_(std::move(self)) {}

    void set_placement(const placement& tables, const placement_change& change);
    /// The versions are settled: no host with a previous version is current any more.
    void mark_settled();

    /// Absent hosts against which this host needs fences now.
    [[nodiscard]] std::set<host_id> wanted_fences(const fence_tracker& fences,
                                                  const status_function& status_of,
                                                  time_point now) const;
    /// All hosts against which this host may need fences.
    [[nodiscard]] std::set<host_id> relevant_hosts() const;

    /// Recomputes the held upstreams. `eligible`: this host has its lease and is
    /// current; if not, `ineligible_reason` says why. Returns holder_gained and
    /// holder_lost actions.
    std::vector<membership_action> refresh(const fence_tracker& fences, bool eligible,
                                           const std::string& ineligible_reason, time_point now);

    /// Checks the fences only; the caller checks the lease and the currency.
    [[nodiscard]] bool holds(const upstream_id& upstream, time_point now) const;
    /// Until when the fences for a held upstream are valid: time_point::max() if it
    /// needs none, time_point::min() if the upstream is not held.
    [[nodiscard]] time_point fences_valid_until(const upstream_id& upstream) const;
    /// This host if it holds the upstream, else the first candidate that is not absent;
    /// empty if there is none.
    [[nodiscard]] host_id expected_holder(const placement& tables, const upstream_id& upstream,
                                          const status_function& status_of) const;
    /// For each upstream that `absent` would hold, the next candidate that is not
    /// absent.
    [[nodiscard]] static std::set<host_id>
    successors_of(const placement& tables, const host_id& absent, const status_function& status_of);

private:
    struct claim
    {
        // Candidates that come before this host, in order.
        std::vector<host_id> earlier_candidates;
        // Hosts that came before this host under previous versions that other hosts may
        // still use, without earlier_candidates; empty once settled.
        std::set<host_id> former_candidates;
        // The claim is not valid before the versions are settled.
        bool blocked = false;
    };

    std::string lost_reason(const upstream_id& upstream, const fence_tracker& fences,
                            time_point now) const;

    host_id self_;
    std::unordered_map<upstream_id, claim> claims_;
    // All upstreams that the present configuration declares.
    std::set<upstream_id> declared_;
    // Held upstreams, each with the time at which the first of its fences expires.
    std::unordered_map<upstream_id, time_point> held_;
};

} // namespace ebonywick
