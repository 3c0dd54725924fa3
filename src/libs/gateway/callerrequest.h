// A caller's request in progress: executes the actions of the fan-out state machine on the
// upstream pool and sends the result to the caller.
#pragma once

#include "customers/quotashares.h"
#include "fanout/fanout.h"
#include "gateway/httpserver.h"
#include "gateway/upstreampool.h"
#include "logging/eventlooplogger.h"
#include "metrics/gatewaymetrics.h"
#include "quarantine/quarantine.h"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>
#include <string>
#include <vector>

namespace ebonywick {

/// How a request is named in logs and to upstreams.
struct request_name
{
    // New with each attempt of the caller.
    std::string id;
    // The same for each repetition.
    request_key key;
    // See pass_request_once.
    bool trial = false;

    auto operator<=>(const request_name&) const = default;
};

/// What the end of a call shows about its upstream.
enum class call_evidence : std::uint8_t {
    // It has run the request to its end.
    ran,
    // It has answered without running the request.
    answered,
    // The connection was lost after the request had been sent.
    lost,
    // Another process has answered at its address.
    replaced,
    // Nothing: the call was given up after it had been sent.
    abandoned,
};

/// Objects that all requests of a host share; they outlive the requests.
struct request_context
{
    timer_queue& timers;
    upstream_pool& pool;
    fan_out_environment fan_out_resources;
    event_loop_logger& log;
    gateway_metrics& metrics;
    quota_shares& quotas;
    const quarantine& quarantined;
    const std::function<void(const upstream_pointer&, const request_run&, call_evidence)>&
        call_ended;
};

/// Reference-counted: its open calls and the disconnect callback of its exchange keep it
/// alive until it ends. Not thread-safe.
class caller_request
    : public boost::intrusive_ref_counter<caller_request, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    caller_request(http_exchange exchange, request_name name, fan_out_plan plan,
                   const request_context& context);
    ~caller_request();
    caller_request(const caller_request&) = delete;
    caller_request& operator=(const caller_request&) = delete;

    void start();
    /// Sends a final status at once, because this host shuts down.
    void finish_for_shutdown();

private:
    // One call to an upstream, for the log line at the end of the request.
    struct call_record
    {
        upstream_pointer to;
        call_reason reason = call_reason::first;
        time_point started;
        duration took{};
        // Outcome as logged; empty while the call is open.
        std::string_view result;
    };

    void handle_event(fan_out_event event);
    void run_actions();
    void execute(const start_call& action);
    void execute(const abandon_call& action);
    void execute(finish_request& action);
    void on_call_ended(call_number number, call_outcome outcome);
    void report_evidence(const upstream_pointer& of, call_evidence evidence) const;
    void on_caller_disconnected();
    void record_call_end(call_number number, std::string_view result);
    void record_request_end(std::string_view outcome, int status, std::string_view reason) const;
    [[nodiscard]] std::string call_summary() const;

    http_exchange exchange_;
    request_name name_;
    fan_out fan_out_;
    request_context context_;
    loop_timer timer_;
    // Actions that fan_out_ appended and run_actions() has yet to execute.
    std::vector<fan_out_action> actions_;
    bool running_actions_ = false;
    // Both are indexed by call_number; the entry of a call that has ended is null in calls_.
    std::vector<upstream_call_pointer> calls_;
    std::vector<call_record> call_records_;
    // The answer was sent or the caller has disconnected.
    bool finished_ = false;
};

using caller_request_pointer = boost::intrusive_ptr<caller_request>;

} // namespace ebonywick
