// Executes fan-out actions: starts and abandons upstream calls and encodes the answer.
#include "gateway/callerrequest.h"

#include "base/hashing.h"
#include "platform/httpcodec.h"

#include <fmt/format.h>

#include <iterator>

namespace ebonywick {

namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

// Nothing if the request was not sent.
std::optional<call_evidence> evidence_of(const call_outcome& outcome)
{
    if (const auto* reply = std::get_if<upstream_reply>(&outcome))
        return reply->stamp.empty() ? call_evidence::answered : call_evidence::ran;
    switch (std::get<call_failure>(outcome)) {
    case call_failure::lost:
        return call_evidence::lost;
    case call_failure::misdirected:
        return call_evidence::replaced;
    case call_failure::shed:
        return call_evidence::answered;
    case call_failure::not_sent:
        break;
    }
    return std::nullopt;
}

} // namespace

caller_request::caller_request(http_exchange exchange, request_name name, fan_out_plan plan,
                               const request_context& context)
    : exchange_(std::move(exchange)), name_(std::move(name)),
      fan_out_(std::move(plan), context.fan_out_resources), context_(context),
      timer_(context.timers, [this] {
          const caller_request_pointer self{this};
          handle_event(timer_fired{});
      })
{
}

caller_request::~caller_request() = default;

void caller_request::start()
{
    exchange_.on_disconnect(
        [self = caller_request_pointer{this}] { self->on_caller_disconnected(); });
    fan_out_.start(context_.timers.now(), actions_);
    run_actions();
}

void caller_request::handle_event(fan_out_event event)
{
    if (finished_)
        return;
    fan_out_.handle(std::move(event), context_.timers.now(), actions_);
    run_actions();
}

void caller_request::run_actions()
{
    // Executing an action may end a call at once, which appends actions and calls this
    // function again; the outer loop executes them.
    if (running_actions_)
        return;
    running_actions_ = true;
    for (std::size_t it = 0; it < actions_.size(); ++it) {
        fan_out_action action = std::move(actions_[it]);
        std::visit([&](auto& act) { execute(act); }, action);
    }
    actions_.clear();
    running_actions_ = false;
    if (!finished_)
        timer_.set(fan_out_.next_timer());
}

void caller_request::execute(const start_call& action)
{
    context_.metrics.call_started(to_string(action.reason));
    call_records_.push_back({action.to, action.reason, context_.timers.now(), {}, {}});
    calls_.emplace_back();
    const time_point deadline = fan_out_.plan().deadline;
    upstream_call_plan plan;
    plan.to = action.to;
    plan.request_id = name_.id;
    plan.at_most_once = !fan_out_.plan().matched_route->idempotent;
    plan.bodyless_reply = exchange_.request().method == "HEAD";
    plan.encode = [self = caller_request_pointer{this}, to = action.to, number = action.call,
                   deadline]() -> std::string {
        // The upstream may have become unusable while the call waited for a connection.
        const time_point now = self->context_.timers.now();
        const duration left = deadline - now;
        if (left <= duration::zero() || !to->accepts_calls(now))
            return {};
        // Other calls of the request, or of its repetitions, may have crashed upstreams meanwhile.
        if (!self->name_.trial && self->context_.quarantined.blocks(self->name_.key))
            return {};
        self->fan_out_.call_sent(number);
        const fan_out_plan& of = self->fan_out_.plan();
        std::optional<std::string_view> customer;
        if (of.routes->configuration().has_customers)
            customer = of.customer;
        return platform::encode_call(self->exchange_.request(), to->entry().id, left, customer);
    };
    plan.ended = [self = caller_request_pointer{this}, number = action.call](call_outcome outcome) {
        self->on_call_ended(number, std::move(outcome));
    };
    const upstream_call_pointer call = context_.pool.send(std::move(plan));
    if (call->open())
        calls_[action.call] = call;
}

void caller_request::execute(const abandon_call& action)
{
    record_call_end(action.call, "abandoned");
    const auto call = std::move(calls_[action.call]);
    if (!call)
        return;
    if (call->sent())
        report_evidence(call->plan().to, call_evidence::abandoned);
    context_.pool.abandon(call);
}

void caller_request::on_call_ended(call_number number, call_outcome outcome)
{
    calls_[number] = nullptr;
    if (const auto evidence = evidence_of(outcome))
        report_evidence(call_records_[number].to, *evidence);
    if (auto* reply = std::get_if<upstream_reply>(&outcome)) {
        record_call_end(number, reply->success() ? "replied" : "failed");
        handle_event(call_replied{number, std::move(*reply)});
        return;
    }
    const call_failure failure = std::get<call_failure>(outcome);
    record_call_end(number, to_string(failure));
    handle_event(upstream_call_failed{number, failure});
}

