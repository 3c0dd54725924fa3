// State of one query behind query_coordinator.
#pragma once

#include "query/attempttable.h"
#include "query/querycoordinator.h"
#include "query/querytimers.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace ebonywick {

/// Why a shard needs another attempt; decides who pays for it.
enum class retry_cause : std::uint8_t {
    // No replica could be chosen so far, so nothing was sent.
    none_chosen,
    version_refused,
    not_run,
    // The reply was lost, invalid or of another snapshot.
    no_reply,
};

struct shard_progress
{
    enum class status : std::uint8_t { open, replied, lost };

    status state = status::open;
    std::uint8_t hedges = 0;
    bool hedge_postponed = false;
    bool reserve_used = false;
    bool retry_pending = false;
    retry_cause cause = retry_cause::none_chosen;
    std::uint8_t free_retries = 0;
    std::uint8_t delayed_retries = 0;
    // Both only if replied.
    snapshot from;
    std::string hits;
};

struct query_coordinator::state
{
    state(query_plan p, replica_selector& s, retry_budget& b)
        : plan(std::move(p)), selector(s), budget(b)
    {
    }

    // Events (querycoordinator.cpp).
    void begin(time_point now);
    void on_answer(const call_answered& ev, std::string&& hits, time_point now);
    void on_failure(const call_failed& ev, time_point now);
    void on_timer(time_point now);
    void arm_timer();

    // Attempts (queryattempts.cpp).
    [[nodiscard]] std::optional<replica_choice> choose(std::uint32_t shard, bool only_untried);
    void send(std::uint32_t shard, replica_choice&& choice, bool hedge, time_point now);
    void watch(const query_attempt& attempt, query_timer_kind kind, time_point at);
    void hedge(const query_attempt& attempt, time_point now);
    void replace_silent(const query_attempt& attempt, time_point now);
    void retry(std::uint32_t shard, retry_cause cause, bool waited, time_point now);
    void retry_later(std::uint32_t shard, retry_cause cause, time_point now);
    [[nodiscard]] bool pay(shard_progress& progress, retry_cause cause);
    void cancel(query_attempt& attempt, time_point now);
    void lose(std::uint32_t shard);
    [[nodiscard]] duration silence_limit(time_point now) const;

    // Snapshots and the end (querysettling.cpp).
    [[nodiscard]] const shard_map* map_of(shard_map_epoch epoch) const;
    void start_round(snapshot target, bool first, time_point now);
    [[nodiscard]] bool restart(time_point now);
    [[nodiscard]] std::optional<snapshot> restart_target() const;
    void count_reply(snapshot from);
    [[nodiscard]] std::pair<snapshot, std::uint32_t> best_group() const;
    [[nodiscard]] bool is_enough(std::uint32_t merged) const;
    [[nodiscard]] bool time_for_restart(time_point now) const;
    void settle(time_point now);
    void finish(bool deadline_passed, time_point now);
    [[nodiscard]] query_outcome outcome(bool deadline_passed);
    void end(query_outcome result, time_point now);

    query_plan plan;
    replica_selector& selector;
    retry_budget& budget;

    // Points into plan.service; null before the first round.
    const shard_map* map = nullptr;
    snapshot wanted;
    // A version-0 round at a new map although an older snapshot is known.
    bool exploring = false;
    std::uint32_t restarts = 0;
    // The largest version asked for; a restart only takes a larger one.
    index_version newest_tried = 0;
    std::vector<shard_progress> shards;
    attempt_table attempts;
    query_timers timers;
    // Number of shards with status open.
    std::uint32_t open = 0;
    // Replies by snapshot; a single entry unless wanted.version is 0.
    std::vector<std::pair<snapshot, std::uint32_t>> groups;
    // A shard has no replica left for the wanted snapshot.
    bool snapshot_exhausted = false;

    // Every attempt that has ended is known as not run.
    bool all_not_run = true;
    error_kind last_not_run = error_kind::no_replica;
    // Time of the last set_timer that has not fired.
    time_point armed = time_point::max();
    bool goal_passed = false;
    bool finished = false;
    std::vector<query_action> actions;
};

} // namespace ebonywick
