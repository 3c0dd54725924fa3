// Entries of upstreams, their statements and the division of limits among the hosts.
#include "upstreams/upstreamtable.h"

#include "base/hashing.h"

#include <algorithm>

namespace ebonywick {

namespace {

// Number of calls over which the run time of a service is averaged.
constexpr int run_time_samples = 64;
// Rate of calls to an upstream that states a lower limit. Without calls, no reply would show the
// end of the limit.
constexpr double min_limited_rate = 0.5;
// Calls that a host may send at once if it has not used its part of a limit, as the time in which
// they accumulate; at least one.
constexpr double limit_burst_s = 1.0;
// Time for which other hosts are told of a statement that is not repeated, and number of limits
// that fit into a datagram beside a digest.
constexpr duration limit_report_time = std::chrono::seconds{30};
constexpr std::size_t max_limit_reports = 64;
// Leaving upstreams that fit into a datagram beside the limits.
constexpr std::size_t max_leaving_reports = 32;
// Time for which the statements of a removed upstream are remembered, and number of such upstreams.
// An entry may return long after it was removed, for example from a restored store.
constexpr duration removed_statement_time = std::chrono::hours{1};
constexpr std::size_t max_removed_statements = 1024;
// The entries belong to the same process, for which its statements hold.
bool same_lifetime(const upstream_entry& a, const upstream_entry& b)
{
    return a.id == b.id && a.address == b.address && a.service == b.service &&
           a.incarnation == b.incarnation;
}

// Keeps at most `max_count` of the reports; if there are more, each is kept now and then.
template <class Report>
void shorten(std::vector<Report>& reports, std::size_t max_count, random_source& random)
{
    if (reports.size() <= max_count)
        return;
    const auto first = static_cast<std::ptrdiff_t>(random.below(reports.size()));
    std::rotate(reports.begin(), reports.begin() + first, reports.end());
    reports.resize(max_count);
}

} // namespace

upstream_table::upstream_table(host_id own_host, failure_domain_id own_domain, std::uint64_t seed)
    : share_(std::move(own_host)), choice_(std::move(own_domain)), random_(seed)
{
}

void upstream_table::upsert(const upstream_entry& entry, time_point now)
{
    const auto found = by_id_.find(entry.id);
    if (found != by_id_.end()) {
        const upstream_entry& old = found->second->entry_;
        if (same_lifetime(old, entry)) {
            found->second->entry_ = entry;
            found->second->lapsing_ = false;
            apply_version_rule(*found->second);
            if (entry.cold_remaining > duration::zero())
                cold_reported(*found->second, entry.cold_remaining, now);
            return;
        }
        remove(entry.id, now);
    }
    const upstream_pointer it{new upstream{entry}};
    it->domain_out_ = domains_out_.contains(entry.domain);
    it->listed_since_ = now;
    apply_version_rule(*it);
    it->cold_until_ = now + entry.cold_remaining;
    divide_cold_rate(*it, now);
    // A random initial level, so that the hosts do not all send their first call at once.
    it->cold_tokens_.set_tokens(random_.uniform(), now);
    restore_statements(*it, now);
    by_id_.emplace(entry.id, it);
    by_report_key_[report_key(entry)] = it;
    by_service_[entry.service].upstreams.push_back(it);
}

void upstream_table::restore_statements(upstream& it, time_point now)
{
    const auto found = std::find_if(removed_.begin(), removed_.end(), [&](const auto& before) {
        return same_lifetime(before.of->entry_, it.entry_);
    });
    if (found == removed_.end())
        return;
    const upstream& before = *found->of;
    it.stated_leaving_ = before.stated_leaving_;
    it.paused_until_ = before.paused_until_;
    it.limit_ = before.limit_;
    it.limit_stated_at_ = before.limit_stated_at_;
    it.limit_ended_at_ = before.limit_ended_at_;
    if (it.limit_.calls_per_second) {
        it.limit_tokens_.set_tokens(0, now);
        divide_limit(it, now);
    }
    removed_.erase(found);
}

void upstream_table::keep_statements(const upstream_pointer& it, time_point now)
{
    if (it->stated_leaving_ || it->paused_until_ > now || it->limit_.calls_per_second)
        removed_.push_back({it, now});
    while (!removed_.empty() && (removed_.size() > max_removed_statements ||
                                 now - removed_.front().removed_at > removed_statement_time))
        removed_.pop_front();
}

void upstream_table::remove(const upstream_id& id, time_point now)
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end())
        return;
    const upstream_pointer it = found->second;
    it->listed_ = false;
    by_id_.erase(found);
    by_report_key_.erase(report_key(it->entry_));
    const auto service = by_service_.find(it->entry_.service);
    std::erase(service->second.upstreams, it);
    if (service->second.upstreams.empty())
        by_service_.erase(service);
    keep_statements(it, now);
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

