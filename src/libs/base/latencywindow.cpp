// Latency histogram with logarithmic buckets and decaying counts.
#include "base/latencywindow.h"

#include <algorithm>
#include <cmath>

namespace ebonywick {

namespace {

// Latencies up to this one are counted in the first bucket.
constexpr double min_latency_us = 10.0;
// Buckets for each factor of e = 2.718.
constexpr double buckets_per_e_fold = 25.0;

std::size_t bucket_of(duration latency, std::size_t count)
{
    const double us = std::chrono::duration<double, std::micro>(latency).count();
    if (us <= min_latency_us)
        return 0;
    const auto index = static_cast<std::size_t>(std::log(us / min_latency_us) * buckets_per_e_fold);
    return std::min(index, count - 1);
}

duration upper_bound_of(std::size_t bucket)
{
    const double us =
        min_latency_us * std::exp(static_cast<double>(bucket + 1) / buckets_per_e_fold);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::micro>(us));
}

} // namespace

void latency_window::add(duration latency)
{
    ++buckets_[bucket_of(latency, bucket_count)];
    ++total_;
    if (total_ < window_)
        return;
    total_ = 0;
    for (std::uint32_t& count : buckets_) {
        count /= 2;
        total_ += count;
    }
}

duration latency_window::quantile(double q) const
{
    if (total_ == 0)
        return duration::zero();
    const auto rank = static_cast<std::uint64_t>(q * static_cast<double>(total_ - 1));
    std::uint64_t cumulative_count = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        cumulative_count += buckets_[bucket];
        if (cumulative_count > rank)
            return upper_bound_of(bucket);
    }
    return upper_bound_of(bucket_count - 1);
}

} // namespace ebonywick
