// Cost of a call to each upstream, and the weighted random choice.
#include "upstreams/upstreamchoice.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace ebonywick {

namespace {

// The cost is divided by the success ratio to this power. An upstream that fails two of five
// calls gets about a twentieth of the calls of a healthy one.
constexpr double failure_exponent = 3.0;
constexpr double max_failure_ratio = 0.9;
// Factor on the cost of an upstream in another failure domain: traffic between domains is
// charged and takes longer.
constexpr double cross_domain_cost_factor = 1.15;
// Factor on the cost of an upstream in its cold start.
constexpr double cold_cost_factor = 1.6;
// An upstream is chosen with a probability proportional to its cost to the power of minus this.
constexpr double weight_exponent = 3.0;

double slots_of(const upstream& it)
{
    return std::max<std::uint32_t>(1, it.entry().slots);
}

} // namespace

bool choice_request::allows(const upstream_pointer& it) const
{
    return it->on_trial() == (versions == version_choice::trial) &&
           std::find(excluded.begin(), excluded.end(), it) == excluded.end();
}

double upstream_choice::cost(const upstream& it, time_point now) const
{
    double out = it.observed().relative_latency(now) * it.observed().relative_pace(now);
    const double failure_ratio = it.observed().failure_ratio(now);
    out /= std::pow(1.0 - std::min(failure_ratio, max_failure_ratio), failure_exponent);
    const double slots = slots_of(it);
    const double busy = it.observed().estimated_load(now);
    // A call that finds all slots busy has to queue.
    out *= 1.0 + std::max(0.0, busy + 1.0 - slots) / slots + 0.25 * busy / slots;
    if (it.entry().domain != own_domain_)
        out *= cross_domain_cost_factor;
    if (it.cold(now))
        out *= cold_cost_factor;
    return std::max(out, 0.05);
}

upstream_pointer upstream_choice::choose(std::span<const upstream_pointer> candidates,
                                         const choice_request& request, random_source& random) const
{
    const time_point now = request.now;
    double total = 0.0;
    upstream_pointer chosen;
    upstream_pointer last_reserved;
    upstream_pointer last_resort;
    for (const upstream_pointer& it : candidates) {
        if (!it->usable() || !request.allows(it) || !it->may_call(now))
            continue;
        // After the backoff the upstream gets one call at a time until a reply comes.
        if (it->lapsing() || it->observed().backing_off(now)) {
            if (!last_resort ||
                it->observed().backoff_until() < last_resort->observed().backoff_until())
                last_resort = it;
            continue;
        }
        if (request.excluded.empty() && it->reserved(now)) {
            last_reserved = it;
            continue;
        }
        const double weight = std::pow(cost(*it, now), -weight_exponent);
        total += weight;
        if (random.uniform() * total < weight)
            chosen = it;
    }
    if (chosen)
        return chosen;
    return last_reserved ? last_reserved : last_resort;
}

duration expected_wait(std::span<const upstream_pointer> candidates, duration run_time,
                       time_point now)
{
    double least = std::numeric_limits<double>::max();
    for (const upstream_pointer& it : candidates) {
        const upstream_observation& observed = it->observed();
        if (!it->usable() || it->on_trial() || observed.backoff_until() > now ||
            !it->may_call(now) || it->reserved(now))
            continue;
        const double slots = slots_of(*it);
        const double rounds = std::max(0.0, observed.estimated_load(now) + 1.0 - slots) / slots;
        least = std::min(least, rounds * std::max(1.0, observed.relative_latency(now)));
    }
    // No queue length is known while all upstreams are in backoff or at their limits.
    if (least == std::numeric_limits<double>::max())
        return duration::zero();
    return std::chrono::duration_cast<duration>(run_time * least);
}

bool has_free_slot(std::span<const upstream_pointer> candidates, const choice_request& request)
{
    const time_point now = request.now;
    return std::any_of(candidates.begin(), candidates.end(), [&](const upstream_pointer& it) {
        return it->usable() && it->observed().backoff_until() <= now && it->may_call(now) &&
               it->observed().estimated_load(now) + 1.0 <= slots_of(*it) && request.allows(it);
    });
}

} // namespace ebonywick