void upstream_table::set_version_rule(const service_name& service, const version_rule& rule)
{
    if (rule == version_rule{})
        version_rules_.erase(service);
    else
        version_rules_[service] = rule;
    for (const upstream_pointer& it : of_service(service))
        apply_version_rule(*it);
}

void upstream_table::apply_version_rule(upstream& it) const
{
    const auto rule = version_rules_.find(it.entry_.service);
    const bool ruled = rule != version_rules_.end();
    it.version_out_ = ruled && rule->second.excludes(it.entry_.version);
    it.on_trial_ = ruled && rule->second.is_trial(it.entry_.version);
}

void upstream_table::set_cold_rate(const service_name& service, double calls_per_second,
                                   time_point now)
{
    if (calls_per_second > 0)
        cold_rates_[service] = calls_per_second;
    else
        cold_rates_.erase(service);
    for (const upstream_pointer& it : of_service(service))
        divide_cold_rate(*it, now);
}

void upstream_table::set_sharing_hosts(sharing_hosts hosts, time_point now)
{
    if (!share_.set_hosts(std::move(hosts)))
        return;
    for (auto& [id, it] : by_id_) {
        divide_cold_rate(*it, now);
        if (it->limit_.calls_per_second)
            divide_limit(*it, now);
    }
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

std::size_t upstream_table::limited_count() const
{
    return static_cast<std::size_t>(std::count_if(by_id_.begin(), by_id_.end(), [](const auto& it) {
        return it.second->limit_.calls_per_second.has_value();
    }));
}

std::size_t upstream_table::leaving_count() const
{
    return static_cast<std::size_t>(std::count_if(
        by_id_.begin(), by_id_.end(), [](const auto& it) { return it.second->stated_leaving_; }));
}

std::size_t upstream_table::paused_count(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(by_id_.begin(), by_id_.end(),
                      [&](const auto& it) { return it.second->paused_until_ > now; }));
}

duration upstream_table::expected_wait(const service_name& service, time_point now) const
{
    const auto found = by_service_.find(service);
    if (found == by_service_.end())
        return duration::zero();
    return ebonywick::expected_wait(found->second.upstreams, found->second.run_time, now);
}

bool upstream_table::has_free_slot(const choice_request& request) const
{
    return ebonywick::has_free_slot(of_service(request.service), request);
}

upstream_pointer upstream_table::choose(const choice_request& request)
{
    return choice_.choose(of_service(request.service), request, random_);
}

time_point upstream_table::next_call_at(const service_name& service, time_point now) const
{
    time_point out = time_point::max();
    for (const upstream_pointer& it : of_service(service)) {
        if (it->usable())
            out = std::min(out, it->next_call_at(now));
    }
    return out;
}

void upstream_table::call_started(upstream& it, time_point now)
{
    it.observed_.call_started();
    if (it.stated_leaving_)
        ++calls_to_leaving_;
    if (it.paused_until_ > now)
        ++calls_to_paused_;
    if (it.limit_.calls_per_second) {
        ++calls_to_limited_;
        it.limit_tokens_.take(now);
    }
    if (it.cold_limited(now))
        it.cold_tokens_.take(now);
}

void upstream_table::call_ended(upstream& it, call_result result, call_time time, time_point now)
{
    if (result == call_result::replied)
        record_run_time(it, time.elapsed);
    it.observed_.call_ended(result, time, now);
}

