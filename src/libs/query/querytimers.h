// Pending times of one query. Used by query_coordinator only.
#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace ebonywick {

enum class query_timer_kind : std::uint8_t { hedge, silence, retry };

struct query_timer
{
    time_point at;
    std::uint32_t shard = 0;
    // Attempt number; without meaning for a retry.
    std::uint32_t number = 0;
    query_timer_kind kind = query_timer_kind::hedge;
};

/// A heap whose entries are not removed when their attempt ends: the owner ignores
/// them when they are due, which is cheaper than finding them.
class query_timers
{
public:
    void clear() { heap_.clear(); }
    void reserve(std::size_t count) { heap_.reserve(count); }

    void push(const query_timer& timer)
    {
        heap_.push_back(timer);
        std::push_heap(heap_.begin(), heap_.end(), later);
    }

    /// Removes one timer that is due at `now`.
    std::optional<query_timer> pop_due(time_point now)
    {
        if (heap_.empty() || heap_.front().at > now)
            return std::nullopt;
        std::pop_heap(heap_.begin(), heap_.end(), later);
        const query_timer due = heap_.back();
        heap_.pop_back();
        return due;
    }

    [[nodiscard]] time_point next() const
    {
        return heap_.empty() ? time_point::max() : heap_.front().at;
    }

private:
    static bool later(const query_timer& a, const query_timer& b) { return a.at > b.at; }

    std::vector<query_timer> heap_;
};

} // namespace ebonywick
