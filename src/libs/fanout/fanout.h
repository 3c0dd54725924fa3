// State machine of one caller's request. It calls one upstream of each target service,
// hedges and retries within the limits of the route and of the extra-call budget, and ends
// with exactly one outcome unless it is cancelled. It does no I/O: events come in through
// handle(), and the caller performs the returned actions.
#pragma once

#include "admission/customershares.h"
#include "admission/returnspread.h"
#include "base/clock.h"
#include "fanout/callstatistics.h"
#include "rollout/rollouttable.h"
#include "routing/routetable.h"
#include "upstreams/extrabudget.h"
#include "upstreams/upstreamtable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace ebonywick {

/// A complete reply of an upstream. Also an outcome: the reply that is forwarded to the caller
/// if the request went to one service.
struct upstream_reply
{
    int status = 0;
    // Stamp by which the upstream confirms that it ran this request; forwarded to the caller.
    std::string stamp;
    // Header fields to forward to the caller, in order.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    // To a caller, the status promises that the request has not run; the upstream has not confirmed
    // that.
    bool unconfirmed_refusal = false;
    // The reply has no body whatever its header says, as after a HEAD request.
    bool bodyless = false;
    // Length that a bodyless reply states; empty if it states none.
    std::string stated_length = {};

    auto operator<=>(const upstream_reply&) const = default;

    [[nodiscard]] bool success() const { return status >= 200 && status < 300; }
};

/// Index of a call within its request, counted from 0 in the order of sending.
using call_number = std::uint32_t;

/// Event: a complete reply has arrived.
struct call_replied
{
    call_number call = 0;
    upstream_reply reply;
};

/// Why a call ended without a usable reply.
enum class call_failure : std::uint8_t {
    // No connection was available; the request was not sent.
    not_sent,
    // The upstream refused the call for overload and did not run it.
    shed,
    // Another upstream answered at this address and did not run the call.
    misdirected,
    // The connection closed or carried an invalid reply; the call may have run.
    lost,
};

[[nodiscard]] std::string_view to_string(call_failure failure);

/// Event: a call ended without a usable reply.
struct upstream_call_failed
{
    call_number call = 0;
    call_failure failure = call_failure::lost;
};

/// Event: the time returned by fan_out::next_timer() has come.
struct timer_fired
{
};

using fan_out_event = std::variant<call_replied, upstream_call_failed, timer_fired>;

enum class call_reason : std::uint8_t { first, hedge, retry };

[[nodiscard]] std::string_view to_string(call_reason reason);

/// Action: send the request to `to`.
struct start_call
{
    call_number call = 0;
    upstream_pointer to;
    call_reason reason = call_reason::first;
};

/// Action: stop waiting for a call, and close its connection if the request was sent.
struct abandon_call
{
    call_number call = 0;
};

/// Outcome: an answer merged from the replies of the shards.
struct merged_answer
{
    std::string body;
    // One for each shard that the answer covers.
    std::vector<std::string> stamps;
    // Shards that the answer does not cover.
    std::size_t missing = 0;
};

/// Outcome: no upstream ran the request; the caller may retry after `retry_after`.
struct not_run_answer
{
    std::string_view reason;
    duration retry_after{};
};

/// Outcome: no answer, or none in time; upstreams may have run the request.
struct failed_answer
{
    std::string_view reason;
    bool timed_out = false;
};

using fan_out_outcome = std::variant<merged_answer, upstream_reply, not_run_answer, failed_answer>;

/// Action: deliver the outcome to the caller.
struct finish_request
{
    fan_out_outcome outcome;
};

using fan_out_action = std::variant<start_call, abandon_call, finish_request>;

/// Input of one request.
struct fan_out_plan
{
    route_table_pointer routes;
    // Points into `routes`, which keeps it alive.
    const route* matched_route = nullptr;
    // Service selected from the weighted services of the route; empty if the route has a
    // shard set.
    service_name service;
    time_point arrival;
    // The caller's deadline.
    time_point deadline;
    // Customer on whose behalf the caller asks; empty if the configuration has no customers, or
    // the route is public.
    std::string customer;
    // The customer's priority if it states one, else the route's. 0 is the most urgent.
    std::uint32_t priority = 0;
    // The caller retries after a refusal. The target latency is measured from this attempt,
    // because the refusal told the caller when to retry.
    bool refused_before = false;
    // One upstream of each service may run the request: it is neither hedged nor repeated.
    bool runs_once = false;
};

/// State of admission at a host.
struct admission_state
{
    customer_shares shares;
    return_spread returns;
};

/// State shared by all requests of a host; not owned, must outlive each fan_out.
struct fan_out_environment
{
    upstream_table& upstreams;
    extra_budget& budget;
    call_statistics& statistics;
    admission_state& admission;
    // Null: there are no roll-outs.
    rollout_table* rollouts = nullptr;
};

/// Not thread-safe. Functions that take `out` append actions to it; no action follows
/// finish_request.
class fan_out
{
public:
    fan_out(fan_out_plan plan, fan_out_environment shared);
    ~fan_out();
    fan_out(const fan_out&) = delete;
    fan_out& operator=(const fan_out&) = delete;

