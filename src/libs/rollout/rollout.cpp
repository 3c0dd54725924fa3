// Allowance, merge of counts and the conditions of each stage.
#include "rollout/rollout.h"

#include <algorithm>

namespace ebonywick {

namespace {

using std::chrono::milliseconds;

// Part of the bounds that is used; the rest is for requests on their way at the verdict.
constexpr double used_bound = 0.5;
// Time in which a change is in force everywhere, and the part of a short order that it may take.
constexpr duration max_settle_time = milliseconds{3000};
constexpr int settle_fraction = 5;
// Reserve at the end of an order for writes that are repeated, with its bounds.
constexpr int reserve_fraction = 8;
constexpr duration min_reserve = milliseconds{1500};
constexpr duration max_reserve = milliseconds{5000};
// Until then an order that is not switched is rolled back.
constexpr double latest_verdict_fraction = 0.95;
// A sum above this part of the threshold is suspicious: no switch yet.
constexpr double suspicious_fraction = 0.4;
// Counts and confirmations older than this are not current. Six messages.
constexpr duration max_report_age = milliseconds{1500};

} // namespace

rollout::rollout(rollout_order order, rollout_policy policy, time_point now)
    : order_(std::move(order)), policy_(policy), begun_at_(now)
{
    own_.order = order_.key;
    update(order_, now);
}

rollout_stage rollout::stage() const
{
    if (order_.written == rollout_stage::rolled_back)
        return rollout_stage::rolled_back;
    if (completed_)
        return rollout_stage::completed;
    if (bad_)
        return rollout_stage::rolled_back;
    return switching_since_ == time_point::max() ? rollout_stage::probing
                                                 : rollout_stage::switching;
}

void rollout::update(const rollout_order& order, time_point now)
{
    order_ = order;
    bad_ = bad_ || order_.written == rollout_stage::rolled_back;
    completed_ = completed_ || order_.written == rollout_stage::completed;
    if (order_.written == rollout_stage::switching)
        switching_since_ = std::min(switching_since_, now);
}

duration rollout::settle_time() const
{
    return std::min(max_settle_time, order_.length / settle_fraction);
}

duration rollout::switch_age() const
{
    const duration reserve = std::clamp(order_.length / reserve_fraction, min_reserve, max_reserve);
    return std::max(order_.length / 2, order_.length - settle_time() - reserve);
}

bool rollout::may_try(time_point now) const
{
    if (stage() != rollout_stage::probing || sharing_hosts_ == 0)
        return false;
    const double part = policy_.exposure_slack * used_bound / static_cast<double>(sharing_hosts_);
    const std::chrono::duration<double> release = switch_age() / 2;
    const double released = release.count() > 0
                                ? std::min(1.0, std::chrono::duration<double>(age(now)) / release)
                                : 1.0;
    const double share = policy_.exposure_share * used_bound;
    if (own_.target_calls + 1.0 > share * own_.requests + part * released)
        return false;
    const auto fleet = static_cast<double>(fleet_target_calls());
    return fleet + 1.0 <=
           share * static_cast<double>(fleet_requests()) + policy_.exposure_slack * used_bound;
}

void rollout::answered(const version_answer& answer)
{
    auto it = std::find_if(own_.routes.begin(), own_.routes.end(),
                           [&](const auto& each) { return each.route == answer.route; });
    if (it == own_.routes.end())
        it = own_.routes.insert(it, route_answers{answer.route, {}, {}});
    answer_counts& counts = answer.from_target ? it->target : it->others;
    ++counts.answers;
    if (answer.failed)
        ++counts.failed;
    if (answer.slow) {
        ++counts.timed;
        if (*answer.slow)
            ++counts.slow;
    }
}

void rollout::record(const host_id& from, incarnation_number incarnation,
                     const rollout_report& report, time_point now)
{
    if (report.order != order_.key)
        return;
    begun_at_ = std::min(begun_at_, now - report.age);
    bad_ = bad_ || report.stage == rollout_stage::rolled_back;
    // Others switch because the store has taken it.
    if (report.stage == rollout_stage::switching)
        switching_since_ = std::min(switching_since_, now);
    host_counts& it = others_[{from, incarnation}];
    // Datagrams may arrive out of order.
    if (report.requests < it.report.requests || report.age < it.report.age)
        return;
    it = {report, now};
}

std::map<std::uint32_t, route_answers> rollout::merged() const
{
    std::map<std::uint32_t, route_answers> out;
    const auto add = [&](const rollout_report& report) {
        for (const route_answers& it : report.routes) {
            route_answers& into = out[it.route];
            into.target += it.target;
            into.others += it.others;
        }
    };
    add(own_);
    for (const auto& [key, it] : others_)
        add(it.report);
    return out;
}

void rollout::judge()
{
    answer_counts target;
    answer_counts others;
    for (const auto& [route, it] : merged()) {
        route_judges_[route].judge(it.target, it.others);
        target += it.target;
        others += it.others;
    }
    judge_.judge(target, others);
    bad_ = bad_ || score() >= version_judge::threshold;
}

double rollout::score() const
{
    double out = judge_.score();
    for (const auto& [route, it] : route_judges_)
        out = std::max(out, it.score());
    return out;
}

const rollout::host_counts* rollout::newest_of(const host_id& host) const
{
    const host_counts* out = nullptr;
    for (auto it = others_.lower_bound({host, 0}); it != others_.end() && it->first.first == host;
         ++it)
        out = &it->second;
    return out;
}

bool rollout::all_heard(const std::set<host_id>& hosts, time_point now) const
{
    return std::all_of(hosts.begin(), hosts.end(), [&](const host_id& it) {
        const host_counts* counts = newest_of(it);
        return counts != nullptr && now - counts->at <= max_report_age;
    });
}

bool rollout::all_clear(const std::set<host_id>& hosts, time_point now) const
{
    return all_heard(hosts, now) && std::all_of(hosts.begin(), hosts.end(), [&](const auto& it) {
               return newest_of(it)->report.clear;
           });
}

std::optional<rollout_stage> rollout::next_write(const rollout_surroundings& around,
                                                 time_point now) const
{
    if (order_.written == rollout_stage::completed || order_.written == rollout_stage::rolled_back)
        return std::nullopt;
    if (completed_)
        return rollout_stage::completed;
    if (bad_)
        return rollout_stage::rolled_back;
    if (switching_since_ != time_point::max() && order_.written != rollout_stage::switching)
        return rollout_stage::switching;
    if (!order_.written)
        return rollout_stage::probing;
    if (order_.written == rollout_stage::switching) {
        const bool settled = now - switching_since_ >= settle_time();
        if (settled && around.clear && all_clear(around.live_hosts, now))
            return rollout_stage::completed;
        return std::nullopt;
    }
    if (age(now) < switch_age())
        return std::nullopt;
    if (score() > version_judge::threshold * suspicious_fraction) {
        const auto latest =
            std::chrono::duration_cast<duration>(order_.length * latest_verdict_fraction);
        return age(now) >= latest ? std::optional{rollout_stage::rolled_back} : std::nullopt;
    }
    if (around.target_usable && all_heard(around.live_hosts, now))
        return rollout_stage::switching;
    return std::nullopt;
}

void rollout::advance(const rollout_surroundings& around, time_point now)
{
    judge();
    due_ = next_write(around, now);
    // A roll-back needs no agreement.
    bad_ = bad_ || due_ == rollout_stage::rolled_back;
    own_.age = age(now);
    own_.stage = stage();
    own_.clear =
        (own_.stage == rollout_stage::switching || own_.stage == rollout_stage::completed) &&
        around.clear;
}

rollout_report rollout::report() const
{
    rollout_report out = own_;
    out.stage = stage();
    return out;
}

std::uint64_t rollout::fleet_requests() const
{
    std::uint64_t out = own_.requests;
    for (const auto& [key, it] : others_)
        out += it.report.requests;
    return out;
}

std::uint64_t rollout::fleet_target_calls() const
{
    std::uint64_t out = own_.target_calls;
    for (const auto& [key, it] : others_)
        out += it.report.target_calls;
    return out;
}

answer_counts rollout::target_answers() const
{
    answer_counts out;
    for (const auto& [route, it] : merged())
        out += it.target;
    return out;
}

answer_counts rollout::other_answers() const
{
    answer_counts out;
    for (const auto& [route, it] : merged())
        out += it.others;
    return out;
}

duration rollout::oldest_report(time_point now) const
{
    duration out{};
    for (const auto& [key, it] : others_)
        out = std::max(out, now - it.at);
    return out;
}

} // namespace ebonywick
