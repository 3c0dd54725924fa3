// Rounds of a query at a snapshot, restarts at another snapshot, and completion.
#include "query/querystate.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace ebonywick {

using namespace std::chrono_literals;

namespace {

// Bounds a query whose upstreams move on to a newer version with every restart.
constexpr std::uint32_t max_restarts = 3;
// Least time left for a restart: a round of calls.
constexpr duration min_restart_time = 2ms;

error not_run_error(error_kind kind, const service_name& service)
{
    return make_error(kind, fmt::format("service {}: no upstream ran the query", service.value()));
}

} // namespace

const shard_map* query_coordinator::state::map_of(shard_map_epoch epoch) const
{
    for (const shard_map& it : plan.service->shard_maps) {
        if (it.epoch == epoch)
            return &it;
    }
    return nullptr;
}

void query_coordinator::state::start_round(snapshot target, bool first, time_point now)
{
    std::vector<shard_progress> previous = std::exchange(shards, {});
    const bool same_map = map != nullptr && map->epoch == target.epoch;
    wanted = target;
    newest_requested = std::max(newest_requested, target.version);
    map = map_of(target.epoch);
    const auto count = static_cast<std::uint32_t>(map->shards.size());
    attempts.reset(count);
    timers.clear();
    reply_groups.clear();
    snapshot_exhausted = false;
    shards.resize(count);
    open_shards = count;
    actions.reserve(actions.size() + count + 1);
    timers.reserve(count + count / 8 + 1);
    for (std::uint32_t it = 0; it < count; ++it) {
        if (same_map && previous[it].state == shard_progress::status::replied &&
            previous[it].from == target) {
            shards[it] = std::move(previous[it]);
            --open_shards;
            count_reply(target);
            continue;
        }
        if (first)
            budget.on_first_attempt();
        if (auto choice = choose_replica(it, true))
            send(it, std::move(*choice), false, now);
        else
            retry(it, retry_cause::no_replica_chosen, false, now);
    }
}

void query_coordinator::state::count_reply(snapshot from)
{
    for (auto& [of, count] : reply_groups) {
        if (of == from) {
            ++count;
            return;
        }
    }
    reply_groups.emplace_back(from, 1);
}

std::pair<snapshot, std::uint32_t> query_coordinator::state::largest_group() const
{
    std::pair<snapshot, std::uint32_t> best{wanted, 0};
    for (const auto& it : reply_groups) {
        if (it.second > best.second || (it.second == best.second && it.first > best.first))
            best = it;
    }
    return best;
}

bool query_coordinator::state::meets_least_coverage(std::uint32_t merged) const
{
    // The tolerance absorbs the rounding of ratios such as 0.9.
    return merged > 0 &&
           double(merged) + 1e-9 >= plan.service->least_coverage * double(shards.size());
}

bool query_coordinator::state::has_time_for_restart(time_point now) const
{
    // A restart drops the replies so far, so there must be time for it before they would
    // have become the answer.
    const bool ends_at_goal = plan.latency_goal && plan.service->yields == yields_first::coverage &&
                              meets_least_coverage(largest_group().second);
    const time_point end =
        ends_at_goal ? std::min(*plan.latency_goal, plan.deadline) : plan.deadline;
    return now + std::max<duration>(min_restart_time, 2 * selector.hedge_delay()) < end;
}

std::optional<snapshot> query_coordinator::state::restart_target() const
{
    if (const auto newer = selector.newest_complete(newest_requested);
        newer && map_of(newer->epoch) != nullptr)
        return newer;
    if (open_shards > 0)
        return std::nullopt;
    const auto [best, count] = largest_group();
    if (wanted.version == 0 && reply_groups.size() > 1 && best.version > newest_requested)
        return best;
    if (meets_least_coverage(count))
        return std::nullopt;
    // No snapshot of this map reaches the coverage: try the next newer map.
    for (const shard_map& it : plan.service->shard_maps) {
        if (it.epoch > wanted.epoch)
            return snapshot{0, it.epoch};
    }
    return std::nullopt;
}

bool query_coordinator::state::restart(time_point now)
{
    if (restarts >= max_restarts || !has_time_for_restart(now))
        return false;
    const std::optional<snapshot> target = restart_target();
    if (!target)
        return false;
    ++restarts;
    exploring_newer_map = false;
    attempts.for_each([&](query_attempt& it) {
        if (it.outstanding)
            cancel(it, now);
    });
    start_round(*target, false, now);
    return true;
}

void query_coordinator::state::check_completion(time_point now)
{
    if (plan.latency_goal && now >= *plan.latency_goal)
        latency_goal_passed = true;
    while (!finished) {
        const bool complete = open_shards == 0 && reply_groups.size() == 1 &&
                              reply_groups.front().second == shards.size();
        if (complete || now >= plan.deadline) {
            finish(!complete, now);
            return;
        }
        if (latency_goal_passed && plan.service->yields == yields_first::coverage &&
            meets_least_coverage(largest_group().second)) {
            finish(false, now);
            return;
        }
        if (open_shards > 0 && !snapshot_exhausted)
            return;
        snapshot_exhausted = false;
        if (restart(now))
            continue;
        if (open_shards == 0)
            finish(false, now);
        return;
    }
}

void query_coordinator::state::finish(bool deadline_passed, time_point now)
{
    finish_with(outcome(deadline_passed), now);
}

query_outcome query_coordinator::state::outcome(bool deadline_passed)
{
    const auto [from, merged] = largest_group();
    const auto total = static_cast<std::uint32_t>(shards.size());
    if (meets_least_coverage(merged)) {
        answered result{from, coverage{merged, total, {}}, {}};
        result.hits.reserve(merged);
        for (std::uint32_t it = 0; it < total; ++it) {
            if (shards[it].state == shard_progress::status::replied && shards[it].from == from)
                result.hits.push_back(std::move(shards[it].hits));
            else
                result.covered.missing.push_back(map->shards[it].name);
        }
        return result;
    }
    if (all_not_run && attempts.outstanding() == 0)
        return not_run{not_run_error(last_not_run, plan.service->name), duration::zero()};
    const error_kind kind =
        deadline_passed && merged == 0 ? error_kind::deadline_exceeded : error_kind::coverage_unmet;
    return unknown_outcome{make_error(
        kind,
        fmt::format("service {}: {} of {} shards answered, {:.3f} of them are needed",
                    plan.service->name.value(), merged, total, plan.service->least_coverage))};
}

void query_coordinator::state::finish_with(query_outcome result, time_point now)
{
    attempts.for_each([&](query_attempt& it) {
        if (it.outstanding)
            cancel(it, now);
    });
    finished = true;
    actions.emplace_back(finish_query{std::move(result)});
}

} // namespace ebonywick
