// Budget of extra load: one token bucket for the hedges and retries of a service
// on this host.
#pragma once

#include <algorithm>

namespace ebonywick {

/// Each first attempt adds `share` tokens; each hedge or retry takes one.
class retry_budget
{
public:
    explicit retry_budget(double share, double burst = default_burst)
        : share_(share), burst_(burst), tokens_(burst)
    {
    }

    void first_attempt() { tokens_ = std::min(burst_, tokens_ + share_); }

    [[nodiscard]] bool try_take()
    {
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        return true;
    }

    void set_share(double share) { share_ = share; }

private:
    // Bounds the extra load that a burst of failures can add at once.
    static constexpr double default_burst = 20.0;

    double share_;
    double burst_;
    // 0 <= tokens_ <= burst_.
    double tokens_;
};

} // namespace ebonywick
