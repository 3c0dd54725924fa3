// Bookkeeping of upstreams and the weighted choice among them.
#include "upstreams/upstreamtable.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace ebonywick {

namespace {

using std::chrono::milliseconds;

// Weight of a new call time in the moving average.
constexpr double slowness_gain = 0.2;
// Time after which an observation has lost half of its weight, so that an upstream
// that was slow is tried again.
constexpr duration slowness_half_life = std::chrono::seconds{3};
constexpr double most_slowness = 20.0;
// Weight of a call in the share of failed calls, and the time after which that share has
// lost half of its weight.
constexpr double failure_gain = 0.15;
constexpr duration failure_half_life = std::chrono::seconds{4};
// Exponent of the share of good calls in the cost. An upstream that fails two of five
// calls gets about a twentieth of the calls of a good one.
constexpr double failure_exponent = 3.0;
constexpr double most_failures = 0.9;
// Time after which half of the difference between a report and the usual load is gone:
// the queue of an upstream with 2 to 4 slots and work of some ten milliseconds changes
// within it. Where many hosts share an upstream, each gets a report only a few times a
// second.
constexpr duration load_half_life = milliseconds{100};
// Time after which a report has half of the weight in the usual load, and time after
// which half of the usual load is gone without reports. An overload lasts for seconds.
constexpr duration usual_load_gain_half_life = milliseconds{100};
constexpr duration usual_load_half_life = milliseconds{400};
// First and longest time for which an upstream without replies is avoided. The first is
// about the length of a pause, so that most pauses cost one late call.
constexpr duration first_avoidance = milliseconds{200};
constexpr duration longest_avoidance = milliseconds{1600};
// Cost of another failure domain relative to the own one: traffic between domains is
// charged and takes longer.
constexpr double other_domain_cost = 1.15;
// Calls over which the work of a service is averaged.
constexpr int work_samples = 64;
constexpr double cold_cost = 1.6;
// Exponent of the weights: the larger, the more the cheapest upstream is preferred.
constexpr double preference = 3.0;

// What is left of an observation after `age`.
double faded(double value, duration age, duration half_life)
{
    const double ages =
        std::chrono::duration<double>(age) / std::chrono::duration<double>(half_life);
    return value * std::exp2(-ages);
}

} // namespace

upstream_table::upstream_table(failure_domain_id own_domain, std::uint64_t seed)
    : own_domain_(std::move(own_domain)), random_(seed)
{
}

void upstream_table::upsert(const upstream_entry& entry, time_point now)
{
    const auto found = by_id_.find(entry.id);
    if (found != by_id_.end()) {
        const upstream_entry& old = found->second->entry_;
        if (old.address == entry.address && old.service == entry.service &&
            old.incarnation == entry.incarnation) {
            found->second->entry_ = entry;
            found->second->lapsing_ = false;
            if (entry.cold_remaining > duration::zero())
                cold_reported(*found->second, entry.cold_remaining, now);
            return;
        }
        remove(entry.id);
    }
    const upstream_pointer it{new upstream{entry}};
    it->domain_out_ = domains_out_.contains(entry.domain);
    it->cold_until_ = now + entry.cold_remaining;
    // A random part of a call, so that not all hosts send their first one at once.
    it->cold_calls_ = random_.unit();
    it->cold_calls_at_ = now;
    it->slowness_at_ = now;
    by_id_.emplace(entry.id, it);
    by_service_[entry.service].upstreams.push_back(it);
}

void upstream_table::remove(const upstream_id& id)
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end())
        return;
    const upstream_pointer it = found->second;
    it->listed_ = false;
    by_id_.erase(found);
    const auto service = by_service_.find(it->entry_.service);
    std::erase(service->second.upstreams, it);
    if (service->second.upstreams.empty())
        by_service_.erase(service);
}

void upstream_table::set_lapsing(const upstream_id& id)
{
    if (const auto found = by_id_.find(id); found != by_id_.end())
        found->second->lapsing_ = true;
}

void upstream_table::set_domains_out(const std::set<failure_domain_id>& domains)
{
    domains_out_ = domains;
    for (auto& [id, it] : by_id_)
        it->domain_out_ = domains_out_.contains(it->entry_.domain);
}

