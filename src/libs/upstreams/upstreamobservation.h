// Load, latency and failures of one upstream as this host has observed them.
#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace ebonywick {

/// Load that an upstream reports with a reply, in calls.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // Present duration of work, in percent of the usual; empty if not reported.
    std::optional<std::uint32_t> pace = {};

    auto operator<=>(const reported_load&) const = default;
};

/// How a call ended, as far as it matters to load balancing.
enum class call_result : std::uint8_t {
    replied,
    // The upstream ran the call and replied with a failure.
    failed,
    // The upstream refused the call because its queue is full.
    shed,
    // Nothing listens at the address, or another process does.
    unreachable,
    // The connection broke or carried an invalid reply.
    lost,
    // This host stopped waiting.
    cancelled,
};

/// Duration of a call.
struct call_time
{
    duration elapsed{};
    // Ratio of `elapsed` to the median duration of the calls of the same route.
    double relative = 1.0;

    auto operator<=>(const call_time&) const = default;
};

/// Moving averages over the calls of this host and over what the replies report. Time is passed in
/// and does not go back.
class upstream_observation
{
public:
    /// Each call_started() must be followed by one call_ended() for the same call.
    void call_started() { ++calls_; }
    void call_ended(call_result result, call_time time, time_point now);
    /// Reports that a call takes much longer than usual, which starts a backoff.
    void call_late(time_point now);
    void load_reported(reported_load load, time_point now);

    /// Calls of this host in progress.
    [[nodiscard]] std::uint32_t calls() const { return calls_; }
    /// Moving average of call_time::relative, decayed towards 1.
    [[nodiscard]] double relative_latency(time_point now) const;
    /// Moving average of the calls without a usable reply, 0 to 1, decayed towards 0.
    [[nodiscard]] double failure_ratio(time_point now) const;
    /// Estimate of the calls that all hosts have in progress: the last report, which approaches
    /// the average load as it ages, and the calls of this host since that report.
    [[nodiscard]] double estimated_load(time_point now) const;
    /// Ratio of the last reported pace to the average one, decayed towards 1.
    [[nodiscard]] double relative_pace(time_point now) const;
    /// Until then the upstream is in backoff: it gets calls only if no other can take them.
    [[nodiscard]] time_point backoff_until() const { return backoff_until_; }
    /// In backoff, or after it until a reply to the one call that may be in progress then.
    [[nodiscard]] bool backing_off(time_point now) const
    {
        return backoff_until_ > now || (consecutive_failures_ > 0 && calls_ > 0);
    }
    /// The last report has calls that wait for a slot.
    [[nodiscard]] bool reported_waiting() const { return last_load_report_.waiting > 0; }

private:
    // Moving average of the reported load, decayed towards 0.
    [[nodiscard]] double average_load(time_point now) const;
    // Starts or extends the backoff; it doubles with each failure.
    void back_off(time_point now);
    void record_result(bool failed, time_point now);
    void record_pace(double pace);
    void record_relative_latency(double relative, time_point now);

    std::uint32_t calls_ = 0;
    // As of relative_latency_at_.
    double relative_latency_ = 1.0;
    time_point relative_latency_at_{};
    // As of failure_ratio_at_.
    double failure_ratio_ = 0.0;
    time_point failure_ratio_at_{};
    reported_load last_load_report_;
    time_point load_reported_at_{};
    // calls_ at load_reported_at_.
    std::uint32_t calls_at_load_report_ = 0;
    // Moving average of the reported calls, running and waiting, as of load_reported_at_.
    double average_load_ = 0.0;
    // Moving average of the reported pace; zero if none was reported.
    double average_pace_ = 0.0;
    // Ratio to average_pace_, as of load_reported_at_.
    double relative_pace_ = 1.0;
    time_point backoff_until_{};
    // Failed and late calls since the last successful reply.
    std::uint32_t consecutive_failures_ = 0;
};

} // namespace ebonywick
