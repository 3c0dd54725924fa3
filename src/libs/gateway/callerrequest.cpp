// Execution of the fan-out's actions.
#include "gateway/callerrequest.h"

#include "platform/httpcodec.h"

#include <fmt/format.h>

#include <iterator>

namespace ebonywick {

namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

} // namespace

caller_request::caller_request(http_exchange exchange, std::string id, fan_out_plan plan,
                               const request_environment& environment)
    : exchange_(std::move(exchange)), id_(std::move(id)),
      decisions_(std::move(plan), environment.decisions), environment_(environment),
      timer_(environment.timers, [this] {
          const caller_request_pointer self{this};
          give(time_passed{});
      })
{
}

caller_request::~caller_request() = default;

void caller_request::start()
{
    exchange_.on_disconnect([self = caller_request_pointer{this}] { self->caller_gone(); });
    decisions_.start(environment_.timers.now(), actions_);
    perform();
}

void caller_request::give(fan_out_event event)
{
    if (answered_)
        return;
    decisions_.handle(std::move(event), environment_.timers.now(), actions_);
    perform();
}

void caller_request::perform()
{
    // Sending a call may end another one at once, which adds actions to the list.
    if (performing_)
        return;
    performing_ = true;
    for (std::size_t it = 0; it < actions_.size(); ++it) {
        fan_out_action action = std::move(actions_[it]);
        std::visit([&](auto& act) { on(act); }, action);
    }
    actions_.clear();
    performing_ = false;
    if (!answered_)
        timer_.set(decisions_.next_timer());
}

void caller_request::on(const start_call& action)
{
    environment_.metrics.call_started(to_string(action.reason));
    traces_.push_back({action.to, action.reason, environment_.timers.now(), {}, {}});
    calls_.emplace_back();
    const time_point deadline = decisions_.plan().deadline;
    upstream_call_plan plan;
    plan.to = action.to;
    plan.request_id = id_;
    plan.needs_fresh_connection = !decisions_.plan().via->idempotent;
    plan.bodyless_reply = exchange_.request().method == "HEAD";
    plan.encode = [self = caller_request_pointer{this}, to = action.to, deadline]() -> std::string {
        // An upstream that began to leave while the call waited must not get it.
        const duration left = deadline - self->environment_.timers.now();
        if (left <= duration::zero() || !to->usable())
            return {};
        return platform::encode_call(self->exchange_.request(), to->entry().id, left);
    };
    plan.ended = [self = caller_request_pointer{this}, number = action.call](call_outcome outcome) {
        self->call_ended(number, std::move(outcome));
    };
    const upstream_call_pointer call = environment_.pool.send(std::move(plan));
    if (call->open())
        calls_[action.call] = call;
}

void caller_request::on(const abandon_call& action)
{
    note_end(action.call, "abandoned");
    if (const auto call = std::move(calls_[action.call]))
        environment_.pool.abandon(call);
}

void caller_request::call_ended(call_number number, call_outcome outcome)
{
    calls_[number] = nullptr;
    if (auto* reply = std::get_if<upstream_reply>(&outcome)) {
        note_end(number, reply->success() ? "replied" : "failed");
        give(call_replied{number, std::move(*reply)});
        return;
    }
    const call_failure failure = std::get<call_failure>(outcome);
    note_end(number, to_string(failure));
    give(call_broken{number, failure});
}

void caller_request::note_end(call_number number, std::string_view result)
{
    call_trace& it = traces_[number];
    if (!it.result.empty())
        return;
    it.result = result;
    it.took = environment_.timers.now() - it.started;
    environment_.metrics.call_ended(result, it.took);
}

void caller_request::on(finish_request& action)
{
    answered_ = true;
    unlink();
    timer_.cancel();
    const auto use =
        exchange_.closes() ? platform::connection_use::close : platform::connection_use::keep;
    const auto then = exchange_.closes() ? after_answer::close : after_answer::keep_open;
    struct
    {
        caller_request& request;
        platform::connection_use use;
        std::string operator()(const merged_answer& it) const
        {
            request.environment_.metrics.parts_missing(it.missing);
            request.log_end("answered", 200, it.missing > 0 ? "partial" : "");
            return platform::encode_answer(it, use);
        }
        std::string operator()(const upstream_reply& it) const
        {
            request.log_end(it.success() ? "answered" : "upstream_failed", it.status, "");
            return platform::encode_answer(it, use);
        }
        std::string operator()(const not_run_answer& it) const
        {
            request.log_end("not_run", status_unavailable, it.reason);
            return platform::encode_answer(
                platform::own_answer{status_unavailable, it.reason, it.retry_after}, use);
        }
        std::string operator()(const failed_answer& it) const
        {
            const int status = it.timed_out ? status_gateway_timeout : status_bad_gateway;
            request.log_end("unknown", status, it.reason);
            return platform::encode_answer(platform::own_answer{status, it.reason, {}}, use);
        }
    } const encode{*this, use};
    exchange_.answer(std::visit(encode, action.outcome), then);
}

void caller_request::give_up()
{
    const caller_request_pointer self{this};
    unlink();
    if (answered_)
        return;
    decisions_.give_up("host_leaves", environment_.timers.now(), actions_);
    perform();
}

void caller_request::caller_gone()
{
    if (answered_)
        return;
    answered_ = true;
    unlink();
    timer_.cancel();
    decisions_.cancel(environment_.timers.now(), actions_);
    for (fan_out_action& it : actions_) {
        if (const auto* call = std::get_if<abandon_call>(&it))
            on(*call);
    }
    actions_.clear();
    log_end("caller_left", 0, "");
}

std::string caller_request::call_summary() const
{
    fmt::memory_buffer buf;
    for (const call_trace& it : traces_) {
        if (buf.size() > 0)
            buf.push_back(',');
        fmt::format_to(std::back_inserter(buf), "{}/{}:{}:{:.1f}ms:{}",
                       it.to->entry().service.value(), it.to->entry().id.value(),
                       to_string(it.reason), to_milliseconds(it.took),
                       it.result.empty() ? "open" : it.result);
    }
    return fmt::to_string(buf);
}

void caller_request::log_end(std::string_view outcome, int status, std::string_view reason) const
{
    const fan_out_plan& plan = decisions_.plan();
    const duration took = environment_.timers.now() - plan.arrival;
    environment_.metrics.request_ended(plan.via->name, outcome, took);
    if (!environment_.log.enabled(log_level::info))
        return;
    environment_.log.write(
        log_level::info, "request_ended",
        {{"id", id_},
         {"route", plan.via->name},
         {"config", plan.routes->configuration().version},
         {"outcome", outcome},
         {"status", static_cast<std::uint32_t>(status)},
         {"reason", reason},
         {"took_ms", fmt::format("{:.1f}", to_milliseconds(took))},
         {"budget_ms", fmt::format("{:.0f}", to_milliseconds(plan.deadline - plan.arrival))},
         {"calls", call_summary()}});
}

} // namespace ebonywick
