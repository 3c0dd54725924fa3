// Chooses the snapshot of a query and the replica of each call from what this
// host has observed of the searchers of one service.
#pragma once

#include "base/clock.h"
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

struct searcher_report;

struct replica_choice
{
    searcher_id searcher;
    std::vector<searcher_id> passed_over;

    auto operator<=>(const replica_choice&) const = default;
};

/// Observations of the searchers of one service at this host. Not thread-safe.
class replica_selector
{
public:
    explicit replica_selector(std::uint64_t seed);
    ~replica_selector();
    replica_selector(const replica_selector&) = delete;
    replica_selector& operator=(const replica_selector&) = delete;

    /// Takes over the declaration and the failure domains that are out.
    void configure(const service_declaration& service,
                   const std::vector<failure_domain_id>& domains_out);
    /// Marks searchers whose holder is known to be down.
    void set_unreachable(const std::set<searcher_id>& searchers);

    /// The newest snapshot that each shard of its map holds on a usable replica,
    /// above `above`; empty if none is known.
    [[nodiscard]] std::optional<snapshot> newest_complete(index_version above = 0) const;

    /// A replica of `shard` for `wanted` (version 0: any), none of `excluded`.
    [[nodiscard]] std::optional<replica_choice> choose(const shard_name& shard, snapshot wanted,
                                                       std::span<const searcher_id> excluded);

    void call_sent(const searcher_id& searcher);
    /// Ends one call that call_sent announced; `latency` only for replies.
    void call_ended(const searcher_id& searcher, std::optional<duration> latency);
    void observe(const searcher_report& report);

    /// Delay after which a call of this service is hedged; zero if unknown.
    [[nodiscard]] duration hedge_delay() const;
    /// False while the service's searchers shed load.
    [[nodiscard]] bool may_hedge(time_point now) const;
    [[nodiscard]] bool is_cold(const searcher_id& searcher) const;
    void observe_shedding(time_point now);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
