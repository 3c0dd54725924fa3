// How many calls at once an upstream bears: cold-start ramp and detection of a
// upstream that turned cold again.
#pragma once

#include "base/clock.h"
#include "base/latencywindow.h"
#include "dispatch/upstreamdispatcher.h"

#include <cstdint>
#include <string_view>

namespace ebonywick {

/// Not thread-safe. Functions that may change the limit return the reason of
/// the change, or an empty text if nothing changed.
class cold_start_limiter
{
public:
    cold_start_limiter(std::uint32_t slots, std::uint32_t cold_concurrency);

    std::string_view configure(std::uint32_t slots, std::uint32_t cold_concurrency);
    /// Median call time of the upstream's group; zero if unknown.
    void set_group_median(duration median) { group_median_ = median; }

    /// The upstream answered a call.
    std::string_view replied(duration latency);
    /// A link had no reply to a call; it counts unless `short_deadline`.
    std::string_view lost(std::uint32_t link, bool short_deadline);
    /// A call was cancelled after `latency`, before its reply.
    std::string_view cancelled(duration latency);
    /// What the upstream says about itself. `boot_id` 0: not stated.
    std::string_view reported(reported_state state, std::uint64_t boot_id);
    /// The upstream's state is unknown from now on.
    std::string_view reset(std::string_view reason);

    [[nodiscard]] std::uint32_t limit() const { return limit_; }
    [[nodiscard]] bool warm() const { return warm_; }
    /// Expected time of a call; zero if unknown.
    [[nodiscard]] duration reference() const;

private:
    void refresh_median();
    std::string_view turn_cold(std::string_view reason);

    std::uint32_t slots_;
    std::uint32_t cold_concurrency_;
    // cold_concurrency_ <= limit_ <= slots_; equals slots_ when warm_.
    std::uint32_t limit_;
    bool warm_ = false;
    // The newest report said cold; the ramp waits until it says otherwise.
    bool reports_cold_ = false;
    std::uint64_t boot_id_ = 0;
    std::uint32_t good_replies_ = 0;
    // Calls in a row that were cancelled after more than the reference time.
    std::uint32_t unanswered_ = 0;
    // One bit for each of the last 8 replies, set if it was slow.
    std::uint8_t slow_replies_ = 0;
    // Link of the newest call without a reply; valid if lost_before_.
    std::uint32_t lost_link_ = 0;
    bool lost_before_ = false;
    duration group_median_ = duration::zero();
    // Calls while warm; the median is renewed every 64 samples because a scan of
    // the histogram for each reply would cost more than the rest of the gate.
    latency_window warm_calls_{1024};
    duration warm_median_ = duration::zero();
    std::uint32_t until_refresh_ = 8;
};

} // namespace ebonywick
