// Sends, hedges, retries and cancels the calls of a query.
#include "query/querystate.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ebonywick {

using namespace std::chrono_literals;

namespace {

// The silence timeout in hedge delays. It is far above the slowest ordinary calls, so that
// it detects dead connections and not stragglers.
constexpr int silence_factor = 8;
constexpr duration min_silence_timeout = 20ms;
// Used while no hedge delay is known.
constexpr duration default_silence_timeout = 100ms;
// Retries of calls that were refused without being run, per shard and version, that are
// not charged to the budget.
constexpr std::uint8_t max_free_retries = 2;
// Per shard. One is not enough: at the target load the first hedge of some shard straggles
// too in 0.7 % of the queries, most of the 1 % that may exceed the p99.
constexpr std::uint8_t max_hedges = 2;
// If more shards than this are open when a hedge is due, the cause is not a slow replica: the
// whole group or this host is late. Stragglers alone leave about 1 shard in 66 open.
constexpr std::uint32_t max_straggling_shards(std::uint32_t shards)
{
    return 2 + shards / 16;
}
// Per shard and snapshot.
constexpr std::uint32_t max_attempts = 8;
// If no replica can be chosen or the budget is empty, a shard is retried after 5 ms, then
// after delays that double up to 100 ms. After 8 retries (455 ms) it is given up.
constexpr std::uint8_t max_delayed_retries = 8;
constexpr duration first_retry_delay = 5ms;
constexpr duration max_retry_delay = 100ms;

} // namespace

std::optional<replica_choice> query_coordinator::state::choose_replica(std::uint32_t shard,
                                                                       bool only_untried)
{
    if (attempts.count_for(shard) == 0)
        return selector.choose(map->shards[shard].name, wanted, {});
    std::array<upstream_id, max_attempts> excluded;
    std::size_t count = 0;
    attempts.for_each_at(shard, [&](const query_attempt& it) {
        if ((only_untried || it.refused) && count < excluded.size())
            excluded[count++] = it.upstream;
    });
    return selector.choose(map->shards[shard].name, wanted, {excluded.data(), count});
}

void query_coordinator::state::send(std::uint32_t shard, replica_choice&& choice, bool hedge,
                                    time_point now)
{
    shard_progress& progress = shards[shard];
    selector.call_sent(choice.upstream);
    const query_attempt& attempt = attempts.add(shard, choice.upstream, now);
    actions.emplace_back(send_call{call_id{plan.id, shard, attempt.number},
                                   std::move(choice.upstream), map->shards[shard].name, wanted,
                                   plan.deadline, hedge, std::move(choice.passed_over)});
    if (hedge)
        ++progress.hedges;
    const duration delay = selector.hedge_delay();
    if (progress.hedges < max_hedges && delay > duration::zero())
        set_attempt_timer(attempt, query_timer_kind::hedge, now + delay);
    else
        set_attempt_timer(attempt, query_timer_kind::silence, now + silence_timeout(now));
}

void query_coordinator::state::set_attempt_timer(const query_attempt& attempt,
                                                 query_timer_kind kind, time_point at)
{
    timers.push({at, attempt.shard, attempt.number, kind});
}

duration query_coordinator::state::silence_timeout(time_point now) const
{
    const duration delay = selector.hedge_delay();
    const duration limit = delay > duration::zero()
                               ? std::max<duration>(delay * silence_factor, min_silence_timeout)
                               : default_silence_timeout;
    // At most a third of the time left, so that two more attempts fit.
    return std::max<duration>(1ms, std::min(limit, (plan.deadline - now) / 3));
}

