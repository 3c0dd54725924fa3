// Cold-start limit of one upstream.
#include "dispatch/coldstartlimiter.h"

#include <algorithm>
#include <bit>

namespace ebonywick {

namespace {

constexpr std::uint32_t replies_per_step = 32;
// Replies within this multiple of the group's median let the limit grow.
constexpr int ramp_factor = 3;
// Replies beyond this multiple of the warm median are slow.
constexpr int slow_factor = 5;
constexpr int slow_replies_allowed = 2;
// Hedges cancel calls to a slow upstream before its reply shows how slow it is.
constexpr std::uint32_t unanswered_allowed = 4;
constexpr std::uint32_t refresh_interval = 64;

} // namespace

cold_start_limiter::cold_start_limiter(std::uint32_t slots, std::uint32_t cold_concurrency)
    : slots_(std::max(slots, 1U)), cold_concurrency_(std::clamp(cold_concurrency, 1U, slots_)),
      limit_(cold_concurrency_)
{
}

std::string_view cold_start_limiter::configure(std::uint32_t slots, std::uint32_t cold_concurrency)
{
    const std::uint32_t before = limit_;
    slots_ = std::max(slots, 1U);
    cold_concurrency_ = std::clamp(cold_concurrency, 1U, slots_);
    // Further slots are reached by the ramp, because the upstream has not shown
    // yet that it bears them.
    limit_ = std::clamp(limit_, cold_concurrency_, slots_);
    warm_ = warm_ && limit_ == slots_;
    return limit_ == before ? std::string_view{} : "declaration changed";
}

duration cold_start_limiter::reference() const
{
    return warm_median_ > duration::zero() ? warm_median_ : group_median_;
}

void cold_start_limiter::refresh_median()
{
    warm_median_ = warm_calls_.quantile(0.5);
    until_refresh_ = refresh_interval;
}

std::string_view cold_start_limiter::replied(duration latency)
{
    lost_before_ = false;
    unanswered_ = 0;
    const duration expected = reference();
    const bool slow = expected > duration::zero() && latency > slow_factor * expected;
    slow_replies_ =
        static_cast<std::uint8_t>(std::uint32_t{slow_replies_} << 1U | (slow ? 1U : 0U));
    if (std::popcount(slow_replies_) > slow_replies_allowed)
        return turn_cold("slow replies");
    if (warm_) {
        warm_calls_.add(latency);
        if (--until_refresh_ == 0)
            refresh_median();
        return {};
    }
    const duration ramp_reference = group_median_ > duration::zero() ? group_median_ : warm_median_;
    const bool good = ramp_reference == duration::zero() || latency <= ramp_factor * ramp_reference;
    good_replies_ = good && !reports_cold_ ? good_replies_ + 1 : 0;
    if (good_replies_ < replies_per_step)
        return {};
    good_replies_ = 0;
    limit_ = std::min(2 * limit_, slots_);
    warm_ = limit_ == slots_;
    return warm_ ? "warm" : "warming up";
}

std::string_view cold_start_limiter::cancelled(duration latency)
{
    const duration expected = reference();
    if (expected == duration::zero() || latency <= expected || ++unanswered_ < unanswered_allowed)
        return {};
    return turn_cold("calls cancelled without a reply in between");
}

std::string_view cold_start_limiter::lost(std::uint32_t link, bool short_deadline)
{
    good_replies_ = 0;
    if (short_deadline)
        return {};
    const bool second = lost_before_ && lost_link_ != link;
    lost_before_ = true;
    lost_link_ = link;
    return second ? turn_cold("two calls in a row without reply") : std::string_view{};
}

std::string_view cold_start_limiter::reported(reported_state state, std::uint64_t boot_id)
{
    if (state != reported_state::unknown)
        reports_cold_ = state == reported_state::cold;
    const bool restarted = boot_id != 0 && boot_id_ != 0 && boot_id != boot_id_;
    if (boot_id != 0)
        boot_id_ = boot_id;
    if (restarted)
        return turn_cold("searcher restarted");
    if (reports_cold_ && (warm_ || limit_ > cold_concurrency_))
        return turn_cold("searcher reports cold");
    return {};
}

std::string_view cold_start_limiter::reset(std::string_view reason)
{
    boot_id_ = 0;
    reports_cold_ = false;
    return turn_cold(reason);
}

std::string_view cold_start_limiter::turn_cold(std::string_view reason)
{
    const bool changed = warm_ || limit_ != cold_concurrency_;
    warm_ = false;
    limit_ = cold_concurrency_;
    good_replies_ = 0;
    slow_replies_ = 0;
    unanswered_ = 0;
    lost_before_ = false;
    return changed ? reason : std::string_view{};
}

} // namespace ebonywick
