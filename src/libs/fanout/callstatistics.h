// Latency statistics of each route, of its calls and of whole requests, as observed by this host.
#pragma once

#include "base/clock.h"
#include "base/latencywindow.h"
#include "routing/routing.h"

#include <string>
#include <unordered_map>

namespace ebonywick {

/// Latencies of one route. The quantiles are cached and recomputed every few samples:
/// scanning the histogram for each call would cost more than the rest of the decision.
class route_call_times
{
public:
    void add(duration call_time);
    /// A request has ended after this time, which includes waits, repeated calls and the sending
    /// of the answer.
    void add_request(duration request_time);

    /// 90th percentile of the call latency; zero until enough samples are known.
    [[nodiscard]] duration p90() const { return p90_; }
    /// Zero until enough samples are known.
    [[nodiscard]] duration median() const { return median_; }
    /// Ratio of `call_time` to the median; 1 while the median is unknown.
    [[nodiscard]] double relative_to_median(duration call_time) const;

    /// 99th percentile of the request latency; zero until enough samples are known.
    [[nodiscard]] duration request_p99() const { return request_p99_; }

private:
    latency_window window_{512};
    latency_window requests_{512};
    std::uint32_t requests_until_refresh_ = 16;
    duration request_p99_{};
    std::uint32_t samples_until_refresh_ = 16;
    duration p90_{};
    duration median_{};
};

/// Statistics of all routes by name. Not thread-safe.
class call_statistics
{
public:
    /// Statistics of `route`, created on first use. They are kept by name, so they survive a
    /// change of the configuration. The reference stays valid as long as this object.
    [[nodiscard]] route_call_times& for_route(const std::string& route) { return routes_[route]; }
    /// Returns the largest time budget that callers have given requests of `route`,
    /// including `budget`. A request with a smaller budget is a retry of a caller whose
    /// deadline has been running since its first attempt.
    [[nodiscard]] duration update_max_budget(const std::string& route, duration budget);
    /// Time within which a request of `via` with this time budget is expected to end.
    [[nodiscard]] duration longest_expected(const route& via, duration budget);

private:
    std::unordered_map<std::string, route_call_times> routes_;
    std::unordered_map<std::string, duration> max_budgets_;
};

} // namespace ebonywick