void caller_request::report_evidence(const upstream_pointer& of, call_evidence evidence) const
{
    context_.call_ended(of,
                        {name_.key, static_cast<std::uint32_t>(stable_hash(name_.id)),
                         static_cast<std::uint32_t>(stable_hash(of->entry().service.value()))},
                        evidence);
}

void caller_request::record_call_end(call_number number, std::string_view result)
{
    call_record& it = call_records_[number];
    if (!it.result.empty())
        return;
    it.result = result;
    it.took = context_.timers.now() - it.started;
    context_.metrics.call_ended(result, it.took);
}

void caller_request::execute(finish_request& action)
{
    finished_ = true;
    unlink();
    timer_.cancel();
    const auto use = exchange_.closes_connection() ? platform::connection_use::close
                                                   : platform::connection_use::keep;
    const auto then = exchange_.closes_connection() ? after_answer::close : after_answer::keep_open;
    struct
    {
        caller_request& request;
        platform::connection_use use;
        std::string operator()(const merged_answer& it) const
        {
            request.context_.metrics.shards_missing(it.missing);
            request.record_request_end("answered", 200, it.missing > 0 ? "partial" : "");
            return platform::encode_answer(it, use);
        }
        std::string operator()(const upstream_reply& it) const
        {
            request.record_request_end(it.success() ? "answered" : "upstream_failed", it.status,
                                       "");
            return platform::encode_answer(it, use);
        }
        std::string operator()(const not_run_answer& it) const
        {
            request.context_.quotas.give_back(request.fan_out_.plan().customer,
                                              request.context_.timers.now());
            request.record_request_end("not_run", status_unavailable, it.reason);
            return platform::encode_answer(
                platform::error_answer{status_unavailable, it.reason, it.retry_after}, use);
        }
        std::string operator()(const failed_answer& it) const
        {
            const int status = it.timed_out ? status_gateway_timeout : status_bad_gateway;
            request.record_request_end("unknown", status, it.reason);
            return platform::encode_answer(platform::error_answer{status, it.reason, {}}, use);
        }
    } const encode{*this, use};
    std::string answer = std::visit(encode, action.outcome);
    // A rejection shows nothing of how long requests take.
    if (std::holds_alternative<not_run_answer>(action.outcome)) {
        exchange_.answer(std::move(answer), then);
        return;
    }
    exchange_.answer(
        std::move(answer), then,
        [&timers = context_.timers, arrival = fan_out_.plan().arrival,
         &times = context_.fan_out_resources.statistics.for_route(
             fan_out_.plan().matched_route->name)] { times.add_request(timers.now() - arrival); });
}

void caller_request::finish_for_shutdown()
{
    const caller_request_pointer self{this};
    unlink();
    if (finished_)
        return;
    fan_out_.end_early("host_leaves", context_.timers.now(), actions_);
    run_actions();
}

void caller_request::on_caller_disconnected()
{
    if (finished_)
        return;
    finished_ = true;
    unlink();
    timer_.cancel();
    fan_out_.cancel(context_.timers.now(), actions_);
    for (fan_out_action& it : actions_) {
        if (const auto* call = std::get_if<abandon_call>(&it))
            execute(*call);
    }
    actions_.clear();
    record_request_end("caller_left", 0, "");
}

std::string caller_request::call_summary() const
{
    fmt::memory_buffer buf;
    for (const call_record& it : call_records_) {
        if (buf.size() > 0)
            buf.push_back(',');
        fmt::format_to(std::back_inserter(buf), "{}/{}:{}:{:.1f}ms:{}",
                       it.to->entry().service.value(), it.to->entry().id.value(),
                       to_string(it.reason), to_milliseconds(it.took),
                       it.result.empty() ? "open" : it.result);
    }
    return fmt::to_string(buf);
}

void caller_request::record_request_end(std::string_view outcome, int status,
                                        std::string_view reason) const
{
    const fan_out_plan& plan = fan_out_.plan();
    const duration took = context_.timers.now() - plan.arrival;
    context_.metrics.request_ended(plan.matched_route->name, outcome, took);
    if (!context_.log.enabled(log_level::info))
        return;
    context_.log.write(
        log_level::info, "request_ended",
        {{"id", name_.id},
         {"request", key_text(name_.key.request)},
         {"route", plan.matched_route->name},
         {"config", plan.routes->configuration().version},
         {"outcome", outcome},
         {"status", static_cast<std::uint32_t>(status)},
         {"reason", reason},
         {"took_ms", fmt::format("{:.1f}", to_milliseconds(took))},
         {"budget_ms", fmt::format("{:.0f}", to_milliseconds(plan.deadline - plan.arrival))},
         {"calls", call_summary()}});
}

} // namespace ebonywick
