// Public interface of query_coordinator, handling of events, and log lines of actions.
#include "query/querycoordinator.h"

#include "query/querystate.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace ebonywick {

void query_coordinator::state::begin(time_point now)
{
    const std::vector<shard_map>& maps = plan.service->shard_maps;
    if (maps.empty() || now >= plan.deadline) {
        last_not_run = maps.empty() ? error_kind::no_replica : error_kind::deadline_too_short;
        finish(false, now);
        return;
    }
    // Without a known snapshot, the oldest map is the most likely to be complete: a newer
    // one may be declared before its upstreams run.
    snapshot target{0, maps.front().epoch};
    if (const auto epoch = selector.take_unexplored_epoch(); epoch && map_of(*epoch) != nullptr) {
        target.epoch = *epoch;
        exploring_newer_map = true;
    } else if (const auto known = selector.newest_complete();
               known && map_of(known->epoch) != nullptr) {
        target = *known;
    }
    start_round(target, true, now);
    check_completion(now);
}

void query_coordinator::state::on_answer(const call_answered& ev, std::string&& hits,
                                         time_point now)
{
    query_attempt* attempt = attempts.find_outstanding(ev.id.shard_index, ev.id.attempt);
    if (attempt == nullptr || ev.id.request != plan.id)
        return;
    const std::uint32_t shard = attempt->shard;
    shard_progress& progress = shards[shard];
    all_not_run = false;
    attempts.end(*attempt);
    if (ev.upstream != attempt->upstream || ev.shard != map->shards[shard].name) {
        selector.call_ended(attempt->upstream, std::nullopt);
        selector.observe_failure(attempt->upstream, error_kind::reply_invalid, wanted);
        if (attempts.outstanding_for(shard) == 0)
            retry(shard, retry_cause::no_reply, false, now);
        return;
    }
    selector.call_ended(attempt->upstream, now - attempt->sent);
    selector.observe_snapshot(attempt->upstream, ev.from);
    const bool matches = wanted.version == 0 ? ev.from.version != 0 && ev.from.epoch == wanted.epoch
                                             : ev.from == wanted;
    if (!matches) {
        attempt->refused = true;
        if (wanted.version != 0)
            selector.observe_failure(attempt->upstream, error_kind::version_not_held, wanted);
        if (attempts.outstanding_for(shard) == 0)
            retry(shard, retry_cause::no_reply, false, now);
        return;
    }
    progress.state = shard_progress::status::replied;
    progress.from = ev.from;
    progress.hits = std::move(hits);
    --open_shards;
    count_reply(ev.from);
    if (attempts.outstanding_for(shard) == 0)
        return;
    attempts.for_each_at(shard, [&](query_attempt& it) {
        if (it.outstanding)
            cancel(it, now);
    });
}

void query_coordinator::state::on_failure(const call_failed& ev, time_point now)
{
    query_attempt* attempt = attempts.find_outstanding(ev.id.shard_index, ev.id.attempt);
    if (attempt == nullptr || ev.id.request != plan.id)
        return;
    const std::uint32_t shard = attempt->shard;
    attempts.end(*attempt);
    selector.call_ended(attempt->upstream, std::nullopt);
    selector.observe_failure(attempt->upstream, ev.kind, wanted);
    if (ev.kind == error_kind::overloaded)
        selector.observe_shedding(now);
    retry_cause cause = retry_cause::no_reply;
    if (is_not_run(ev.kind)) {
        cause = retry_cause::not_run;
        last_not_run = ev.kind;
    } else {
        all_not_run = false;
    }
    if (ev.kind == error_kind::version_not_held) {
        cause = retry_cause::version_refused;
        attempt->refused = true;
    }
    if (attempts.outstanding_for(shard) == 0)
        retry(shard, cause, false, now);
}

void query_coordinator::state::on_timer(time_point now)
{
    armed_until = time_point::max();
    while (const auto due = timers.pop_due(now)) {
        shard_progress& progress = shards[due->shard];
        if (progress.state != shard_progress::status::open)
            continue;
        if (due->kind == query_timer_kind::retry) {
            progress.retry_pending = false;
            if (attempts.outstanding_for(due->shard) == 0)
                retry(due->shard, progress.cause, true, now);
            continue;
        }
        const query_attempt* attempt = attempts.find_outstanding(due->shard, due->number);
        if (attempt == nullptr)
            continue;
        if (due->kind == query_timer_kind::hedge)
            hedge(*attempt, now);
        else
            retry_silent(*attempt, now);
    }
}

void query_coordinator::state::arm_timer()
{
    if (finished)
        return;
    time_point next = std::min(timers.next(), plan.deadline);
    if (plan.latency_goal && !latency_goal_passed)
        next = std::min(next, *plan.latency_goal);
    if (next >= armed_until)
        return;
    armed_until = next;
    actions.emplace_back(set_timer{next});
}

query_coordinator::query_coordinator(query_plan plan, replica_selector& selector,
                                     retry_budget& budget)
    : state_(std::make_unique<state>(std::move(plan), selector, budget))
{
}

query_coordinator::~query_coordinator()
{
    // The selector outlives the query and would go on counting its outstanding calls.
    state_->attempts.for_each([this](const query_attempt& it) {
        if (it.outstanding)
            state_->selector.call_ended(it.upstream, std::nullopt);
    });
}

std::vector<query_action> query_coordinator::start(time_point now)
{
    state_->selector.advance(now);
    state_->begin(now);
    state_->arm_timer();
    return std::exchange(state_->actions, {});
}

std::vector<query_action> query_coordinator::handle(const query_event& ev, time_point now)
{
    return handle(query_event{ev}, now);
}

std::vector<query_action> query_coordinator::handle(query_event&& ev, time_point now)
{
    state& st = *state_;
    if (st.finished || st.map == nullptr)
        return {};
    st.selector.advance(now);
    if (auto* answer = std::get_if<call_answered>(&ev))
        st.on_answer(*answer, std::move(answer->hits), now);
    else if (const auto* failure = std::get_if<call_failed>(&ev))
        st.on_failure(*failure, now);
    else
        st.on_timer(now);
    st.check_completion(now);
    st.arm_timer();
    return std::exchange(st.actions, {});
}

bool query_coordinator::finished() const
{
    return state_->finished;
}

namespace {

struct action_line
{
    std::string operator()(const send_call& it) const
    {
        std::string line = fmt::format(
            "send_call id={} searcher={} shard={} version={} epoch={} hedge={}", to_string(it.id),
            it.upstream.value(), it.shard.value(), it.wanted.version, it.wanted.epoch, it.hedge);
        for (const upstream_id& other : it.passed_over)
            line += " passed_over=" + other.value();
        return line;
    }
    std::string operator()(const cancel_call& it) const
    {
        return fmt::format("cancel_call id={} searcher={}", to_string(it.id), it.upstream.value());
    }
    std::string operator()(const set_timer&) const { return "set_timer"; }
    std::string operator()(const finish_query& it) const
    {
        return "finish_query " + to_string(it.outcome);
    }
};

} // namespace

std::string to_string(const query_action& act)
{
    return std::visit(action_line{}, act);
}

} // namespace ebonywick
