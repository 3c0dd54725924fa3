// Admission, hedging, retries and completion of a fanned-out request.
#include "fanout/fanout.h"

#include "base/hashing.h"
#include "routing/recordmerge.h"

#include <algorithm>
#include <chrono>

namespace ebonywick {

namespace {

using std::chrono::milliseconds;

// Part of the target latency that is reserved for the network and the response: the way from and
// to the caller takes up to 3 ms each, and merging 42 parts takes a few milliseconds on a weak
// host, behind other work of the event loop.
constexpr duration response_margin = milliseconds{13};
// Subtracted from the caller's deadline, so that the final status arrives before it.
constexpr duration deadline_margin = milliseconds{10};
// Shortest delay from a call to its hedge, as a fraction of the target latency. A call that is
// answered later is still in time, and an earlier hedge takes a slot from another request.
constexpr double min_hedge_delay_fraction = 0.3;
// Longest delay from a call to its hedge, as a fraction of the target latency. A later hedge
// could not be answered in time.
constexpr double max_hedge_delay_fraction = 0.55;
// Delay before a hedge is tried again after the budget or a lack of free slots prevented it.
constexpr duration hedge_retry_wait = milliseconds{15};
// A call that takes longer than this multiple of the 90th percentile indicates that its
// upstream is paused or slow. Before the percentile is known, the call that overtook it, or else
// the target latency, takes its place.
constexpr int late_call_factor = 2;
// Calls per target that may fail without a run, for example by a refusal, besides the allowed
// attempts. Each costs a round trip.
constexpr std::size_t max_refused_calls = 2;
// Remaining time below which another attempt is not expected to succeed.
constexpr duration min_time_for_attempt = milliseconds{15};
// Longest acceptable wait for a slot, as a fraction of the shortest target latency among the
// routes that use the same services. Longer queues would make requests of that route miss
// their target and would not raise the throughput, because all slots are busy anyway.
constexpr double max_wait_fraction = 0.6;
// Fraction of the shards, those with the longest queues, that overload detection ignores,
// because an answer may omit them. The value is the same for all routes: if it followed the
// min_shard_ratio of each route, a route that needs fewer shards would be admitted more often
// than a more urgent one.
constexpr double ignored_shard_fraction = 0.1;
// Factors on the acceptable wait. Less urgent requests are refused first; requests that were
// refused before are refused last.
constexpr double low_priority_wait_factor = 0.85;
constexpr double refused_before_wait_factor = 2.0;
// The same by the share of the customer: far enough apart that a customer above its share is
// refused while the others are not.
constexpr double above_share_wait_factor = 0.5;
constexpr double starved_wait_factor = 1.5;
// An answer that takes longer than this multiple of the median is slow, when versions are compared.
constexpr double slow_answer_factor = 2.5;
// Upper bound of the retry-after time of other refusals. Discovery reports a new upstream
// within a few hundred milliseconds.
constexpr duration max_retry_after = milliseconds{300};

double wait_factor(customer_share share)
{
    switch (share) {
    case customer_share::starved:
        return starved_wait_factor;
    case customer_share::within:
        return 1.0;
    case customer_share::above:
        return above_share_wait_factor;
    }
    return 1.0;
}

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
      times_(shared.statistics.for_route(plan_.matched_route->name)),
      shards_(std::get_if<shard_set>(&plan_.matched_route->target))
{
    if (shards_ == nullptr) {
        targets_.emplace_back(plan_.service);
    } else {
        required_replies_ = shards_->required_shards();
        for (const service_name& it : shards_->shards)
            targets_.emplace_back(it);
    }
    calls_.reserve(targets_.size() + 2);
    outcome_deadline_ =
        std::min(plan_.arrival + plan_.matched_route->timeout, plan_.deadline - deadline_margin);
    const duration in_time = plan_.matched_route->target_latency - response_margin;
    partial_answer_at_ =
        std::min(plan_.arrival + std::max(in_time, duration::zero()), outcome_deadline_);
}

fan_out::~fan_out() = default;

duration fan_out::hedge_delay() const
{
    const duration in_time = plan_.matched_route->target_latency;
    const auto earliest = std::chrono::duration_cast<duration>(in_time * min_hedge_delay_fraction);
    const auto latest = std::chrono::duration_cast<duration>(in_time * max_hedge_delay_fraction);
    return std::clamp(times_.p90(), earliest, latest);
}

bool fan_out::very_late(const call& it, duration comparison, time_point now) const
{
    const duration usual = times_.p90() > duration::zero() ? times_.p90() : comparison;
    return now - it.sent >= late_call_factor * usual;
}

upstream_pointer fan_out::choose_upstream(const call_target& of, call_reason reason, time_point now)
{
    rollout_table* const rollouts = shared_.rollouts;
    // A hedge or a retry of a trial must not be answered by the version on trial.
    if (rollouts != nullptr && reason == call_reason::first && rollouts->may_try(of.service, now)) {
        if (auto to = shared_.upstreams.choose({of.service, of.tried, now, version_choice::trial}))
            return to;
    }
    upstream_pointer out = shared_.upstreams.choose({of.service, of.tried, now});
    if (!out && rollouts != nullptr && rollouts->may_fall_back(of.service, now))
        out = shared_.upstreams.choose({of.service, of.tried, now, version_choice::trial});
    return out;
}

bool fan_out::send(std::size_t index, call_reason reason, time_point now,
                   std::vector<fan_out_action>& out)
{
    call_target& it = targets_[index];
    const upstream_pointer to = choose_upstream(it, reason, now);
    if (!to)
        return false;
    shared_.upstreams.call_started(*to, now);
    if (shared_.rollouts != nullptr)
        shared_.rollouts->call_started(it.service, to->entry().version);
    it.tried.push_back(to);
    ++it.attempts;
    ++it.open_calls;
    it.hedge_at = repeatable() ? now + hedge_delay() : time_point::max();
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
    if (static_cast<std::size_t>(reachable) < required_replies_) {
        finish(not_run_answer{"no_upstream", retry_after(now)}, now, out);
        return;
    }
    if (now >= outcome_deadline_) {
        finish(not_run_answer{"deadline_too_short", retry_after(now)}, now, out);
        return;
    }
    if (refuse_if_overloaded(now, out))
        return;
    if (const time_point allowed_at = calls_allowed_at(now); allowed_at > now) {
        const duration wait = std::min(allowed_at - now, max_retry_after);
        finish(not_run_answer{"upstream_limits", std::min(wait, retry_after(now))}, now, out);
        return;
    }
    for (std::size_t it = 0; it < targets_.size(); ++it) {
        shared_.budget.record_request(targets_[it].service, now);
        if (shared_.rollouts != nullptr)
            shared_.rollouts->request_started(targets_[it].service);
        if (!send(it, call_reason::first, now, out)) {
            targets_[it].failed = true;
            ++failed_targets_;
        }
    }
    // An answer may leave out some of the shards whose upstreams are at their limits.
    if (failed_targets_ > 0)
        finish_if_decided(now, out);
}

duration fan_out::max_wait() const
{
    const route_table::strictest_requirements& strictest =
        plan_.routes->strictest_requirements_of(*plan_.matched_route);
    return std::chrono::duration_cast<duration>(strictest.min_target_latency * max_wait_fraction);
}

time_point fan_out::calls_allowed_at(time_point now) const
{
    std::vector<time_point> times;
    times.reserve(targets_.size());
    for (const call_target& it : targets_)
        times.push_back(shared_.upstreams.next_call_at(it.service, now));
    const auto needed = times.begin() + static_cast<std::ptrdiff_t>(required_replies_) - 1;
    std::nth_element(times.begin(), needed, times.end());
    return *needed;
}

duration fan_out::expected_wait(time_point now) const
{
    std::vector<duration> waits;
    waits.reserve(targets_.size());
    for (const call_target& it : targets_)
        waits.push_back(shared_.upstreams.expected_wait(it.service, now));
    const auto left_out =
        static_cast<std::size_t>(ignored_shard_fraction * static_cast<double>(waits.size()));
    const auto needed = waits.end() - 1 - static_cast<std::ptrdiff_t>(left_out);
    std::nth_element(waits.begin(), needed, waits.end());
    return *needed;
}

bool fan_out::urgent() const
{
    return plan_.priority <=
           plan_.routes->strictest_requirements_of(*plan_.matched_route).most_urgent_priority;
}

duration fan_out::acceptable_wait(time_point now) const
{
    double factor = 1.0;
    if (!urgent())
        factor *= low_priority_wait_factor;
    if (plan_.refused_before)
        factor *= refused_before_wait_factor;
    if (!plan_.customer.empty())
        factor *= wait_factor(shared_.admission.shares.of(plan_.customer, plan_.priority, now));
    return std::chrono::duration_cast<duration>(max_wait() * factor);
}

bool fan_out::refuse_if_overloaded(time_point now, std::vector<fan_out_action>& out)
{
    customer_shares& shares = shared_.admission.shares;
    if (!plan_.customer.empty())
        shares.record_offered(plan_.customer, plan_.priority, now);
    const duration wait = expected_wait(now);
    const duration acceptable = acceptable_wait(now);
    if (wait <= acceptable) {
        if (!plan_.customer.empty())
            shares.record_admitted(plan_.customer, plan_.priority, now);
        return false;
    }
    const duration pause =
        shared_.admission.returns.next(urgent(), wait - acceptable, plan_.deadline - now);
    finish(not_run_answer{"overloaded", pause}, now, out);
    return true;
}

void fan_out::handle(fan_out_event event, time_point now, std::vector<fan_out_action>& out)
{
    if (finished_)
        return;
    std::visit([&](auto& it) { on(it, now, out); }, event);
    if (!finished_)
        finish_if_decided(now, out);
}

void fan_out::end_call(call& it, call_result result, time_point now)
{
    it.open = false;
    --targets_[it.target].open_calls;
    const duration took = now - it.sent;
    record_answer(it, result, took, now);
    shared_.upstreams.call_ended(*it.to, result, {took, times_.relative_to_median(took)}, now);
}

void fan_out::record_answer(const call& it, call_result result, duration took, time_point now)
{
    if (shared_.rollouts == nullptr)
        return;
    const bool slow =
        took > std::chrono::duration_cast<duration>(times_.median() * slow_answer_factor);
    const bool timed = times_.median() > duration::zero() && it.to->warm(now);
    version_answer answer;
    answer.route = static_cast<std::uint32_t>(stable_hash(plan_.matched_route->name));
    switch (result) {
    case call_result::replied:
        break;
    case call_result::failed:
    case call_result::lost:
        answer.failed = true;
        answer.lost = result == call_result::lost;
        break;
    case call_result::cancelled:
        // The time is a lower bound.
        if (!timed || !slow)
            return;
        break;
    case call_result::shed:
    case call_result::unreachable:
        return;
    }
    if (timed && !answer.failed)
        answer.slow = slow;
    const upstream_entry& entry = it.to->entry();
    shared_.rollouts->answered(entry.id, entry.service, entry.version, answer, now);
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
        // Forwarded to the caller if no later attempt succeeds. A caller would repeat a request
        // that must not be repeated after an unconfirmed refusal.
        if (shards_ == nullptr && (idempotent() || !event.reply.unconfirmed_refusal))
            of.reply = std::move(event.reply);
        retry_or_fail(index, true, now, out);
        return;
    }
    const duration took = now - it.sent;
    times_.add(took);
    end_call(it, call_result::replied, now);
    for (call_number number = 0; number < calls_.size(); ++number) {
        if (calls_[number].open && calls_[number].target == index)
            abandon(number, took, now, out);
    }
    of.reply = std::move(event.reply);
    of.hedge_at = time_point::max();
    ++replied_targets_;
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
        --targets_[index].attempts;
        end_call(it, call_result::shed, now);
        break;
    case call_failure::misdirected:
    case call_failure::not_sent:
        --targets_[index].attempts;
        end_call(it, call_result::unreachable, now);
        break;
    }
    retry_or_fail(index, event.failure != call_failure::not_sent, now, out);
}

