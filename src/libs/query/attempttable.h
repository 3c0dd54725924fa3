// Table of the attempts (calls) of one query at its current snapshot. Used by
// query_coordinator only.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <cstdint>
#include <vector>

namespace ebonywick {

struct query_attempt
{
    upstream_id upstream;
    time_point sent;
    std::uint32_t shard = 0;
    // Part of the call id; unique within a shard of a query, also across snapshots.
    std::uint32_t number = 0;
    // Index of the previous attempt at the same shard, or `attempt_table::none`.
    std::uint32_t previous = 0;
    // Neither replied, failed nor cancelled.
    bool outstanding = true;
    // The replica does not have the wanted snapshot and is not asked for it again.
    bool refused = false;
};

/// Attempts in a linked list per shard, newest first, so that handling an event does not
/// scan the attempts at other shards.
class attempt_table
{
public:
    static constexpr std::uint32_t none = UINT32_MAX;

    /// Removes all attempts. Numbers are not reused.
    void reset(std::size_t shard_count);

    /// Adds an outstanding attempt. The reference is valid until the next call of add().
    query_attempt& add(std::uint32_t shard, upstream_id upstream, time_point now);
    /// Returns the outstanding attempt with this number, or null.
    [[nodiscard]] query_attempt* find_outstanding(std::uint32_t shard, std::uint32_t number);
    /// Marks an outstanding attempt as ended.
    void end(query_attempt& attempt);

    [[nodiscard]] std::uint32_t outstanding() const { return outstanding_; }
    [[nodiscard]] std::uint32_t outstanding_for(std::uint32_t shard) const
    {
        return chains_[shard].outstanding;
    }
    [[nodiscard]] std::uint32_t count_for(std::uint32_t shard) const
    {
        return chains_[shard].count;
    }

    [[nodiscard]] bool is_newest_outstanding(const query_attempt& attempt) const;
    [[nodiscard]] bool any_refused(std::uint32_t shard) const;

    /// Calls `visit` with each attempt at the shard, newest first.
    template <class Visitor>
    void for_each_at(std::uint32_t shard, Visitor visit)
    {
        for (std::uint32_t it = chains_[shard].last; it != none; it = attempts_[it].previous)
            visit(attempts_[it]);
    }
    template <class Visitor>
    void for_each(Visitor visit)
    {
        for (query_attempt& it : attempts_)
            visit(it);
    }

private:
    struct chain
    {
        std::uint32_t last = none;
        std::uint32_t outstanding = 0;
        std::uint32_t count = 0;
    };

    std::vector<query_attempt> attempts_;
    std::vector<chain> chains_;
    // By shard index; kept by reset().
    std::vector<std::uint32_t> next_number_;
    // Sum of `outstanding` over chains_.
    std::uint32_t outstanding_ = 0;
};

} // namespace ebonywick
