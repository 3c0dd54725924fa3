// When the statements of an upstream allow a call to it.
#include "upstreams/upstream.h"

#include <algorithm>

namespace ebonywick {

namespace {

// Tokens of a limit that first calls leave to hedges and retries. With the limited upstreams of a
// shard used up, nothing could replace the remaining one during a pause.
constexpr double reserved_tokens = 1.0;

} // namespace

bool upstream::cold_limited(time_point now) const
{
    return cold(now) && has_cold_rate_;
}

time_point upstream::next_call_at(time_point now) const
{
    time_point out = now;
    if (cold_limited(now))
        out = std::min(cold_tokens_.available_at(now), cold_until_);
    if (limit_.calls_per_second)
        out = std::max(out, limit_tokens_.available_at(now));
    return std::max(out, paused_until_);
}

bool upstream::reserved(time_point now) const
{
    return limit_.calls_per_second && limit_tokens_.capacity() > 1.0 &&
           limit_tokens_.tokens(now) <
               1.0 + std::min(reserved_tokens, limit_tokens_.capacity() - 1.0);
}

} // namespace ebonywick
