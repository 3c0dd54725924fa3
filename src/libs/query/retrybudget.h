// Budget for the extra load of a service on this host: a token bucket for hedges and
// retries, and a small reserve for retries of attempts without a reply.
#pragma once

#include <algorithm>

namespace ebonywick {

/// Each first attempt adds `tokens_per_attempt` tokens; each hedge or retry takes one.
/// When the bucket is empty, the reserve pays for one retry per shard of an attempt that had
/// no reply, so that a dead connection does not fail a query that has time left.
class retry_budget
{
public:
    explicit retry_budget(double tokens_per_attempt, double burst = default_burst)
        : tokens_per_attempt_(tokens_per_attempt), burst_(burst), tokens_(burst)
    {
    }

    void on_first_attempt()
    {
        tokens_ = std::min(burst_, tokens_ + tokens_per_attempt_);
        reserve_ = std::min(reserve_capacity, reserve_ + reserve_per_attempt);
    }

    [[nodiscard]] bool try_take()
    {
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        return true;
    }

    /// Takes a token only while at least half of the burst is left, so that second hedges
    /// leave tokens for the first hedges of other shards.
    [[nodiscard]] bool try_take_for_second_hedge() { return tokens_ >= burst_ / 2 && try_take(); }

    [[nodiscard]] bool try_take_reserve()
    {
        if (reserve_ < 1.0)
            return false;
        reserve_ -= 1.0;
        return true;
    }

    void set_tokens_per_attempt(double tokens_per_attempt)
    {
        tokens_per_attempt_ = tokens_per_attempt;
    }

private:
    // Tokens. Bounds the extra load that a burst of failures can add at once.
    static constexpr double default_burst = 20.0;
    // A link that goes dead loses one call. At the target size a host holds 7 upstreams with
    // 6 links each, so a fault that silences half of all links costs it 21 calls; the
    // reserve covers three such faults.
    static constexpr double reserve_capacity = 64.0;
    // Keeps hedges and retries from budget and reserve together below 3 % of the first
    // attempts.
    static constexpr double reserve_per_attempt = 0.002;

    double tokens_per_attempt_;
    double burst_;
    // 0 <= tokens_ <= burst_.
    double tokens_;
    // 0 <= reserve_ <= reserve_capacity.
    double reserve_ = reserve_capacity;
};

} // namespace ebonywick
