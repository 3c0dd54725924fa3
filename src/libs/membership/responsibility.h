// Responsibility rule: which upstreams this host holds, for which it needs
// fences, and who is expected to hold the others.
#pragma once

#include "membership/fencekeeper.h"
#include "membership/membershipagent.h"
#include "membership/placement.h"

#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace ebonywick {

using status_function = std::function<host_status(const host_id&)>;

/// How a new version of the roster or configuration came into use.
struct plan_change
{
    // This host has no former claims: it started, or enters the roster.
    bool first = false;
    // All hosts that are current have had the former versions.
    bool was_settled = false;
};

/// Not thread-safe.
///
/// Hosts with the former version of the roster or configuration may be current
/// for freshness_bound after a majority of the witnesses has the new one. Until
/// then ("unsettled") a claim must hold under both versions.
class responsibility
{
public:
    explicit responsibility(host_id self) : self_(std::move(self)) {}

    void set_placement(const placement& tables, const plan_change& change);
    /// No host with a former version is current any more.
    void settle();

    /// Hosts whose fences this host needs now, and those it may need.
    [[nodiscard]] std::set<host_id> wanted_fences(const fence_keeper& fences,
                                                  const status_function& status_of,
                                                  time_point now) const;
    [[nodiscard]] std::set<host_id> relevant_hosts() const;

    /// Recomputes the held upstreams. `acts` tells whether this host has its
    /// lease and is current; if not, `why_not` gives the reason.
    std::vector<membership_action> refresh(const fence_keeper& fences, bool acts,
                                           const std::string& why_not, time_point now);

    /// Only the fences are considered; the caller checks lease and currency.
    [[nodiscard]] bool holds(const upstream_id& upstream, time_point now) const;
    /// When the fences for a held upstream end; time_point::min() if not held.
    [[nodiscard]] time_point fences_valid_until(const upstream_id& upstream) const;
    [[nodiscard]] host_id expected_holder(const placement& tables, const upstream_id& upstream,
                                          const status_function& status_of) const;
    /// Next serving hosts for the upstreams that `absent` would hold.
    [[nodiscard]] static std::set<host_id>
    successors_of(const placement& tables, const host_id& absent, const status_function& status_of);

private:
    struct claim
    {
        // Candidates before this host, in order.
        std::vector<host_id> before;
        // Hosts that were before this host under versions that other hosts may
        // still use; empty once settled.
        std::set<host_id> former;
        // No claim before the versions are settled.
        bool blocked = false;
    };

    std::string lost_reason(const upstream_id& upstream, const fence_keeper& fences,
                            time_point now) const;

    host_id self_;
    std::unordered_map<upstream_id, claim> claims_;
    // All upstreams of the present configuration.
    std::set<upstream_id> known_;
    // Held upstreams and the moment at which their fences end.
    std::unordered_map<upstream_id, time_point> held_;
};

} // namespace ebonywick
