// Decisions of the fan-out.
#include "fanout/fanout.h"

#include "routing/recordmerge.h"

#include <algorithm>
#include <chrono>

namespace ebonywick {

namespace {

using std::chrono::milliseconds;

// Time for the answer's way to the caller and for this host's own work, taken off the
// target latency. One way takes 1 to 3 ms and a merge of 36 parts some milliseconds of a
// tenth of a core.
constexpr duration answer_margin = milliseconds{9};
// Taken off the caller's deadline, so that the final status still arrives.
constexpr duration deadline_margin = milliseconds{10};
// Part of the target latency before which no hedge is sent: a call that is answered
// later is still in time, and an early hedge takes a slot from another request.
constexpr double earliest_hedge = 0.3;
// Part of the target latency after which a hedge could not be answered in time.
constexpr double latest_hedge = 0.55;
// Wait before a hedge that the budget refused is tried again.
constexpr duration hedge_retry_wait = milliseconds{15};
// A call that takes this many times the high quantile means that its upstream is paused
// or slow.
constexpr int late_factor = 2;
// Refused calls of one target beyond the allowed runs: each costs one round trip.
constexpr std::size_t most_refused = 2;
// Time left below which another attempt cannot succeed.
constexpr duration least_time_left = milliseconds{15};
// Part of the shortest target latency of the routes on the same services that a call may
// wait for a slot. With longer queues the quickest kind of request would miss its target
// while all slots are busy anyway.
constexpr double tolerated_wait = 0.6;
// Share of the shards whose queues do not count, because an answer may leave them out. It
// is the same for all kinds of request: with each kind's own share, the kind that needs
// fewer shards would be admitted more often than a more urgent one.
constexpr double left_out_share = 0.1;
// Factors on the tolerated wait: less urgent requests are refused first, and callers that
// come back after a refusal last.
constexpr double less_urgent_factor = 0.85;
constexpr double returning_factor = 2.0;
// Longest time to come back after a refusal for overload.
constexpr duration overload_pause = std::chrono::seconds{1};
// Time to come back after a refusal for want of upstreams: the longest bounds of
// discovery make an upstream known within some hundred milliseconds.
constexpr duration come_back_after = milliseconds{300};

} // namespace

std::string_view to_string(call_failure failure)
{
    switch (failure) {
    case call_failure::not_sent:
        return "not_sent";
    case call_failure::shed:
        return "shed";
    case call_failure::misdirected:
        return "misdirected";
    case call_failure::lost:
        return "lost";
    }
    return "lost";
}

std::string_view to_string(call_reason reason)
{
    switch (reason) {
    case call_reason::first:
        return "first";
    case call_reason::hedge:
        return "hedge";
    case call_reason::retry:
        return "retry";
    }
    return "first";
}

fan_out::fan_out(fan_out_plan plan, fan_out_environment shared)
    : plan_(std::move(plan)), shared_(shared),
      times_(shared.statistics.of_route(plan_.matched_route->name)),
      shards_(std::get_if<shard_set>(&plan_.matched_route->target))
{
    if (shards_ == nullptr) {
        targets_.emplace_back(plan_.service);
    } else {
        least_ = shards_->required_shards();
        for (const service_name& it : shards_->shards)
            targets_.emplace_back(it);
    }
    calls_.reserve(targets_.size() + 2);
    give_up_at_ =
        std::min(plan_.arrival + plan_.matched_route->timeout, plan_.deadline - deadline_margin);
    const duration in_time = plan_.matched_route->target_latency - answer_margin;
    answer_at_ = std::min(plan_.arrival + std::max(in_time, duration::zero()), give_up_at_);
}

fan_out::~fan_out() = default;

duration fan_out::hedge_delay() const
{
    const duration in_time = plan_.matched_route->target_latency;
    const auto earliest = std::chrono::duration_cast<duration>(in_time * earliest_hedge);
    const auto latest = std::chrono::duration_cast<duration>(in_time * latest_hedge);
    return std::clamp(times_.high_quantile(), earliest, latest);
}

bool fan_out::send(std::size_t index, call_reason reason, time_point now,
                   std::vector<fan_out_action>& out)
{
    call_target& it = targets_[index];
    const upstream_pointer to = shared_.upstreams.choose(it.service, it.tried, now);
    if (!to)
        return false;
    shared_.upstreams.call_started(*to, now);
    it.tried.push_back(to);
    ++it.runs;
    ++it.open_calls;
    it.hedge_at = idempotent() ? now + hedge_delay() : time_point::max();
    const auto number = static_cast<call_number>(calls_.size());
    calls_.push_back({to, index, now, true, false});
    out.emplace_back(start_call{number, to, reason});
    return true;
}

void fan_out::start(time_point now, std::vector<fan_out_action>& out)
{
    const auto reachable =
        std::count_if(targets_.begin(), targets_.end(), [&](const call_target& it) {
            return shared_.upstreams.has_usable(it.service);
        });
    if (static_cast<std::size_t>(reachable) < least_) {
        finish(not_run_answer{"no_upstream", retry_after(now)}, now, out);
        return;
    }
    if (now >= give_up_at_) {
        finish(not_run_answer{"deadline_too_short", retry_after(now)}, now, out);
        return;
    }
    if (overloaded(now)) {
        const duration left = plan_.deadline - now;
        finish(not_run_answer{"overloaded", std::min(left / 3, overload_pause)}, now, out);
        return;
    }
    for (std::size_t it = 0; it < targets_.size(); ++it) {
        shared_.budget.record_request(targets_[it].service, now);
        if (!send(it, call_reason::first, now, out)) {
            targets_[it].given_up = true;
            ++given_up_;
        }
    }
    // Upstreams that are usable may still take no call, for example while they are cold.
    if (given_up_ > 0)
        settle(now, out);
}

duration fan_out::wait_limit() const
{
    const route_table::competing_routes& others =
        plan_.routes->competing_routes_of(*plan_.matched_route);
    return std::chrono::duration_cast<duration>(others.min_target_latency * tolerated_wait);
}

bool fan_out::overloaded(time_point now) const
{
    std::vector<duration> waits;
    waits.reserve(targets_.size());
    for (const call_target& it : targets_)
        waits.push_back(shared_.upstreams.expected_wait(it.service, now));
    const auto left_out =
        static_cast<std::size_t>(left_out_share * static_cast<double>(waits.size()));
    const auto needed = waits.end() - 1 - static_cast<std::ptrdiff_t>(left_out);
    std::nth_element(waits.begin(), needed, waits.end());
    double factor = 1.0;
    if (plan_.matched_route->priority >
        plan_.routes->competing_routes_of(*plan_.matched_route).most_urgent_priority)
        factor *= less_urgent_factor;
    if (plan_.refused_before)
        factor *= returning_factor;
    return *needed > std::chrono::duration_cast<duration>(wait_limit() * factor);
}

void fan_out::handle(fan_out_event event, time_point now, std::vector<fan_out_action>& out)
{
    if (finished_)
        return;
    std::visit([&](auto& it) { on(it, now, out); }, event);
    if (!finished_)
        settle(now, out);
}

void fan_out::end_call(call& it, call_result result, time_point now)
{
    it.open = false;
    --targets_[it.target].open_calls;
    const duration took = now - it.sent;
    shared_.upstreams.call_ended(*it.to, result, {took, times_.relative(took)}, now);
}

void fan_out::on(call_replied& event, time_point now, std::vector<fan_out_action>& out)
{
    call& it = calls_[event.call];
    if (!it.open)
        return;
    const std::size_t index = it.target;
    call_target& of = targets_[index];
    may_have_run_ = true;
    if (!event.reply.success()) {
        end_call(it, call_result::failed, now);
        // The failure is what the caller gets if no other attempt does better.
        if (shards_ == nullptr)
            of.reply = std::move(event.reply);
        retry_or_give_up(index, true, now, out);
        return;
    }
    times_.add(now - it.sent);
    end_call(it, call_result::replied, now);
    for (call_number number = 0; number < calls_.size(); ++number) {
        if (calls_[number].open && calls_[number].target == index)
            abandon(number, now, out);
    }
    of.reply = std::move(event.reply);
    of.hedge_at = time_point::max();
    ++replied_;
}

void fan_out::on(upstream_call_failed& event, time_point now, std::vector<fan_out_action>& out)
{
    call& it = calls_[event.call];
    if (!it.open)
        return;
    const std::size_t index = it.target;
    switch (event.failure) {
    case call_failure::lost:
        may_have_run_ = true;
        end_call(it, call_result::lost, now);
        break;
    case call_failure::shed:
        --targets_[index].runs;
        end_call(it, call_result::shed, now);
        break;
    case call_failure::misdirected:
    case call_failure::not_sent:
        --targets_[index].runs;
        end_call(it, call_result::unreachable, now);
        break;
    }
    retry_or_give_up(index, event.failure != call_failure::not_sent, now, out);
}

void fan_out::retry_or_give_up(std::size_t index, bool arrived, time_point now,
                               std::vector<fan_out_action>& out)
{
    call_target& it = targets_[index];
    if (it.open_calls > 0)
        return;
    const bool may_repeat =
        it.runs == 0 || (idempotent() && it.runs < plan_.matched_route->attempts);
    const bool few_refused = it.tried.size() - it.runs <= most_refused;
    const bool in_time = now + least_time_left < give_up_at_;
    if (may_repeat && few_refused && in_time &&
        (!arrived || shared_.budget.try_take(it.service, now)) &&
        send(index, call_reason::retry, now, out))
        return;
    it.given_up = true;
    it.hedge_at = time_point::max();
    ++given_up_;
}

void fan_out::hedge(std::size_t index, time_point now, std::vector<fan_out_action>& out)
{
    call_target& it = targets_[index];
    for (call& late : calls_) {
        const bool very_late = now - late.sent >= late_factor * times_.high_quantile();
        if (late.open && late.target == index && !late.reported_late && very_late &&
            times_.high_quantile() > duration::zero()) {
            late.reported_late = true;
            shared_.upstreams.call_late(*late.to, now);
        }
    }
    if (it.open_calls > 1 || it.runs >= plan_.matched_route->attempts) {
        it.hedge_at = time_point::max();
        return;
    }
    it.hedge_at = now + hedge_retry_wait;
    // A hedge that waits for a slot delays other requests more than it saves.
    if (shared_.upstreams.has_free_slot(it.service, it.tried, now) &&
        shared_.budget.try_take_hedge(it.service, now))
        send(index, call_reason::hedge, now, out);
}

void fan_out::on(timer_fired& /*event*/, time_point now, std::vector<fan_out_action>& out)
{
    for (std::size_t it = 0; it < targets_.size(); ++it) {
        if (targets_[it].hedge_at <= now)
            hedge(it, now, out);
    }
}

void fan_out::settle(time_point now, std::vector<fan_out_action>& out)
{
    const std::size_t open = targets_.size() - replied_ - given_up_;
    if (replied_ >= least_ && (open == 0 || now >= answer_at_)) {
        if (shards_ != nullptr)
            finish(merge(), now, out);
        else
            finish(std::move(*targets_.front().reply), now, out);
        return;
    }
    if (replied_ + open < least_) {
        if (shards_ == nullptr && targets_.front().reply)
            finish(std::move(*targets_.front().reply), now, out);
        else if (may_have_run_ || open > 0 || replied_ > 0)
            finish(failed_answer{"too_few_replies", false}, now, out);
        else
            finish(not_run_answer{"refused_by_upstreams", retry_after(now)}, now, out);
        return;
    }
    if (now >= give_up_at_)
        finish(failed_answer{"timed_out", true}, now, out);
}

void fan_out::finish(fan_out_outcome outcome, time_point now, std::vector<fan_out_action>& out)
{
    for (call_number it = 0; it < calls_.size(); ++it) {
        if (calls_[it].open)
            abandon(it, now, out);
    }
    finished_ = true;
    out.emplace_back(finish_request{std::move(outcome)});
}

void fan_out::cancel(time_point now, std::vector<fan_out_action>& out)
{
    for (call_number it = 0; it < calls_.size(); ++it) {
        if (calls_[it].open)
            abandon(it, now, out);
    }
    finished_ = true;
}

void fan_out::end_early(std::string_view reason, time_point now, std::vector<fan_out_action>& out)
{
    if (finished_)
        return;
    if (shards_ != nullptr && replied_ >= least_)
        finish(merge(), now, out);
    else if (calls_.empty())
        finish(not_run_answer{reason, retry_after(now)}, now, out);
    else
        finish(failed_answer{reason, true}, now, out);
}

void fan_out::abandon(call_number number, time_point now, std::vector<fan_out_action>& out)
{
    call& it = calls_[number];
    const bool late = times_.high_quantile() > duration::zero() &&
                      now - it.sent >= late_factor * times_.high_quantile();
    if (late && !it.reported_late)
        shared_.upstreams.call_late(*it.to, now);
    end_call(it, call_result::cancelled, now);
    out.emplace_back(abandon_call{number});
}

merged_answer fan_out::merge() const
{
    merged_answer out;
    std::vector<std::string_view> bodies;
    for (const call_target& it : targets_) {
        if (!it.reply) {
            ++out.missing;
            continue;
        }
        bodies.emplace_back(it.reply->body);
        out.stamps.push_back(it.reply->stamp);
    }
    out.body = merge_top_records(bodies, shards_->top_records);
    return out;
}

duration fan_out::retry_after(time_point now) const
{
    const duration left = plan_.deadline - now;
    return std::clamp<duration>(left / 3, duration::zero(), come_back_after);
}

time_point fan_out::next_timer() const
{
    time_point out = give_up_at_;
    if (replied_ >= least_)
        out = std::min(out, answer_at_);
    for (const call_target& it : targets_)
        out = std::min(out, it.hedge_at);
    return out;
}

} // namespace ebonywick
