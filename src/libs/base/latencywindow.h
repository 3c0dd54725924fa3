// Quantiles of recent latencies, for hedge delays and cold-start detection.
#pragma once

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace ebonywick {

/// Histogram with logarithmic buckets (about 4 % wide, 10 us to 100 s) whose
/// old samples fade: when `window` samples are reached, all counts are halved.
class latency_window
{
public:
    explicit latency_window(std::uint32_t window = 4096) : window_(window) {}

    void add(duration latency);

    /// Latency below which the share `q` of the recent samples lies; zero if
    /// there are none. Upper edge of the bucket.
    [[nodiscard]] duration quantile(double q) const;

    [[nodiscard]] std::uint64_t sample_count() const { return total_; }

private:
    static constexpr std::size_t bucket_count = 416;

    std::array<std::uint32_t, bucket_count> buckets_{};
    // Equals the sum of buckets_.
    std::uint64_t total_ = 0;
    std::uint32_t window_;
};

} // namespace ebonywick
