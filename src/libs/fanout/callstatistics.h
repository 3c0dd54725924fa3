// Usual call times of each route at this host.
#pragma once

#include "base/clock.h"
#include "base/latencywindow.h"

#include <string>
#include <unordered_map>

namespace ebonywick {

/// Call times of one route. Quantiles are recomputed every few samples, because a scan
/// of the histogram for each call would cost more than the rest of the decision.
class route_call_times
{
public:
    void add(duration call_time);

    /// Call time below which 90 % of the calls end; zero until enough are known.
    [[nodiscard]] duration high_quantile() const { return high_; }
    [[nodiscard]] duration median() const { return median_; }
    /// `call_time` over the median; 1 while the median is unknown.
    [[nodiscard]] double relative(duration call_time) const;

private:
    latency_window window_{512};
    std::uint32_t until_refresh_ = 16;
    duration high_{};
    duration median_{};
};

/// Not thread-safe.
class call_statistics
{
public:
    /// Shared by all configurations that have a route of this name.
    [[nodiscard]] route_call_times& of_route(const std::string& route) { return routes_[route]; }
    /// Longest time budget that callers gave requests of the route. A request with less
    /// is a repeat that began earlier.
    [[nodiscard]] duration update_max_budget(const std::string& route, duration budget);

private:
    std::unordered_map<std::string, route_call_times> routes_;
    std::unordered_map<std::string, duration> budgets_;
};

} // namespace ebonywick
