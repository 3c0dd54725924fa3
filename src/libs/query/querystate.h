// Internal state of query_coordinator.
#pragma once

#include "query/attempttable.h"
#include "query/querycoordinator.h"
#include "query/querytimers.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace ebonywick {

/// Why a shard needs another attempt; decides how the attempt is charged to the budget.
enum class retry_cause : std::uint8_t {
    // No replica could be chosen, so nothing was sent.
    no_replica_chosen,
    version_refused,
    // The upstream or a host on the way refused the call and did not run it.
    not_run,
    // The reply was lost, late, invalid or of another snapshot.
    no_reply,
};

struct shard_progress
{
    enum class status : std::uint8_t { open, replied, given_up };

    status state = status::open;
    std::uint8_t hedges = 0;
    bool hedge_postponed = false;
    // A retry was charged to the reserve of the budget; allowed once per shard.
    bool reserve_used = false;
    bool retry_pending = false;
    retry_cause cause = retry_cause::no_replica_chosen;
    // Retries that were not charged to the budget.
    std::uint8_t free_retries = 0;
    std::uint8_t delayed_retries = 0;
    // Both are set only if `state` is replied.
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
    [[nodiscard]] std::optional<replica_choice> choose_replica(std::uint32_t shard,
                                                               bool only_untried);
    void send(std::uint32_t shard, replica_choice&& choice, bool hedge, time_point now);
    void set_attempt_timer(const query_attempt& attempt, query_timer_kind kind, time_point at);
    void hedge(const query_attempt& attempt, time_point now);
    void retry_silent(const query_attempt& attempt, time_point now);
    void retry(std::uint32_t shard, retry_cause cause, bool waited, time_point now);
    void retry_later(std::uint32_t shard, retry_cause cause, time_point now);
    [[nodiscard]] bool charge_budget(shard_progress& progress, retry_cause cause);
    void cancel(query_attempt& attempt, time_point now);
    void give_up_shard(std::uint32_t shard);
    [[nodiscard]] duration silence_timeout(time_point now) const;

    // Snapshots and completion (querycompletion.cpp).
    [[nodiscard]] const shard_map* map_of(shard_map_epoch epoch) const;
    void start_round(snapshot target, bool first, time_point now);
    [[nodiscard]] bool restart(time_point now);
    [[nodiscard]] std::optional<snapshot> restart_target() const;
    void count_reply(snapshot from);
    [[nodiscard]] std::pair<snapshot, std::uint32_t> largest_group() const;
    [[nodiscard]] bool meets_least_coverage(std::uint32_t merged) const;
    [[nodiscard]] bool has_time_for_restart(time_point now) const;
    void check_completion(time_point now);
    void finish(bool deadline_passed, time_point now);
    [[nodiscard]] query_outcome outcome(bool deadline_passed);
    void finish_with(query_outcome result, time_point now);

    query_plan plan;
    replica_selector& selector;
    retry_budget& budget;

    // Points into plan.service; null before the first round.
    const shard_map* map = nullptr;
    snapshot wanted;
    // The round asks the upstreams of a newer map for any version although a snapshot of an
    // older map is complete. It is abandoned as soon as a shard does not answer.
    bool exploring_newer_map = false;
    std::uint32_t restarts = 0;
    // Largest version requested; a restart at a known snapshot needs a larger one.
    index_version newest_requested = 0;
    std::vector<shard_progress> shards;
    attempt_table attempts;
    query_timers timers;
    // Number of shards whose status is open.
    std::uint32_t open_shards = 0;
    // Number of replies per snapshot; a single entry unless wanted.version is 0.
    std::vector<std::pair<snapshot, std::uint32_t>> reply_groups;
    // Some shard has no replica left for the wanted snapshot, so a restart is considered.
    bool snapshot_exhausted = false;

    // All attempts that have ended are known not to have run.
    bool all_not_run = true;
    // Reason of the last refusal, for the outcome not_run.
    error_kind last_not_run = error_kind::no_replica;
    // Time of the pending set_timer action; `time_point::max()` if none.
    time_point armed_until = time_point::max();
    bool latency_goal_passed = false;
    bool finished = false;
    std::vector<query_action> actions;
};

} // namespace ebonywick
