// Queue of the calls that wait for a slot of one upstream: interactive calls first,
// batch calls round-robin between callers.
#pragma once

#include "base/clock.h"
#include "dispatch/upstreamdispatcher.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace ebonywick {

struct queued_call
{
    dispatcher_call call;
    time_point queued_at;
    // Round-robin turn of a batch call; each caller has one call per round. Zero for
    // interactive calls.
    std::uint64_t round = 0;
    // Batch call that waited for max_batch_wait and was served ahead of interactive ones.
    bool overdue = false;

    auto operator<=>(const queued_call&) const = default;
};

/// Bounded by `capacity`. Not thread-safe.
class call_queue
{
public:
    static constexpr std::size_t capacity = 64;

    [[nodiscard]] std::size_t size() const { return interactive_.size() + batch_.size(); }
    [[nodiscard]] bool empty() const { return interactive_.empty() && batch_.empty(); }
    [[nodiscard]] bool full() const { return size() >= capacity; }
    /// Number of queued calls that would be served before `call` if no others arrive.
    [[nodiscard]] std::size_t calls_ahead_of(const dispatcher_call& call) const;

    /// The queue must not be full.
    void push(const dispatcher_call& call, time_point now);
    /// Removes and returns the next call; empty if none waits. `overdue_batch_running`
    /// says that a batch call that was served ahead of interactive ones holds a slot.
    std::optional<queued_call> pop(time_point now, bool overdue_batch_running);
    /// Returns true if the call was queued.
    bool remove(const call_id& id);
    /// Removes and returns the calls whose deadline has passed.
    std::vector<queued_call> take_expired(time_point now);
    std::vector<queued_call> take_all();

private:
    [[nodiscard]] std::uint64_t next_round_of(const caller_id& caller) const;
    [[nodiscard]] bool is_batch_due(time_point now, bool overdue_batch_running) const;

    // With at most `capacity` calls in both, a scan is cheaper than an index.
    std::deque<queued_call> interactive_;
    // In order of arrival; pop() selects by round.
    std::vector<queued_call> batch_;
    // Round of the last batch call that was served by round.
    std::uint64_t current_round_ = 0;
    // The last call served was an overdue batch call.
    bool last_was_overdue_ = false;
};

/// A batch call that has waited this long is overdue: it is served ahead of
/// interactive calls.
inline constexpr duration max_batch_wait = std::chrono::milliseconds{500};

} // namespace ebonywick