void fan_out::retry_or_fail(std::size_t index, bool was_sent, time_point now,
                            std::vector<fan_out_action>& out)
{
    call_target& it = targets_[index];
    if (it.open_calls > 0)
        return;
    const bool may_repeat =
        it.attempts == 0 || (repeatable() && it.attempts < plan_.matched_route->attempts);
    const bool few_refused = it.tried.size() - it.attempts <= max_refused_calls;
    const bool in_time = now + min_time_for_attempt < outcome_deadline_;
    if (may_repeat && few_refused && in_time &&
        (!was_sent || shared_.budget.try_take(it.service, now)) &&
        send(index, call_reason::retry, now, out))
        return;
    it.failed = true;
    it.hedge_at = time_point::max();
    ++failed_targets_;
}

void fan_out::hedge(std::size_t index, time_point now, std::vector<fan_out_action>& out)
{
    call_target& it = targets_[index];
    for (call& overdue : calls_) {
        if (overdue.open && overdue.target == index && !overdue.late_reported &&
            very_late(overdue, plan_.matched_route->target_latency, now)) {
            overdue.late_reported = true;
            shared_.upstreams.call_late(*overdue.to, now);
        }
    }
    if (it.open_calls > 1 || it.attempts >= plan_.matched_route->attempts) {
        it.hedge_at = time_point::max();
        return;
    }
    it.hedge_at = now + hedge_retry_wait;
    // A hedge that has to queue delays other requests by more than the time it saves.
    if (shared_.upstreams.has_free_slot({it.service, it.tried, now}) &&
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

void fan_out::finish_if_decided(time_point now, std::vector<fan_out_action>& out)
{
    const std::size_t open = targets_.size() - replied_targets_ - failed_targets_;
    if (replied_targets_ >= required_replies_ && (open == 0 || now >= partial_answer_at_)) {
        if (shards_ != nullptr)
            finish(merge(), now, out);
        else
            finish(std::move(*targets_.front().reply), now, out);
        return;
    }
    if (replied_targets_ + open < required_replies_) {
        if (shards_ == nullptr && targets_.front().reply)
            finish(std::move(*targets_.front().reply), now, out);
        else if (may_run())
            finish(failed_answer{"too_few_replies", false}, now, out);
        else
            finish(not_run_answer{"refused_by_upstreams", retry_after(now)}, now, out);
        return;
    }
    if (now >= latest_sending() && !may_run())
        finish(not_run_answer{"not_sent_in_time", retry_after(now)}, now, out);
    else if (now >= outcome_deadline_)
        finish(failed_answer{"timed_out", true}, now, out);
}

bool fan_out::may_run() const
{
    return may_have_run_ || std::any_of(calls_.begin(), calls_.end(), [](const call& it) {
               return it.open && it.sent_on_connection;
           });
}

time_point fan_out::latest_sending() const
{
    return outcome_deadline_ - std::max(times_.median(), min_time_for_attempt);
}

void fan_out::finish(fan_out_outcome outcome, time_point now, std::vector<fan_out_action>& out)
{
    abandon_all(now, out);
    finished_ = true;
    out.emplace_back(finish_request{std::move(outcome)});
}

void fan_out::cancel(time_point now, std::vector<fan_out_action>& out)
{
    abandon_all(now, out);
    finished_ = true;
}

void fan_out::end_early(std::string_view reason, time_point now, std::vector<fan_out_action>& out)
{
    if (finished_)
        return;
    if (shards_ != nullptr && replied_targets_ >= required_replies_)
        finish(merge(), now, out);
    else if (!may_run())
        finish(not_run_answer{reason, retry_after(now)}, now, out);
    else
        finish(failed_answer{reason, true}, now, out);
}

void fan_out::abandon_all(time_point now, std::vector<fan_out_action>& out)
{
    for (call_number it = 0; it < calls_.size(); ++it) {
        if (calls_[it].open)
            abandon(it, plan_.matched_route->target_latency, now, out);
    }
}

void fan_out::abandon(call_number number, duration comparison, time_point now,
                      std::vector<fan_out_action>& out)
{
    call& it = calls_[number];
    if (very_late(it, comparison, now) && !it.late_reported)
        shared_.upstreams.call_late(*it.to, now);
    may_have_run_ = may_have_run_ || it.sent_on_connection;
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
    return std::clamp<duration>(left / 3, duration::zero(), max_retry_after);
}

time_point fan_out::next_timer() const
{
    time_point out = may_run() ? outcome_deadline_ : latest_sending();
    if (replied_targets_ >= required_replies_)
        out = std::min(out, partial_answer_at_);
    for (const call_target& it : targets_)
        out = std::min(out, it.hedge_at);
    return out;
}

} // namespace ebonywick
