// Concurrency limit of one upstream during its cold start.
#include "dispatch/coldstartlimiter.h"

#include <algorithm>
#include <bit>

namespace ebonywick {

namespace {

constexpr std::uint32_t timely_replies_per_step = 32;
// While the limit grows, a reply is timely if its latency is at most this multiple of
// the group's median.
constexpr int timely_factor = 3;
// A reply is slow if its latency exceeds this multiple of the expected latency.
constexpr int slow_factor = 5;
// Of the last 8 replies.
constexpr int max_slow_replies = 2;
// Hedging cancels calls to a slow upstream before their replies can show its latency, so
// this many late cancellations in a row also count as a sign of a cold upstream.
constexpr std::uint32_t cancelled_in_a_row_limit = 4;
constexpr std::uint32_t samples_per_refresh = 64;

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
    // Added slots are only used as the limit grows, because the upstream has not shown
    // yet that it sustains that concurrency.
    limit_ = std::clamp(limit_, cold_concurrency_, slots_);
    warm_ = warm_ && limit_ == slots_;
    return limit_ == before ? std::string_view{} : "declaration changed";
}

duration cold_start_limiter::expected_latency() const
{
    return warm_median_ > duration::zero() ? warm_median_ : group_median_;
}

void cold_start_limiter::refresh_warm_median()
{
    warm_median_ = warm_latencies_.quantile(0.5);
    samples_until_refresh_ = samples_per_refresh;
}

std::string_view cold_start_limiter::on_reply(duration latency)
{
    last_call_lost_ = false;
    cancelled_in_a_row_ = 0;
    const duration expected = expected_latency();
    const bool slow = expected > duration::zero() && latency > slow_factor * expected;
    slow_replies_ =
        static_cast<std::uint8_t>(std::uint32_t{slow_replies_} << 1U | (slow ? 1U : 0U));
    if (std::popcount(slow_replies_) > max_slow_replies)
        return drop_to_cold_limit("slow replies");
    if (warm_) {
        warm_latencies_.add(latency);
        if (--samples_until_refresh_ == 0)
            refresh_warm_median();
        return {};
    }
    const duration ramp_reference = group_median_ > duration::zero() ? group_median_ : warm_median_;
    const bool timely =
        ramp_reference == duration::zero() || latency <= timely_factor * ramp_reference;
    timely_replies_ = timely && !reports_cold_ ? timely_replies_ + 1 : 0;
    if (timely_replies_ < timely_replies_per_step)
        return {};
    timely_replies_ = 0;
    limit_ = std::min(2 * limit_, slots_);
    warm_ = limit_ == slots_;
    return warm_ ? "warm" : "warming up";
}

std::string_view cold_start_limiter::on_cancelled(duration latency)
{
    const duration expected = expected_latency();
    if (expected == duration::zero() || latency <= expected ||
        ++cancelled_in_a_row_ < cancelled_in_a_row_limit)
        return {};
    return drop_to_cold_limit("calls cancelled without a reply in between");
}

std::string_view cold_start_limiter::on_lost(std::uint32_t link, bool short_deadline)
{
    timely_replies_ = 0;
    if (short_deadline)
        return {};
    const bool lost_on_two_links = last_call_lost_ && last_lost_link_ != link;
    last_call_lost_ = true;
    last_lost_link_ = link;
    return lost_on_two_links ? drop_to_cold_limit("two calls in a row without reply")
                             : std::string_view{};
}

std::string_view cold_start_limiter::on_report(reported_state state, std::uint64_t boot_id)
{
    if (state != reported_state::unknown)
        reports_cold_ = state == reported_state::cold;
    const bool restarted = boot_id != 0 && boot_id_ != 0 && boot_id != boot_id_;
    if (boot_id != 0)
        boot_id_ = boot_id;
    if (restarted)
        return drop_to_cold_limit("searcher restarted");
    if (reports_cold_ && (warm_ || limit_ > cold_concurrency_))
        return drop_to_cold_limit("searcher reports cold");
    return {};
}

std::string_view cold_start_limiter::reset(std::string_view reason)
{
    boot_id_ = 0;
    reports_cold_ = false;
    return drop_to_cold_limit(reason);
}

std::string_view cold_start_limiter::drop_to_cold_limit(std::string_view reason)
{
    const bool changed = warm_ || limit_ != cold_concurrency_;
    warm_ = false;
    limit_ = cold_concurrency_;
    timely_replies_ = 0;
    slow_replies_ = 0;
    cancelled_in_a_row_ = 0;
    last_call_lost_ = false;
    return changed ? reason : std::string_view{};
}

} // namespace ebonywick