void upstream_table::set_cold_rate(const service_name& service, double calls_per_second)
{
    if (const auto found = by_service_.find(service); found != by_service_.end())
        found->second.cold_rate = calls_per_second;
}

std::vector<upstream_id> upstream_table::ids() const
{
    std::vector<upstream_id> out;
    out.reserve(by_id_.size());
    for (const auto& [id, it] : by_id_)
        out.push_back(id);
    return out;
}

upstream_pointer upstream_table::find(const upstream_id& id) const
{
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second;
}

std::span<const upstream_pointer> upstream_table::of_service(const service_name& service) const
{
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? std::span<const upstream_pointer>{}
                                      : found->second.upstreams;
}

bool upstream_table::has_usable(const service_name& service) const
{
    const auto all = of_service(service);
    return std::any_of(all.begin(), all.end(), [](const auto& it) { return it->usable(); });
}

double upstream_table::current_slowness(const upstream& it, time_point now)
{
    return 1.0 + faded(it.slowness_ - 1.0, now - it.slowness_at_, slowness_half_life);
}

double upstream_table::usual_load(const upstream& it, time_point now)
{
    return faded(it.usual_load_, now - it.load_at_, usual_load_half_life);
}

double upstream_table::busy_calls(const upstream& it, time_point now)
{
    const double usual = usual_load(it, now);
    const double reported = it.load_.running + it.load_.waiting;
    const double load = usual + faded(reported - usual, now - it.load_at_, load_half_life);
    const double own_change = static_cast<double>(it.calls_) - it.calls_at_load_;
    return std::max<double>(it.calls_, load + own_change);
}

duration upstream_table::expected_wait(const service_name& service, time_point now) const
{
    const auto found = by_service_.find(service);
    if (found == by_service_.end())
        return duration::zero();
    double least = std::numeric_limits<double>::max();
    for (const upstream_pointer& it : found->second.upstreams) {
        if (!it->usable() || it->avoided_until_ > now)
            continue;
        const double slots = std::max<std::uint32_t>(1, it->entry_.slots);
        const double rounds = std::max(0.0, busy_calls(*it, now) + 1.0 - slots) / slots;
        least = std::min(least, rounds * std::max(1.0, current_slowness(*it, now)));
    }
    // Where all are avoided, nothing is known about their queues.
    if (least == std::numeric_limits<double>::max())
        return duration::zero();
    return std::chrono::duration_cast<duration>(found->second.work * least);
}

bool upstream_table::has_free_slot(const service_name& service,
                                   std::span<const upstream_pointer> excluded, time_point now) const
{
    const auto all = of_service(service);
    return std::any_of(all.begin(), all.end(), [&](const upstream_pointer& it) {
        return it->usable() && it->avoided_until_ <= now &&
               busy_calls(*it, now) + 1.0 <= std::max<std::uint32_t>(1, it->entry_.slots) &&
               std::find(excluded.begin(), excluded.end(), it) == excluded.end();
    });
}

double upstream_table::cost(const upstream& it, time_point now) const
{
    double out = current_slowness(it, now);
    const double failures = faded(it.failure_share_, now - it.failure_share_at_, failure_half_life);
    out /= std::pow(1.0 - std::min(failures, most_failures), failure_exponent);
    const double slots = std::max<std::uint32_t>(1, it.entry_.slots);
    const double busy = busy_calls(it, now);
    // A call that finds all slots busy waits for one of them.
    out *= 1.0 + std::max(0.0, busy + 1.0 - slots) / slots + 0.25 * busy / slots;
    if (it.entry_.domain != own_domain_)
        out *= other_domain_cost;
    if (now < it.cold_until_)
        out *= cold_cost;
    return std::max(out, 0.05);
}

