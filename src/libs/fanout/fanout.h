// State machine of one caller's request: it calls one upstream of each target service,
// hedges and retries within the limits, and ends with one outcome.
#pragma once

#include "base/clock.h"
#include "fanout/callstatistics.h"
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

/// A complete reply of an upstream.
struct upstream_reply
{
    int status = 0;
    // Statement that the upstream ran this request; goes with the reply to the caller.
    std::string stamp;
    // Header fields that concern the caller, in order.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    auto operator<=>(const upstream_reply&) const = default;

    [[nodiscard]] bool success() const { return status >= 200 && status < 300; }
};

/// Number of a call within its request.
using call_number = std::uint32_t;

struct call_replied
{
    call_number call = 0;
    upstream_reply reply;
};

/// Why a call has no usable reply.
enum class call_failure : std::uint8_t {
    // No connection; the request was not sent.
    not_sent,
    // The upstream refused and did not run the call.
    shed,
    // Another upstream has the address and did not run the call.
    misdirected,
    // The connection ended, or carried something else than the reply.
    lost,
};

[[nodiscard]] std::string_view to_string(call_failure failure);

struct upstream_call_failed
{
    call_number call = 0;
    call_failure failure = call_failure::lost;
};

struct timer_fired
{
};

using fan_out_event = std::variant<call_replied, upstream_call_failed, timer_fired>;

enum class call_reason : std::uint8_t { first, hedge, retry };

[[nodiscard]] std::string_view to_string(call_reason reason);

/// Sends the request to `to`.
struct start_call
{
    call_number call = 0;
    upstream_pointer to;
    call_reason reason = call_reason::first;
};

/// Stops waiting for a call; its connection is closed if the request was sent.
struct abandon_call
{
    call_number call = 0;
};

/// Answer merged from the parts of the shards.
struct merged_answer
{
    std::string body;
    std::vector<std::string> stamps;
    std::size_t missing = 0;
};

/// Nothing was run; the caller may come back after `retry_after`.
struct not_run_answer
{
    std::string_view reason;
    duration retry_after{};
};

/// No answer in time, or none at all; something may have run.
struct failed_answer
{
    std::string_view reason;
    bool timed_out = false;
};

using fan_out_outcome = std::variant<merged_answer, upstream_reply, not_run_answer, failed_answer>;

struct finish_request
{
    fan_out_outcome outcome;
};

using fan_out_action = std::variant<start_call, abandon_call, finish_request>;

struct fan_out_plan
{
    route_table_pointer routes;
    // Of `routes`.
    const route* matched_route = nullptr;
    // Service that was drawn for the request; empty if the route names shards.
    service_name service;
    time_point arrival;
    // End of the caller's patience.
    time_point deadline;
    // The caller was refused before. Its target latency counts from this attempt, because
    // a refusal tells it when to come back.
    bool refused_before = false;
};

/// What the requests of a host share.
struct fan_out_environment
{
    upstream_table& upstreams;
    extra_budget& budget;
    call_statistics& statistics;
};

/// Not thread-safe. Each function appends its actions to `out`; after finish_request
/// nothing follows.
class fan_out
{
public:
    fan_out(fan_out_plan plan, fan_out_environment shared);
    ~fan_out();
    fan_out(const fan_out&) = delete;
    fan_out& operator=(const fan_out&) = delete;

    void start(time_point now, std::vector<fan_out_action>& out);
    void handle(fan_out_event event, time_point now, std::vector<fan_out_action>& out);
    /// The caller has left: abandons all calls. No outcome follows.
    void cancel(time_point now, std::vector<fan_out_action>& out);

    /// Ends the request with what is there: an answer with the least share, or a failure
    /// that does not claim more than is known. `reason` must outlive the actions.
    void end_early(std::string_view reason, time_point now, std::vector<fan_out_action>& out);

    /// When timer_fired is to be given next.
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
        bool reported_late = false;
    };

    struct call_target
    {
        explicit call_target(service_name name) : service(std::move(name)) {}

        service_name service;
        // Upstreams that got the request, for whatever result.
        std::vector<upstream_pointer> tried;
        // Calls that an upstream may have run.
        std::uint32_t runs = 0;
        std::uint32_t open_calls = 0;
        time_point hedge_at = time_point::max();
        std::optional<upstream_reply> reply;
        // Set once no further call is possible and none is open.
        bool given_up = false;
    };

    [[nodiscard]] bool idempotent() const { return plan_.matched_route->idempotent; }
    [[nodiscard]] duration hedge_delay() const;
    // Longest wait for a slot with which a request is admitted.
    [[nodiscard]] duration wait_limit() const;
    [[nodiscard]] bool overloaded(time_point now) const;
    bool send(std::size_t index, call_reason reason, time_point now,
              std::vector<fan_out_action>& out);
    void end_call(call& it, call_result result, time_point now);
    void on(call_replied& event, time_point now, std::vector<fan_out_action>& out);
    void on(upstream_call_failed& event, time_point now, std::vector<fan_out_action>& out);
    void on(timer_fired& event, time_point now, std::vector<fan_out_action>& out);
    void retry_or_give_up(std::size_t index, bool arrived, time_point now,
                          std::vector<fan_out_action>& out);
    void hedge(std::size_t index, time_point now, std::vector<fan_out_action>& out);
    void settle(time_point now, std::vector<fan_out_action>& out);
    void finish(fan_out_outcome outcome, time_point now, std::vector<fan_out_action>& out);
    void abandon(call_number number, time_point now, std::vector<fan_out_action>& out);
    [[nodiscard]] merged_answer merge() const;
    [[nodiscard]] duration retry_after(time_point now) const;

    fan_out_plan plan_;
    fan_out_environment shared_;
    route_call_times& times_;
    // Null unless the route names shards.
    const shard_set* shards_ = nullptr;
    // Targets that an answer needs.
    std::size_t least_ = 1;
    std::vector<call_target> targets_;
    // Indexed by call_number.
    std::vector<call> calls_;
    // Targets with a reply; at most targets_.size() - given_up_.
    std::size_t replied_ = 0;
    std::size_t given_up_ = 0;
    // From then on an answer with the least share is better than a later full one.
    time_point answer_at_;
    // Latest time for an outcome.
    time_point give_up_at_;
    // Some upstream may have run the request.
    bool may_have_run_ = false;
    bool finished_ = false;
};

} // namespace ebonywick
