// Calls that wait at a gate: interactive first, batch in fair order between
// callers.
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
    time_point since;
    // Round in which a batch call is served; each caller has one call a round.
    std::uint64_t round = 0;
    // Batch call that was taken ahead of interactive ones.
    bool overdue = false;

    auto operator<=>(const queued_call&) const = default;
};

/// Bounded and not thread-safe.
class call_queue
{
public:
    static constexpr std::size_t capacity = 64;

    [[nodiscard]] std::size_t size() const { return interactive_.size() + batch_.size(); }
    [[nodiscard]] bool empty() const { return interactive_.empty() && batch_.empty(); }
    [[nodiscard]] bool full() const { return size() >= capacity; }
    /// Calls that would be served before `call`, if no further ones arrive.
    [[nodiscard]] std::size_t ahead_of(const dispatcher_call& call) const;

    /// The queue must not be full.
    void push(const dispatcher_call& call, time_point now);
    /// The next call. `overdue_running`: a batch call that was served ahead of
    /// interactive ones holds a slot already.
    std::optional<queued_call> pop(time_point now, bool overdue_running);
    /// True if the call was waiting.
    bool remove(const call_id& id);
    /// Takes out the calls whose deadline has passed.
    std::vector<queued_call> take_expired(time_point now);
    std::vector<queued_call> take_all();

private:
    [[nodiscard]] std::uint64_t next_round(const caller_id& caller) const;
    [[nodiscard]] bool batch_is_due(time_point now, bool overdue_running) const;

    // At most 64 calls wait in all, so a scan is cheaper than an index.
    std::deque<queued_call> interactive_;
    // In order of arrival.
    std::vector<queued_call> batch_;
    // Round of the batch call that was served last.
    std::uint64_t round_ = 0;
    // The call served last was an overdue batch call.
    bool overdue_last_ = false;
};

/// Longest wait of a batch call behind interactive ones.
inline constexpr duration longest_batch_wait = std::chrono::milliseconds{500};

} // namespace ebonywick
