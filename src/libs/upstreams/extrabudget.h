// Budget of extra calls, that is hedges and retries. The fleet's limit for each service is
// divided among the hosts.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace ebonywick {

struct extra_budget_limits
{
    // Extra calls per request over a sliding window.
    double ratio = 0.2;
    duration window = std::chrono::seconds{10};
    // Extra calls that all hosts together may send in each window besides the ratio.
    double slack = 100;

    auto operator<=>(const extra_budget_limits&) const = default;
};

/// Sliding-window counters of one host. The sum over all hosts stays below the fleet's limit,
/// because each host uses the ratio of its own requests and its part of the slack only. Not
/// thread-safe.
class extra_budget
{
public:
    explicit extra_budget(extra_budget_limits limits) : limits_(limits) {}

    void set_limits(extra_budget_limits limits) { limits_ = limits; }
    /// Number of hosts among which the slack is divided; 0 counts as 1.
    void set_host_count(std::size_t hosts) { host_count_ = hosts == 0 ? 1 : hosts; }

    /// Counts a request, which raises the budget of `service`.
    void record_request(const service_name& service, time_point now);
    /// Takes one extra call from the budget; false if none is left in the window.
    bool try_take(const service_name& service, time_point now);
    /// Like try_take(), but leaves a fifth of the budget for retries of failed calls.
    bool try_take_hedge(const service_name& service, time_point now);

private:
    static constexpr std::size_t bucket_count = 12;

    struct window_counts
    {
        std::array<std::uint32_t, bucket_count> requests{};
        std::array<std::uint32_t, bucket_count> extra_calls{};
        // Bucket widths since the epoch of the clock; the slot is its remainder modulo
        // bucket_count.
        std::int64_t newest_bucket = 0;
    };

    // Clears the buckets that have left the window.
    window_counts& advance_window(const service_name& service, time_point now);
    // Takes one extra call if at most `fraction` of the budget is used then.
    bool try_take_fraction(const service_name& service, time_point now, double fraction);

    extra_budget_limits limits_;
    std::size_t host_count_ = 1;
    std::unordered_map<service_name, window_counts> services_;
};

} // namespace ebonywick
