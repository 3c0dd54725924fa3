// Budget of extra load: one token bucket for the hedges and retries of a service
// on this host, and a small reserve for attempts that went silent.
#pragma once

#include <algorithm>

namespace ebonywick {

/// Each first attempt adds `share` tokens; each hedge or retry takes one. The
/// reserve serves one retry per shard of an attempt that stayed silent or whose
/// reply was lost, when the bucket is empty: a silent connection must not cost a
/// query that has time left.
class retry_budget
{
public:
    explicit retry_budget(double share, double burst = default_burst)
        : share_(share), burst_(burst), tokens_(burst)
    {
    }

    void first_attempt()
    {
        tokens_ = std::min(burst_, tokens_ + share_);
        reserve_ = std::min(reserve_burst, reserve_ + reserve_share);
    }

    [[nodiscard]] bool try_take()
    {
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        return true;
    }

    /// For a second hedge of the same shard: takes a token only while at least half of
    /// the burst is left, so that it never costs another shard its first hedge.
    [[nodiscard]] bool try_take_spare() { return tokens_ >= burst_ / 2 && try_take(); }

    [[nodiscard]] bool try_take_reserve()
    {
        if (reserve_ < 1.0)
            return false;
        reserve_ -= 1.0;
        return true;
    }

    void set_tokens_per_attempt(double share) { share_ = share; }

private:
    // Bounds the extra load that a burst of failures can add at once.
    static constexpr double default_burst = 20.0;
    // A silent link swallows one call. At the target a host holds 7 upstreams with
    // 6 links each, so its share of a fault that silences half of all links is 21
    // calls; the reserve covers three such faults.
    static constexpr double reserve_burst = 64.0;
    // Keeps budget and reserve together below 3 % of the first attempts.
    static constexpr double reserve_share = 0.002;

    double share_;
    double burst_;
    // 0 <= tokens_ <= burst_.
    double tokens_;
    // 0 <= reserve_ <= reserve_burst.
    double reserve_ = reserve_burst;
};

} // namespace ebonywick
