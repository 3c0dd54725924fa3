// Selects the snapshot of a query and the replica of each call, based on what this host has
// observed of the upstreams of one service.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/identifiers.h"
#include "base/latencywindow.h"
#include "base/randomsource.h"
#include "settings/declaration.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace ebonywick {

struct upstream_report;

struct replica_choice
{
    upstream_id upstream;
    // The other replicas of the shard, for the decision log.
    std::vector<upstream_id> passed_over;

    auto operator<=>(const replica_choice&) const = default;
};

/// Selects replicas of one service. Not thread-safe.
class replica_selector
{
public:
    explicit replica_selector(std::uint64_t seed);
    ~replica_selector();
    replica_selector(const replica_selector&) = delete;
    replica_selector& operator=(const replica_selector&) = delete;

    /// Sets the current time, which decides how long a failed or leaving upstream is avoided
    /// and how often an upstream of unknown state is probed. The time never goes back.
    /// Without calls no time passes for these rules; the coordinator calls it on each event.
    void advance(time_point now);

    /// Applies a declaration and the list of failure domains that are out. Upstreams that
    /// stay declared keep their observations.
    void configure(const service_declaration& service,
                   const std::vector<failure_domain_id>& domains_out);
    /// Sets the upstreams whose holder is known to be down; they are not chosen.
    void set_unreachable(const std::set<upstream_id>& upstreams);

    /// The newest snapshot with a version above `above` for which each shard of its map has a
    /// usable replica; empty if none is known.
    [[nodiscard]] std::optional<snapshot> newest_complete(index_version above = 0) const;

    /// Returns, at most once per second, the epoch of the newest map if it is newer than the
    /// map of the newest complete snapshot. The caller should run one query on that map,
    /// because this host learns only from replies which versions its upstreams hold.
    [[nodiscard]] std::optional<shard_map_epoch> take_unexplored_epoch();

    /// Chooses a replica of `shard` for `wanted` (version 0: any version) that is not in
    /// `excluded`; empty if there is none. Epoch 0 means the newest map that has the shard.
    /// A replica whose versions are unknown is chosen only if there is no other, except for
    /// one probe per second: without probes it would stay unused until all replicas that are
    /// known to hold the version had failed.
    [[nodiscard]] std::optional<replica_choice> choose(const shard_name& shard, snapshot wanted,
                                                       std::span<const upstream_id> excluded);

    /// Counts an outstanding call. It must be ended by call_ended() or call_cancelled().
    void call_sent(const upstream_id& upstream);
    /// Ends a call that call_sent() has counted; `latency` is set only for replies.
    void call_ended(const upstream_id& upstream, std::optional<duration> latency);
    /// Ends a call that was cancelled after `elapsed`, which is a lower bound of its latency.
    /// Without these samples the hedge delay would shrink with each call that loses to its
    /// hedge.
    void call_cancelled(const upstream_id& upstream, duration elapsed);
    /// Records why a call for `wanted` failed. Does not replace call_ended().
    void observe_failure(const upstream_id& upstream, error_kind kind, snapshot wanted);
    /// Records the snapshot of a reply, which shows the epoch of a held version.
    void observe_snapshot(const upstream_id& upstream, snapshot from);
    /// Records a report of an upstream.
    void observe(const upstream_report& report);

    /// Time after which a call of this service should be hedged; zero while too few latencies
    /// are known.
    [[nodiscard]] duration hedge_delay() const;
    /// False for a short time after an upstream of the service shed load.
    [[nodiscard]] bool may_hedge(time_point now) const;
    /// True also for an unknown upstream.
    [[nodiscard]] bool is_cold(const upstream_id& upstream) const;
    /// Records that an upstream of the service shed load.
    void observe_shedding(time_point now);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
