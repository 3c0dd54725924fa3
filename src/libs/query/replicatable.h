// Observed state of each upstream of one service, and an index of the shard maps that list
// them. Used by replica_selector only.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "settings/declaration.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace ebonywick {

struct upstream_report;

/// An index version that an upstream holds.
struct held_version
{
    index_version version = 0;
    // Epoch that a reply has named for the version. As long as it is 0 (unknown), the
    // version matches snapshots of any epoch.
    shard_map_epoch epoch = 0;

    auto operator<=>(const held_version&) const = default;
};

/// What this host has observed of one upstream.
struct replica_record
{
    upstream_id id;
    // Concurrency when warm divided by the concurrency when cold; at least 1.
    double cold_factor = 1.0;
    bool domain_out = false;
    bool unreachable = false;
    // True until a report says otherwise.
    bool cold = true;
    bool versions_known = false;
    std::vector<held_version> versions;
    // Time of the last report that listed versions.
    time_point versions_reported_at{};
    // The upstream counts as leaving until this time; each report of leaving extends it.
    time_point leaving_until{};
    // Until this time the upstream is chosen only if no other replica is eligible.
    time_point avoided_until{};
    time_point next_probe_at{};
    std::uint32_t failures_in_a_row = 0;
    std::uint32_t outstanding = 0;
    std::uint32_t reported_queue = 0;
    // Exponential moving average of the latency; 0 if there is no sample.
    double average_ns = 0.0;

    [[nodiscard]] bool holds(snapshot wanted) const;
    [[nodiscard]] bool is_usable(time_point now) const
    {
        return !domain_out && !unreachable && leaving_until <= now;
    }
};

/// Records of all upstreams, found by upstream or by shard. Indices are valid until the next
/// call of configure().
class replica_table
{
public:
    using index = std::uint32_t;

    /// Applies a declaration. Upstreams that stay declared keep their observations.
    void configure(const service_declaration& service,
                   const std::vector<failure_domain_id>& domains_out);
    /// Stores a report; returns true if the held versions or the leaving state changed.
    /// A report of leaving is valid for `leaving_duration`.
    bool apply(const upstream_report& report, time_point now, duration leaving_duration);

    [[nodiscard]] replica_record* find(const upstream_id& upstream);
    [[nodiscard]] const replica_record* find(const upstream_id& upstream) const;
    /// Replicas of the shard in the map of `epoch` (0: the newest map that has the shard).
    [[nodiscard]] std::span<const index> replicas_of(const shard_name& shard,
                                                     shard_map_epoch epoch) const;
    [[nodiscard]] replica_record& at(index it) { return records_[it]; }
    [[nodiscard]] std::vector<replica_record>& records() { return records_; }

    /// All complete snapshots, newest version first. A snapshot is complete if each shard of
    /// its map has a usable replica that holds it.
    [[nodiscard]] std::vector<snapshot> complete_snapshots(time_point now) const;
    /// Epoch of the newest map; 0 if there is none.
    [[nodiscard]] shard_map_epoch newest_epoch() const
    {
        return maps_.empty() ? 0 : maps_.back().epoch;
    }
    /// Earliest time after `now` at which an upstream stops counting as leaving;
    /// `time_point::max()` if there is none.
    [[nodiscard]] time_point next_leaving_end(time_point now) const;

private:
    struct map_index
    {
        shard_map_epoch epoch = 0;
        std::unordered_map<shard_name, std::vector<index>> shards;
    };

    index find_or_add(const upstream_declaration& declared,
                      const std::vector<failure_domain_id>& domains_out);

    std::vector<replica_record> records_;
    std::unordered_map<upstream_id, index> by_id_;
    // Sorted by epoch.
    std::vector<map_index> maps_;
};

} // namespace ebonywick
