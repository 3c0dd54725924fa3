// Quantiles of recent latencies, for hedge delays and cold-start detection.
#pragma once

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace ebonywick {

/// Latency histogram with exponential decay: once the counts add up to `window` samples, all
/// of them are halved. The buckets are logarithmic, about 4 % wide, and cover 10 us to 100 s.
/// Not thread-safe.
class latency_window
{
public:
    explicit latency_window(std::uint32_t window = 4096) : window_(window) {}

    void add(duration latency);

    /// Upper bound of the bucket that contains the quantile `q`, from 0 to 1, of the samples;
    /// zero if there are no samples.
    [[nodiscard]] duration quantile(double q) const;

    /// Number of samples after decay.
    [[nodiscard]] std::uint64_t sample_count() const { return total_; }

private:
    static constexpr std::size_t bucket_count = 416;

    std::array<std::uint32_t, bucket_count> buckets_{};
    // The sum of buckets_.
    std::uint64_t total_ = 0;
    // Value of total_ at which the counts are halved.
    std::uint32_t window_;
};

} // namespace ebonywick
