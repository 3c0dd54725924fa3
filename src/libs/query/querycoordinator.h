// State machine of one query: it sends a call to each shard, hedges and retries calls,
// merges replies of a single snapshot only and ends with an outcome. It does no I/O: it
// takes events and returns the actions that its owner executes.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/identifiers.h"
#include "query/outcome.h"
#include "query/replicaselector.h"
#include "query/retrybudget.h"
#include "settings/declaration.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ebonywick {

/// State that an upstream reported with a reply or a refusal.
struct upstream_report
{
    upstream_id upstream;
    // Index versions that it holds; empty if not reported.
    std::vector<index_version> versions;
    std::uint32_t queue_length = 0;
    bool cold = false;
    bool leaving = false;
    bool shedding = false;

    auto operator<=>(const upstream_report&) const = default;
};

/// A call was answered.
struct call_answered
{
    call_id id;
    upstream_id upstream;
    snapshot from;
    shard_name shard;
    // Hits as a serialized JSON array.
    std::string hits;

    auto operator<=>(const call_answered&) const = default;
};

/// A call ended without an answer; `kind` says whether it may have run.
struct call_failed
{
    call_id id;
    upstream_id upstream;
    error_kind kind = error_kind::reply_lost;

    auto operator<=>(const call_failed&) const = default;
};

/// The time of the last set_timer action has come.
struct timer_expired
{
    auto operator<=>(const timer_expired&) const = default;
};

using query_event = std::variant<call_answered, call_failed, timer_expired>;

/// Sends one attempt to `upstream`.
struct send_call
{
    call_id id;
    upstream_id upstream;
    shard_name shard;
    // Version 0 asks for the newest one that the upstream holds.
    snapshot wanted;
    // The caller's deadline; a later reply is not used.
    time_point deadline;
    bool hedge = false;
    // The other replicas of the shard, for the decision log.
    std::vector<upstream_id> passed_over;

    auto operator<=>(const send_call&) const = default;
};

/// Cancels an attempt whose reply is no longer needed.
struct cancel_call
{
    call_id id;
    upstream_id upstream;

    auto operator<=>(const cancel_call&) const = default;
};

/// Requests a timer_expired event at `at`; replaces the previous request.
struct set_timer
{
    time_point at;

    auto operator<=>(const set_timer&) const = default;
};

/// The query has ended. This is its last action.
struct finish_query
{
    query_outcome outcome;

    auto operator<=>(const finish_query&) const = default;
};

using query_action = std::variant<send_call, cancel_call, set_timer, finish_query>;

/// Returns one line for the decision log.
[[nodiscard]] std::string to_string(const query_action& act);

/// Parameters of a query.
struct query_plan
{
    request_id id;
    // Shared by the queries under the same configuration; not null.
    std::shared_ptr<const service_declaration> service;
    request_class traffic = request_class::interactive;
    // The caller's deadline.
    time_point deadline;
    // Start of the query plus the preset's `deadline`. A service that yields coverage first
    // answers then with what it has. No effect if empty or later than `deadline`.
    std::optional<time_point> latency_goal;

    auto operator<=>(const query_plan&) const = default;
};

/// Coordinates one query. Not thread-safe. `selector` and `budget` are shared by the
/// queries of a service and must outlive the coordinator.
class query_coordinator
{
public:
    query_coordinator(query_plan plan, replica_selector& selector, retry_budget& budget);
    ~query_coordinator();
    query_coordinator(const query_coordinator&) = delete;
    query_coordinator& operator=(const query_coordinator&) = delete;

    /// Starts the query and returns its first actions. Must be called once, before handle().
    std::vector<query_action> start(time_point now);
    /// Returns the actions to execute, in order; none once the query has ended.
    std::vector<query_action> handle(const query_event& ev, time_point now);
    /// As above, but moves the hits out of `ev`.
    std::vector<query_action> handle(query_event&& ev, time_point now);
    [[nodiscard]] bool finished() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