upstream_pointer upstream_table::choose(const service_name& service,
                                        std::span<const upstream_pointer> excluded, time_point now)
{
    double total = 0.0;
    upstream_pointer chosen;
    upstream_pointer last_resort;
    for (const upstream_pointer& it : of_service(service)) {
        if (!it->usable() || std::find(excluded.begin(), excluded.end(), it) != excluded.end() ||
            cold_calls(*it, now) < 1.0)
            continue;
        // After an avoidance one call at a time tests the upstream.
        const bool avoided =
            it->lapsing_ || it->avoided_until_ > now || (it->failures_ > 0 && it->calls_ > 0);
        if (avoided) {
            if (!last_resort || it->avoided_until_ < last_resort->avoided_until_)
                last_resort = it;
            continue;
        }
        const double weight = std::pow(cost(*it, now), -preference);
        total += weight;
        if (random_.unit() * total < weight)
            chosen = it;
    }
    return chosen ? chosen : last_resort;
}

double upstream_table::cold_calls(const upstream& it, time_point now) const
{
    if (now >= it.cold_until_)
        return 1.0;
    const auto service = by_service_.find(it.entry_.service);
    if (service == by_service_.end() || service->second.cold_rate <= 0)
        return 1.0;
    const double elapsed = std::chrono::duration<double>(now - it.cold_calls_at_).count();
    return std::min(1.0, it.cold_calls_ + elapsed * service->second.cold_rate);
}

void upstream_table::call_started(upstream& it, time_point now)
{
    ++it.calls_;
    if (now >= it.cold_until_)
        return;
    it.cold_calls_ = std::max(0.0, cold_calls(it, now) - 1.0);
    it.cold_calls_at_ = now;
}

void upstream_table::avoid(upstream& it, time_point now)
{
    const auto shift = std::min<std::uint32_t>(it.failures_, 10);
    const duration wait = std::min(longest_avoidance, first_avoidance * (1 << shift));
    it.avoided_until_ = std::max(it.avoided_until_, now + wait);
    ++it.failures_;
}

void upstream_table::call_ended(upstream& it, call_result result, call_time took, time_point now)
{
    --it.calls_;
    if (result != call_result::cancelled)
        note_failure(it, result != call_result::replied, now);
    switch (result) {
    case call_result::replied:
        it.failures_ = 0;
        it.avoided_until_ = {};
        work_done(it, took.took);
        break;
    case call_result::unreachable:
    case call_result::lost:
    case call_result::failed:
        avoid(it, now);
        return;
    case call_result::shed:
        // A full queue empties within one avoidance.
        it.avoided_until_ = std::max(it.avoided_until_, now + first_avoidance / 4);
        return;
    case call_result::cancelled:
        // The call would have taken at least this long.
        if (took.relative < it.slowness_)
            return;
        break;
    }
    const double before = current_slowness(it, now);
    it.slowness_ = std::min(most_slowness, before + slowness_gain * (took.relative - before));
    it.slowness_at_ = now;
}

void upstream_table::note_failure(upstream& it, bool failed, time_point now)
{
    const double before = faded(it.failure_share_, now - it.failure_share_at_, failure_half_life);
    it.failure_share_ = before + failure_gain * ((failed ? 1.0 : 0.0) - before);
    it.failure_share_at_ = now;
}

void upstream_table::work_done(const upstream& it, duration took)
{
    const auto found = by_service_.find(it.entry_.service);
    // A call that had to wait says nothing about the work.
    if (found == by_service_.end() || it.load_.waiting > 0)
        return;
    duration& work = found->second.work;
    work = work == duration::zero() ? took : work + (took - work) / work_samples;
}

void upstream_table::load_reported(upstream& it, reported_load load, time_point now)
{
    const double usual = usual_load(it, now);
    const double calls = load.running + load.waiting;
    it.usual_load_ = calls + faded(usual - calls, now - it.load_at_, usual_load_gain_half_life);
    it.load_ = load;
    it.load_at_ = now;
    it.calls_at_load_ = it.calls_;
}

void upstream_table::call_late(upstream& it, time_point now)
{
    if (it.avoided_until_ <= now)
        avoid(it, now);
}

void upstream_table::cold_reported(upstream& it, duration remaining, time_point now)
{
    // A report without rest of a cold time ends it.
    it.cold_until_ = now + remaining;
}

} // namespace ebonywick
