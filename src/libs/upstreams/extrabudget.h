// Budget of extra calls: hedges and retries that all hosts together may send to a
// service, divided among the hosts.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace ebonywick {

struct extra_budget_limits
{
    // Extra calls for each request, over a sliding window.
    double ratio = 0.2;
    duration window = std::chrono::seconds{10};
    // Extra calls of all hosts that are free in each window.
    double slack = 100;

    auto operator<=>(const extra_budget_limits&) const = default;
};

/// Sliding-window counts of one host. The sum over all hosts stays below the fleet's
/// limit because each host takes its own requests' share and one host's part of the
/// slack. Not thread-safe.
class extra_budget
{
public:
    explicit extra_budget(extra_budget_limits limits) : limits_(limits) {}

    void set_limits(extra_budget_limits limits) { limits_ = limits; }
    /// Hosts among which the slack is divided; at least 1.
    void set_host_count(std::size_t hosts) { hosts_ = hosts == 0 ? 1 : hosts; }

    void record_request(const service_name& service, time_point now);
    /// Takes one extra call; false if the window has none left.
    bool try_take(const service_name& service, time_point now);
    /// As try_take, but leaves a fifth of the budget for retries of failed calls.
    bool try_take_hedge(const service_name& service, time_point now);

private:
    static constexpr std::size_t bucket_count = 12;

    struct counts
    {
        std::array<std::uint32_t, bucket_count> requests{};
        std::array<std::uint32_t, bucket_count> extras{};
        // Number of the newest bucket.
        std::int64_t newest = 0;
    };

    counts& advanced(const service_name& service, time_point now);
    bool take_below(const service_name& service, time_point now, double part);

    extra_budget_limits limits_;
    std::size_t hosts_ = 1;
    std::unordered_map<service_name, counts> services_;
};

} // namespace ebonywick