void upstream_table::record_run_time(const upstream& it, duration elapsed)
{
    const auto found = by_service_.find(it.entry_.service);
    // The duration of a call that may have queued does not show the run time.
    if (found == by_service_.end() || it.observed().reported_waiting())
        return;
    duration& run_time = found->second.run_time;
    run_time =
        run_time == duration::zero() ? elapsed : run_time + (elapsed - run_time) / run_time_samples;
}

void upstream_table::load_reported(upstream& it, reported_load load, time_point now)
{
    it.observed_.load_reported(load, now);
}

void upstream_table::limit_stated(upstream& it, stated_limit limit, time_point stated_at,
                                  time_point now)
{
    if (stated_at < it.limit_stated_at_)
        return;
    it.limit_stated_at_ = stated_at;
    if (it.limit_ == limit)
        return;
    if (!limit.calls_per_second)
        it.limit_ended_at_ = stated_at;
    // The calls that were sent before the limit was known have used it.
    if (!it.limit_.calls_per_second)
        it.limit_tokens_.set_tokens(0, now);
    it.limit_ = limit;
    if (limit.calls_per_second)
        divide_limit(it, now);
}

void upstream_table::leaving_stated(upstream& it)
{
    it.stated_leaving_ = true;
}

void upstream_table::pause_stated(upstream& it, time_point until)
{
    it.paused_until_ = std::max(it.paused_until_, until);
}

std::vector<limit_report> upstream_table::limit_reports(time_point now)
{
    std::vector<limit_report> out;
    for (const auto& [key, it] : by_report_key_) {
        const time_point changed =
            it->limit_.calls_per_second ? it->limit_stated_at_ : it->limit_ended_at_;
        if (changed != time_point{} && now - changed < limit_report_time)
            out.push_back({key, it->limit_, now - it->limit_stated_at_});
    }
    shorten(out, max_limit_reports, random_);
    return out;
}

std::vector<lifetime_key> upstream_table::leaving_reports(time_point now)
{
    std::vector<lifetime_key> out;
    for (const auto& [id, it] : by_id_) {
        if (it->stated_leaving_)
            out.push_back(key_of(it->entry_));
    }
    for (const auto& [it, removed_at] : removed_) {
        if (it->stated_leaving_ && now - removed_at < limit_report_time)
            out.push_back(key_of(it->entry_));
    }
    shorten(out, max_leaving_reports, random_);
    return out;
}

upstream_pointer upstream_table::find_lifetime(lifetime_key key) const
{
    const upstream_pointer out = find_reported(static_cast<std::uint32_t>(key));
    return out && key_of(out->entry_) == key ? out : nullptr;
}

lifetime_key upstream_table::key_of(const upstream_entry& entry)
{
    return stable_hash(entry.id.value(), entry.incarnation);
}

std::uint32_t upstream_table::report_key(const upstream_entry& entry)
{
    return static_cast<std::uint32_t>(key_of(entry));
}

upstream_pointer upstream_table::find_reported(std::uint32_t key) const
{
    const auto found = by_report_key_.find(key);
    return found == by_report_key_.end() ? nullptr : found->second;
}

void upstream_table::divide_cold_rate(upstream& it, time_point now)
{
    const auto rate = cold_rates_.find(it.entry_.service);
    it.has_cold_rate_ = rate != cold_rates_.end();
    if (it.has_cold_rate_)
        it.cold_tokens_.set_rate(share_.equal_part_of(rate->second), 1.0, now);
}

void upstream_table::divide_limit(upstream& it, time_point now)
{
    const double all = std::max(*it.limit_.calls_per_second, min_limited_rate);
    const double part = share_.part_of(all, it.entry_.id.value());
    it.limit_tokens_.set_rate(part, std::max(1.0, part * limit_burst_s), now);
}

void upstream_table::call_late(upstream& it, time_point now)
{
    it.observed_.call_late(now);
}

void upstream_table::cold_reported(upstream& it, duration remaining, time_point now)
{
    // A remaining time of zero ends the cold start.
    it.cold_until_ = now + remaining;
}

} // namespace ebonywick
