// Timers of one query. Used by query_coordinator only.
#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace ebonywick {

/// `silence` expires when an attempt has had no reply for so long that its connection is
/// taken to be dead.
enum class query_timer_kind : std::uint8_t { hedge, silence, retry };

struct query_timer
{
    time_point at;
    std::uint32_t shard = 0;
    // Number of the attempt; unused for a retry.
    std::uint32_t number = 0;
    query_timer_kind kind = query_timer_kind::hedge;
};

/// Heap of timers. Timers are not removed when their attempt ends: the owner ignores them
/// when they expire, which is cheaper than searching the heap.
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

    /// Removes and returns a timer that is due at `now`; empty if there is none.
    std::optional<query_timer> pop_due(time_point now)
    {
        if (heap_.empty() || heap_.front().at > now)
            return std::nullopt;
        std::pop_heap(heap_.begin(), heap_.end(), later);
        const query_timer due = heap_.back();
        heap_.pop_back();
        return due;
    }

    /// Earliest expiry; `time_point::max()` if there is no timer.
    [[nodiscard]] time_point next() const
    {
        return heap_.empty() ? time_point::max() : heap_.front().at;
    }

private:
    static bool later(const query_timer& a, const query_timer& b) { return a.at > b.at; }

    std::vector<query_timer> heap_;
};

} // namespace ebonywick
