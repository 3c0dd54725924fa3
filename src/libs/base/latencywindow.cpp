// Logarithmic latency histogram with fading counts.
#include "base/latencywindow.h"

#include <algorithm>
#include <cmath>

namespace ebonywick {

namespace {

constexpr double smallest_us = 10.0;
constexpr double buckets_per_e_fold = 25.0;

std::size_t bucket_of(duration latency, std::size_t count)
{
    const double us = std::chrono::duration<double, std::micro>(latency).count();
    if (us <= smallest_us)
        return 0;
    const auto index = static_cast<std::size_t>(std::log(us / smallest_us) * buckets_per_e_fold);
    return std::min(index, count - 1);
}

duration upper_edge(std::size_t bucket)
{
    const double us = smallest_us * std::exp(static_cast<double>(bucket + 1) / buckets_per_e_fold);
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
    for (std::uint32_t& it : buckets_) {
        it /= 2;
        total_ += it;
    }
}

duration latency_window::quantile(double q) const
{
    if (total_ == 0)
        return duration::zero();
    const auto rank = static_cast<std::uint64_t>(q * static_cast<double>(total_ - 1));
    std::uint64_t seen = 0;
    for (std::size_t it = 0; it < bucket_count; ++it) {
        seen += buckets_[it];
        if (seen > rank)
            return upper_edge(it);
    }
    return upper_edge(bucket_count - 1);
}

} // namespace ebonywick