    void start(time_point now, std::vector<fan_out_action>& out);
    void handle(fan_out_event event, time_point now, std::vector<fan_out_action>& out);
    /// The request has been sent on a connection of this call. Until then the call waits, and the
    /// upstream cannot have run the request.
    void call_sent(call_number number) { calls_[number].sent_on_connection = true; }
    /// Abandons all calls after the caller has disconnected. No outcome follows.
    void cancel(time_point now, std::vector<fan_out_action>& out);

    /// Ends the request now: with a merged answer if enough shards have replied, with
    /// not_run_answer if no call was sent, else with failed_answer. `reason` must outlive the
    /// actions.
    void end_early(std::string_view reason, time_point now, std::vector<fan_out_action>& out);

    /// When timer_fired must be passed to handle() next.
    [[nodiscard]] time_point next_timer() const;
    [[nodiscard]] bool finished() const { return finished_; }
    [[nodiscard]] const fan_out_plan& plan() const { return plan_; }
    [[nodiscard]] std::size_t calls_sent() const { return calls_.size(); }

private:
    struct call
    {
        upstream_pointer to;
        std::size_t target = 0;
        time_point sent;
        bool open = true;
        bool late_reported = false;
        bool sent_on_connection = false;
    };

    struct call_target
    {
        explicit call_target(service_name name) : service(std::move(name)) {}

        service_name service;
        // Upstreams that were selected for a call, whatever its result.
        std::vector<upstream_pointer> tried;
        // Calls that an upstream may have run.
        std::uint32_t attempts = 0;
        std::uint32_t open_calls = 0;
        time_point hedge_at = time_point::max();
        std::optional<upstream_reply> reply;
        // No call is open and no further call is possible.
        bool failed = false;
    };

    [[nodiscard]] bool idempotent() const { return plan_.matched_route->idempotent; }
    // Whether a second upstream of a service may run the request.
    [[nodiscard]] bool repeatable() const { return idempotent() && !plan_.runs_once; }
    [[nodiscard]] duration hedge_delay() const;
    // Whether a call took so long that its upstream is paused or slow. `comparison` is the time
    // of a usual call, for as long as that of the route's calls is not known.
    [[nodiscard]] bool very_late(const call& it, duration comparison, time_point now) const;
    // Longest expected wait for a slot at which a request is admitted, before the factors
    // for its priority and for earlier refusals.
    [[nodiscard]] duration max_wait() const;
    // Expected wait for a slot at the shards that the request needs.
    [[nodiscard]] duration expected_wait(time_point now) const;
    // Whether the priority is that of the most urgent route or customer of the services.
    [[nodiscard]] bool urgent() const;
    // Longest expected wait for a slot at which this request is admitted.
    [[nodiscard]] duration acceptable_wait(time_point now) const;
    // Whether the request was refused for overload.
    [[nodiscard]] bool refuse_if_overloaded(time_point now, std::vector<fan_out_action>& out);
    // When the rate limits of the upstreams allow this host calls to the required shards.
    [[nodiscard]] time_point calls_allowed_at(time_point now) const;
    bool send(std::size_t index, call_reason reason, time_point now,
              std::vector<fan_out_action>& out);
    // Null if no upstream can take a call.
    [[nodiscard]] upstream_pointer choose_upstream(const call_target& of, call_reason reason,
                                                   time_point now);
    void end_call(call& it, call_result result, time_point now);
    // Takes a call into the comparison of the versions of its service.
    void record_answer(const call& it, call_result result, duration took, time_point now);
    void on(call_replied& event, time_point now, std::vector<fan_out_action>& out);
    void on(upstream_call_failed& event, time_point now, std::vector<fan_out_action>& out);
    void on(timer_fired& event, time_point now, std::vector<fan_out_action>& out);
    void retry_or_fail(std::size_t index, bool was_sent, time_point now,
                       std::vector<fan_out_action>& out);
    void hedge(std::size_t index, time_point now, std::vector<fan_out_action>& out);
    void finish_if_decided(time_point now, std::vector<fan_out_action>& out);
    void finish(fan_out_outcome outcome, time_point now, std::vector<fan_out_action>& out);
    // `comparison` as in very_late().
    void abandon(call_number number, duration comparison, time_point now,
                 std::vector<fan_out_action>& out);
    void abandon_all(time_point now, std::vector<fan_out_action>& out);
    // Whether an upstream may have run the request, or may still run it.
    [[nodiscard]] bool may_run() const;
    // The time from which on a request that has not been sent cannot be answered in time.
    [[nodiscard]] time_point latest_sending() const;
    [[nodiscard]] merged_answer merge() const;
    [[nodiscard]] duration retry_after(time_point now) const;

    fan_out_plan plan_;
    fan_out_environment shared_;
    route_call_times& times_;
    // Null unless the route has a shard set.
    const shard_set* shards_ = nullptr;
    // Targets that must reply before there is an answer.
    std::size_t required_replies_ = 1;
    std::vector<call_target> targets_;
    // Indexed by call_number.
    std::vector<call> calls_;
    // Targets with a successful reply; replied_targets_ + failed_targets_ <= targets_.size().
    std::size_t replied_targets_ = 0;
    std::size_t failed_targets_ = 0;
    // From this time on a partial answer with enough shards is sent without waiting for the
    // remaining ones. At most outcome_deadline_.
    time_point partial_answer_at_;
    // Latest time for an outcome.
    time_point outcome_deadline_;
    // An upstream may have run the request in a call that is no longer open.
    bool may_have_run_ = false;
    bool finished_ = false;
};

} // namespace ebonywick
