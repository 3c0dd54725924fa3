// Concurrency limit of one upstream: it starts at the declared cold concurrency, doubles
// while replies are timely, and drops when the upstream turns cold again.
#pragma once

#include "base/clock.h"
#include "base/latencywindow.h"
#include "dispatch/upstreamdispatcher.h"

#include <cstdint>
#include <string_view>

namespace ebonywick {

/// Not thread-safe. Functions that may change the limit return the reason for the
/// change as static text, which is empty if nothing changed.
class cold_start_limiter
{
public:
    cold_start_limiter(std::uint32_t slots, std::uint32_t cold_concurrency);

    /// Applies a changed declaration; `cold_concurrency` is clamped to 1..`slots`.
    std::string_view configure(std::uint32_t slots, std::uint32_t cold_concurrency);
    /// Median call latency of the upstream's group; zero if unknown.
    void set_group_median(duration median) { group_median_ = median; }

    /// The upstream replied to a call that it has run.
    std::string_view on_reply(duration latency);
    /// A call on `link` ended without a reply. With `short_deadline` this says nothing
    /// about the upstream and is not counted.
    std::string_view on_lost(std::uint32_t link, bool short_deadline);
    /// A call was cancelled `latency` after it was sent, before its reply.
    std::string_view on_cancelled(duration latency);
    /// The upstream reported its state. `boot_id` is 0 if it was not reported; another
    /// value than before means a restart.
    std::string_view on_report(reported_state state, std::uint64_t boot_id);
    /// Forgets the reported state and drops to the cold concurrency.
    std::string_view reset(std::string_view reason);

    [[nodiscard]] std::uint32_t limit() const { return limit_; }
    [[nodiscard]] bool warm() const { return warm_; }
    /// Median latency measured while warm, or else that of the group; zero if unknown.
    [[nodiscard]] duration expected_latency() const;

private:
    void refresh_warm_median();
    std::string_view drop_to_cold_limit(std::string_view reason);

    std::uint32_t slots_;
    std::uint32_t cold_concurrency_;
    // cold_concurrency_ <= limit_ <= slots_; equals slots_ when warm_.
    std::uint32_t limit_;
    bool warm_ = false;
    // The last report said cold; the limit does not grow until a report says otherwise.
    bool reports_cold_ = false;
    std::uint64_t boot_id_ = 0;
    // Since the last change of the limit, late reply or lost call.
    std::uint32_t timely_replies_ = 0;
    // Calls that were cancelled after more than the expected latency since the last reply.
    std::uint32_t cancelled_in_a_row_ = 0;
    // One bit for each of the last 8 replies, set if the reply was slow.
    std::uint8_t slow_replies_ = 0;
    // Link of the last lost call; valid if last_call_lost_.
    std::uint32_t last_lost_link_ = 0;
    bool last_call_lost_ = false;
    duration group_median_ = duration::zero();
    // Latencies while warm. The median is refreshed every 64 samples only, because scanning
    // the histogram on each reply would cost more than all other work of the dispatcher.
    latency_window warm_latencies_{1024};
    duration warm_median_ = duration::zero();
    // Starts low so that a first median is known early.
    std::uint32_t samples_until_refresh_ = 8;
};

} // namespace ebonywick
