// Moving averages and the backoff of one upstream.
#include "upstreams/upstreamobservation.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace ebonywick {

namespace {

using std::chrono::milliseconds;

// Weight of a new sample in the moving average of the relative latency.
constexpr double latency_sample_weight = 0.2;
// Half-life of the deviation from the usual latency. Without the decay an upstream that was
// slow once would not be tried again.
constexpr duration latency_half_life = std::chrono::seconds{3};
constexpr double max_relative_latency = 20.0;
// Weight of a new sample in the moving average of the failure ratio, and its half-life.
constexpr double failure_sample_weight = 0.15;
constexpr duration failure_half_life = std::chrono::seconds{4};
// Half-life of the difference between the last load report and the average load. The queue of
// an upstream with 2 to 4 slots and run times of some ten milliseconds changes within this
// time, while a host that shares the upstream with many others gets only a few reports a
// second.
constexpr duration load_report_half_life = milliseconds{100};
// Half-life of the previous average when a new report is added, and half-life of the average
// while no report comes. An overload lasts for seconds.
constexpr duration average_load_update_half_life = milliseconds{100};
constexpr duration average_load_half_life = milliseconds{400};
// Half-life of the deviation of the pace from its average. The pace changes many times a second.
constexpr duration pace_half_life = milliseconds{100};
// Number of reports over which the pace is averaged, and bounds of its ratio to the average.
constexpr double pace_samples = 16.0;
constexpr double min_relative_pace = 0.25;
constexpr double max_relative_pace = 4.0;
// Backoff after the first failure of an upstream, and its upper bound after repeated ones. The
// first is about the length of a typical pause, so that most pauses cost one late call.
constexpr duration initial_backoff = milliseconds{200};
constexpr duration max_backoff = milliseconds{1600};

// Exponential decay of `value` over `age`.
double decayed(double value, duration age, duration half_life)
{
    const double half_lives =
        std::chrono::duration<double>(age) / std::chrono::duration<double>(half_life);
    return value * std::exp2(-half_lives);
}

} // namespace

double upstream_observation::relative_latency(time_point now) const
{
    return 1.0 + decayed(relative_latency_ - 1.0, now - relative_latency_at_, latency_half_life);
}

double upstream_observation::failure_ratio(time_point now) const
{
    return decayed(failure_ratio_, now - failure_ratio_at_, failure_half_life);
}

double upstream_observation::average_load(time_point now) const
{
    return decayed(average_load_, now - load_reported_at_, average_load_half_life);
}

double upstream_observation::estimated_load(time_point now) const
{
    const double average = average_load(now);
    const double reported = last_load_report_.running + last_load_report_.waiting;
    const double load =
        average + decayed(reported - average, now - load_reported_at_, load_report_half_life);
    const double own_calls_since_report = static_cast<double>(calls_) - calls_at_load_report_;
    return std::max<double>(calls_, load + own_calls_since_report);
}

double upstream_observation::relative_pace(time_point now) const
{
    return 1.0 + decayed(relative_pace_ - 1.0, now - load_reported_at_, pace_half_life);
}

void upstream_observation::call_ended(call_result result, call_time time, time_point now)
{
    --calls_;
    if (result != call_result::cancelled)
        record_result(result != call_result::replied, now);
    switch (result) {
    case call_result::replied:
        consecutive_failures_ = 0;
        backoff_until_ = {};
        record_relative_latency(time.relative, now);
        return;
    case call_result::unreachable:
    case call_result::lost:
    case call_result::failed:
        back_off(now);
        return;
    case call_result::shed:
        // A full queue drains within a fraction of the initial backoff.
        backoff_until_ = std::max(backoff_until_, now + initial_backoff / 4);
        return;
    case call_result::cancelled:
        // The time is only a lower bound, so it does not count below the average.
        if (time.relative >= relative_latency_)
            record_relative_latency(time.relative, now);
        return;
    }
}

void upstream_observation::call_late(time_point now)
{
    if (backoff_until_ <= now)
        back_off(now);
}

void upstream_observation::load_reported(reported_load load, time_point now)
{
    const double average = average_load(now);
    const double calls = load.running + load.waiting;
    average_load_ =
        calls + decayed(average - calls, now - load_reported_at_, average_load_update_half_life);
    last_load_report_ = load;
    load_reported_at_ = now;
    calls_at_load_report_ = calls_;
    relative_pace_ = 1.0;
    if (load.pace)
        record_pace(*load.pace);
}

void upstream_observation::record_pace(double pace)
{
    if (average_pace_ <= 0.0)
        average_pace_ = pace;
    average_pace_ += (pace - average_pace_) / pace_samples;
    relative_pace_ = std::clamp(pace / average_pace_, min_relative_pace, max_relative_pace);
}

void upstream_observation::back_off(time_point now)
{
    const auto shift = std::min<std::uint32_t>(consecutive_failures_, 10);
    const duration wait = std::min(max_backoff, initial_backoff * (1 << shift));
    backoff_until_ = std::max(backoff_until_, now + wait);
    ++consecutive_failures_;
}

void upstream_observation::record_result(bool failed, time_point now)
{
    const double before = failure_ratio(now);
    failure_ratio_ = before + failure_sample_weight * ((failed ? 1.0 : 0.0) - before);
    failure_ratio_at_ = now;
}

void upstream_observation::record_relative_latency(double relative, time_point now)
{
    const double before = relative_latency(now);
    relative_latency_ =
        std::min(max_relative_latency, before + latency_sample_weight * (relative - before));
    relative_latency_at_ = now;
}

} // namespace ebonywick
