// One roll-out as this host sees it: the allowance of the target version, the counts of all hosts,
// and the stage that follows from them. Who writes the status, and how, is left to the caller.
#pragma once

#include "base/identifiers.h"
#include "rollout/rolloutreport.h"
#include "rollout/versionjudge.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace ebonywick {

/// Bounds of the deployment.
struct rollout_policy
{
    // Part of a service's requests that a bad version may get, and calls in addition. 0: roll-outs
    // are not served.
    double exposure_share = 0;
    double exposure_slack = 0;
    // Time after which a bad version gets no further calls.
    duration rollback = std::chrono::seconds{5};

    auto operator<=>(const rollout_policy&) const = default;
};

/// An operator's order and the status that the hosts have written.
struct rollout_order
{
    service_name service;
    std::string target_version;
    // Within which the roll-out is to end.
    duration length{};
    // Differs between orders that follow each other under one name.
    std::uint64_t key = 0;
    // Empty before the first status.
    std::optional<rollout_stage> written;
    // Of the object in the store.
    std::uint64_t revision = 0;

    auto operator<=>(const rollout_order&) const = default;
};

/// How a call ended, for the judgement.
struct version_answer
{
    // Hash of the route's name.
    std::uint32_t route = 0;
    bool from_target = false;
    bool failed = false;
    // The connection broke; `failed` is set.
    bool lost = false;
    // Nothing: the time is not judged.
    std::optional<bool> slow;
};

/// State of the fleet and the upstreams that advance() needs.
struct rollout_surroundings
{
    // Other hosts that call upstreams and are alive.
    std::set<host_id> live_hosts;
    // An upstream of the target version may get calls.
    bool target_usable = false;
    // No call of this host to another version is open.
    bool clear = false;
};

/// Not thread-safe.
class rollout
{
public:
    rollout(rollout_order order, rollout_policy policy, time_point now);

    [[nodiscard]] const rollout_order& order() const { return order_; }
    [[nodiscard]] rollout_stage stage() const;
    /// Takes over a later state of the same order.
    void update(const rollout_order& order, time_point now);
    /// Among how many hosts the slack is divided. 0: this host has no part of it.
    void set_sharing_hosts(std::size_t count) { sharing_hosts_ = count; }

    void request_started() { ++own_.requests; }
    /// Whether this host may call the target version as a trial.
    [[nodiscard]] bool may_try(time_point now) const;
    void target_called() { ++own_.target_calls; }
    void answered(const version_answer& answer);
    /// Takes over the counts and the verdict of another host.
    void record(const host_id& from, incarnation_number incarnation, const rollout_report& report,
                time_point now);
    /// Judges the counts. To be called after each event and regularly.
    void advance(const rollout_surroundings& around, time_point now);
    /// The status that is to be written now, on condition of order().revision; nothing if none is.
    [[nodiscard]] std::optional<rollout_stage> due_write() const { return due_; }
    [[nodiscard]] rollout_report report() const;

    /// Counts of all hosts.
    [[nodiscard]] std::uint64_t fleet_requests() const;
    [[nodiscard]] std::uint64_t fleet_target_calls() const;
    [[nodiscard]] answer_counts target_answers() const;
    [[nodiscard]] answer_counts other_answers() const;
    [[nodiscard]] double score() const;
    /// Age of the oldest of the latest counts of other hosts; zero if there are none.
    [[nodiscard]] duration oldest_report(time_point now) const;

private:
    struct host_counts
    {
        rollout_report report;
        time_point at{};
    };

    [[nodiscard]] duration age(time_point now) const { return now - begun_at_; }
    // How long the hosts get to take over the switch.
    [[nodiscard]] duration settle_time() const;
    // Age at which the switch is due.
    [[nodiscard]] duration switch_age() const;
    [[nodiscard]] bool all_heard(const std::set<host_id>& hosts, time_point now) const;
    [[nodiscard]] bool all_clear(const std::set<host_id>& hosts, time_point now) const;
    [[nodiscard]] std::map<std::uint32_t, route_answers> merged() const;
    void judge();
    [[nodiscard]] std::optional<rollout_stage> next_write(const rollout_surroundings& around,
                                                          time_point now) const;
    // The newest counts of `host`, whatever its incarnation; null if there are none.
    [[nodiscard]] const host_counts* newest_of(const host_id& host) const;

    rollout_order order_;
    rollout_policy policy_;
    time_point begun_at_;
    // When the switch was first known here; time_point::max() before.
    time_point switching_since_ = time_point::max();
    // Judged bad here or at another host. Never reset, as a restored store may have lost it.
    bool bad_ = false;
    // The store has had the status `completed`. Never reset.
    bool completed_ = false;
    std::size_t sharing_hosts_ = 0;
    rollout_report own_;
    // Earlier incarnations are kept: their requests were sent.
    std::map<std::pair<host_id, incarnation_number>, host_counts> others_;
    std::map<std::uint32_t, version_judge> route_judges_;
    version_judge judge_;
    std::optional<rollout_stage> due_;
};

} // namespace ebonywick