void query_coordinator::state::hedge(const query_attempt& attempt, time_point now)
{
    const std::uint32_t shard = attempt.shard;
    if (open_shards > max_straggling_shards(static_cast<std::uint32_t>(shards.size())) &&
        !shards[shard].hedge_postponed) {
        // Hedging all of them would use up the budget that stragglers need later.
        shards[shard].hedge_postponed = true;
        set_attempt_timer(attempt, query_timer_kind::hedge, now + selector.hedge_delay());
        return;
    }
    const time_point silent_at = std::max(now + 1ms, attempt.sent + silence_timeout(attempt.sent));
    set_attempt_timer(attempt, query_timer_kind::silence, silent_at);
    if (shards[shard].hedges >= max_hedges || !selector.may_hedge(now) ||
        attempts.count_for(shard) >= max_attempts)
        return;
    std::optional<replica_choice> choice = choose_replica(shard, true);
    // With two replicas the second hedge goes to one that is already running the call: one
    // slow call does not mean that the upstream is slow.
    const bool second = shards[shard].hedges > 0;
    if (!choice && second)
        choice = choose_replica(shard, false);
    if (!choice || selector.is_cold(choice->upstream) ||
        !(second ? budget.try_take_for_second_hedge() : budget.try_take()))
        return;
    send(shard, std::move(*choice), true, now);
}

void query_coordinator::state::retry_silent(const query_attempt& attempt, time_point now)
{
    const std::uint32_t shard = attempt.shard;
    if (exploring_newer_map) {
        snapshot_exhausted = true;
        return;
    }
    if (attempts.count_for(shard) >= max_attempts)
        return;
    set_attempt_timer(attempt, query_timer_kind::silence, now + silence_timeout(now));
    // Only the newest attempt is retried, so that a dead connection causes one retry.
    if (!attempts.is_newest_outstanding(attempt))
        return;
    std::optional<replica_choice> choice = choose_replica(shard, true);
    // The same replica can be tried again: its holder uses another link, because the first
    // one is still busy.
    if (!choice)
        choice = choose_replica(shard, false);
    if (choice && charge_budget(shards[shard], retry_cause::no_reply))
        send(shard, std::move(*choice), false, now);
}

bool query_coordinator::state::charge_budget(shard_progress& progress, retry_cause cause)
{
    switch (cause) {
    case retry_cause::no_replica_chosen:
    case retry_cause::version_refused:
        return true;
    case retry_cause::not_run:
        if (progress.free_retries >= max_free_retries)
            return budget.try_take();
        ++progress.free_retries;
        return true;
    case retry_cause::no_reply:
        break;
    }
    if (budget.try_take())
        return true;
    if (progress.reserve_used || !budget.try_take_reserve())
        return false;
    progress.reserve_used = true;
    return true;
}

void query_coordinator::state::retry(std::uint32_t shard, retry_cause cause, bool waited,
                                     time_point now)
{
    shard_progress& progress = shards[shard];
    if (attempts.count_for(shard) >= max_attempts) {
        give_up_shard(shard);
        return;
    }
    std::optional<replica_choice> choice = choose_replica(shard, true);
    const bool already_tried = !choice;
    if (already_tried)
        choice = choose_replica(shard, false);
    if (!choice) {
        snapshot_exhausted = true;
        if (attempts.any_refused(shard))
            give_up_shard(shard);
        else
            retry_later(shard, cause, now);
        return;
    }
    // A replica that has just refused the call would probably refuse it again at once.
    const bool wait = already_tried && cause == retry_cause::not_run && !waited;
    if (wait || !charge_budget(progress, cause)) {
        retry_later(shard, cause, now);
        return;
    }
    send(shard, std::move(*choice), false, now);
}

void query_coordinator::state::retry_later(std::uint32_t shard, retry_cause cause, time_point now)
{
    shard_progress& progress = shards[shard];
    if (exploring_newer_map || progress.delayed_retries >= max_delayed_retries) {
        give_up_shard(shard);
        return;
    }
    const duration delay =
        std::min<duration>(first_retry_delay * (1 << progress.delayed_retries), max_retry_delay);
    ++progress.delayed_retries;
    progress.retry_pending = true;
    progress.cause = cause;
    timers.push({now + delay, shard, 0, query_timer_kind::retry});
}

void query_coordinator::state::give_up_shard(std::uint32_t shard)
{
    shards[shard].state = shard_progress::status::given_up;
    --open_shards;
    if (exploring_newer_map)
        snapshot_exhausted = true;
}

void query_coordinator::state::cancel(query_attempt& attempt, time_point now)
{
    all_not_run = false;
    attempts.end(attempt);
    selector.call_cancelled(attempt.upstream, now - attempt.sent);
    actions.emplace_back(
        cancel_call{call_id{plan.id, attempt.shard, attempt.number}, attempt.upstream});
}

} // namespace ebonywick
