// Runs query coordinators. The mutex of each service guards its admission, replica
// selection, retry budget and queries in progress. Calls and cancellations are sent
// after the mutex is released.
#include "node/queryservice.h"

#include "admission/admissioncontroller.h"
#include "base/hashing.h"
#include "base/lockshardedmap.h"
#include "query/querycoordinator.h"
#include "query/replicaselector.h"
#include "query/retrybudget.h"

#include <fmt/format.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <semaphore>
#include <set>
#include <shared_mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ebonywick {

namespace {

std::string_view attempt_reason(const send_call& call)
{
    if (call.hedge)
        return "hedge";
    return call.id.attempt == 0 ? "first" : "retry";
}

std::string join(const std::vector<upstream_id>& upstreams)
{
    std::string out;
    for (const upstream_id& it : upstreams) {
        if (!out.empty())
            out.push_back(',');
        out += it.value();
    }
    return out.empty() ? "none" : out;
}

} // namespace

struct query_service::service_runtime
{
    service_runtime(const service_declaration& declared, const preset_declaration& policy,
                    std::uint64_t seed)
        : declaration(std::make_shared<const service_declaration>(declared)),
          latency_goal(policy.deadline), selector(seed), budget(policy.hedge_budget),
          admission(policy)
    {
    }

    std::mutex mutex;
    // All guarded by mutex.
    std::shared_ptr<const service_declaration> declaration;
    duration latency_goal;
    replica_selector selector;
    retry_budget budget;
    admission_controller admission;
    // Queries that wait for admission.
    std::unordered_map<request_id, std::shared_ptr<active_query>> waiting;
};

/// A query or order in progress; the thread that serves the caller waits on `done`.
struct query_service::active_query
{
    caller_request request;
    std::shared_ptr<service_runtime> runtime;
    // Guarded by the runtime's mutex, up to `ended`. The coordinator is empty until the
    // query is admitted, and for orders.
    std::optional<query_coordinator> coordinator;
    // When the timer in force expires; timers set for other times are ignored.
    time_point timer_at{};
    bool ended = false;
    // Written before `done` is released, read after it is acquired.
    query_outcome outcome;
    call_reply order_reply;
    bool is_order = false;
    std::string order_key;
    std::binary_semaphore done{0};
};

struct query_service::state
{
    state(call_sender calls, timer_service& timer, node_metrics& counts, logger& logging,
          std::uint64_t first_seed)
        : sender(std::move(calls)), timers(timer), metrics(counts), log(logging), seed(first_seed)
    {
    }

    using query_ptr = std::shared_ptr<active_query>;
    using runtime_ptr = std::shared_ptr<service_runtime>;
    using active_map = lock_sharded_map<request_id, query_ptr>;

    /// Actions that are carried out after the mutex is released.
    struct deferred_actions
    {
        struct call
        {
            query_ptr query;
            send_call action;
        };

        std::vector<call> calls;
        std::vector<call_cancel> cancels;
        std::vector<query_ptr> ended;
    };

    runtime_ptr find(const service_name& service) const;
    query_ptr find(const request_id& id) const;
    // The functions up to end_query() must be called with the runtime's mutex held.
    void apply(const runtime_ptr& runtime, const std::vector<admission_action>& actions,
               deferred_actions& out);
    void apply(const query_ptr& query, std::vector<query_action> actions, deferred_actions& out);
    void start_query(const query_ptr& query, deferred_actions& out);
    void end_query(const query_ptr& query, query_outcome outcome, deferred_actions& out);
    void on_timer(const query_ptr& query, time_point at);
    // flush() and send() must be called without any mutex held.
    void flush(deferred_actions& out);
    void send(const deferred_actions::call& call);

    call_sender sender;
    timer_service& timers;
    node_metrics& metrics;
    logger& log;
    std::uint64_t seed;

    mutable std::shared_mutex mutex;
    // Guarded by mutex.
    std::unordered_map<service_name, runtime_ptr> runtimes;
    active_map active;
};

query_service::state::runtime_ptr query_service::state::find(const service_name& service) const
{
    const std::shared_lock lock{mutex};
    const auto it = runtimes.find(service);
    return it == runtimes.end() ? nullptr : it->second;
}

query_service::state::query_ptr query_service::state::find(const request_id& id) const
{
    return active.find(id).value_or(nullptr);
}

void query_service::state::apply(const runtime_ptr& runtime,
                                 const std::vector<admission_action>& actions,
                                 deferred_actions& out)
{
    for (const admission_action& action : actions) {
        const request_id id = std::visit([](const auto& it) { return it.id; }, action);
        const auto it = runtime->waiting.find(id);
        if (it == runtime->waiting.end())
            continue;
        const query_ptr query = it->second;
        runtime->waiting.erase(it);
        if (const auto* refused = std::get_if<refuse_request>(&action)) {
            query->ended = true;
            query->outcome = refused->reason;
            out.ended.push_back(query);
        } else {
            start_query(query, out);
        }
    }
}

void query_service::state::start_query(const query_ptr& query, deferred_actions& out)
{
    service_runtime& runtime = *query->runtime;
    const time_point now = boot_clock::now();
    query->coordinator.emplace(query_plan{query->request.id, runtime.declaration,
                                          query->request.traffic, query->request.deadline,
                                          now + runtime.latency_goal},
                               runtime.selector, runtime.budget);
    apply(query, query->coordinator->start(now), out);
}

void query_service::state::apply(const query_ptr& query, std::vector<query_action> actions,
                                 deferred_actions& out)
{
    for (query_action& action : actions) {
        if (auto* call = std::get_if<send_call>(&action)) {
            out.calls.push_back(deferred_actions::call{query, std::move(*call)});
        } else if (const auto* cancel = std::get_if<cancel_call>(&action)) {
            out.cancels.push_back(call_cancel{cancel->id, cancel->upstream});
        } else if (const auto* timer = std::get_if<set_timer>(&action)) {
            if (query->timer_at == timer->at)
                continue;
            query->timer_at = timer->at;
            timers.schedule(timer->at, [this, weak = std::weak_ptr{query}, at = timer->at] {
                if (const query_ptr it = weak.lock())
                    on_timer(it, at);
            });
        } else if (auto* finish = std::get_if<finish_query>(&action)) {
            end_query(query, std::move(finish->outcome), out);
        }
    }
}

void query_service::state::end_query(const query_ptr& query, query_outcome outcome,
                                     deferred_actions& out)
{
    if (query->ended)
        return;
    query->ended = true;
    query->outcome = std::move(outcome);
    out.ended.push_back(query);
    apply(query->runtime,
          query->runtime->admission.handle(request_ended{query->request.id}, boot_clock::now()),
          out);
}

void query_service::state::on_timer(const query_ptr& query, time_point at)
{
    deferred_actions out;
    {
        const std::lock_guard lock{query->runtime->mutex};
        // Ignored if the query has ended or a later set_timer replaced this timer.
        if (query->ended || query->timer_at != at || !query->coordinator)
            return;
        query->timer_at = time_point{};
        apply(query, query->coordinator->handle(timer_expired{}, boot_clock::now()), out);
    }
    flush(out);
}

void query_service::state::flush(deferred_actions& out)
{
    for (const query_ptr& it : out.ended) {
        active.erase(it->request.id);
        it->done.release();
    }
    for (const call_cancel& it : out.cancels)
        sender.cancel(it);
    for (const deferred_actions::call& it : out.calls)
        send(it);
}

void query_service::state::send(const deferred_actions::call& call)
{
    const caller_request& from = call.query->request;
    call_request request;
    request.id = call.action.id;
    request.service = from.service;
    request.shard = call.action.shard;
    request.upstream = call.action.upstream;
    request.caller = from.caller;
    request.wanted = call.action.wanted;
    request.traffic = from.traffic;
    request.idempotent = !call.query->is_order;
    request.body = from.body;
    request.idempotency_key = call.query->order_key;
    const std::string_view reason = attempt_reason(call.action);
    metrics.call_sent(from.service.value(), reason);
    const host_id holder = sender.send(std::move(request), call.action.deadline);
    log.write(log_level::info, "routing",
              {{"request", to_string(from.id)},
               {"service", from.service.value()},
               {"shard", call.action.shard.value()},
               {"attempt", call.action.id.attempt},
               {"searcher", call.action.upstream.value()},
               {"holder", std::string_view{holder.empty() ? "none" : holder.value()}},
               {"version", call.action.wanted.version},
               {"reason", reason},
               {"passed_over", join(call.action.passed_over)}});
}

query_service::query_service(call_sender sender, timer_service& timers, node_metrics& metrics,
                             logger& log, std::uint64_t seed)
    : state_(std::make_unique<state>(std::move(sender), timers, metrics, log, seed))
{
}

query_service::~query_service() = default;

void query_service::on_view(const fleet_view_ptr& view)
{
    const preset_declaration policy = view->config.active_preset();
    std::unordered_map<service_name, std::set<upstream_id>> unreachable;
    for (const auto& [id, place] : view->upstreams) {
        if (place.holder.empty())
            unreachable[place.service].insert(id);
    }
    for (const service_declaration& service : view->config.services) {
        state::runtime_ptr runtime = state_->find(service.name);
        if (!runtime) {
            runtime = std::make_shared<service_runtime>(service, policy, state_->seed++);
            const std::unique_lock lock{state_->mutex};
            state_->runtimes[service.name] = runtime;
        }
        const std::lock_guard lock{runtime->mutex};
        if (*runtime->declaration != service)
            runtime->declaration = std::make_shared<const service_declaration>(service);
        runtime->selector.configure(service, policy.domains_out);
        runtime->selector.set_unreachable(unreachable[service.name]);
        runtime->latency_goal = policy.deadline;
        runtime->budget.set_tokens_per_attempt(policy.hedge_budget);
        runtime->admission.configure(policy);
    }
    const std::unique_lock lock{state_->mutex};
    std::erase_if(state_->runtimes, [&](const auto& entry) {
        return view->config.find_service(entry.first) == nullptr;
    });
}

void query_service::on_reply(const call_reply& reply)
{
    const state::query_ptr query = state_->find(reply.id.request);
    if (!query) {
        state_->metrics.reply_unmatched();
        return;
    }
    state::deferred_actions out;
    {
        const time_point now = boot_clock::now();
        service_runtime& runtime = *query->runtime;
        const std::lock_guard lock{runtime.mutex};
        if (reply.report) {
            runtime.selector.observe(*reply.report);
            if (reply.report->shedding)
                runtime.selector.observe_shedding(now);
        }

        state_->apply(query->runtime,
                      runtime.admission.handle(
                          queue_wait_observed{query->request.service, reply.waited}, now),
                      out);
        if (query->is_order && !query->ended) {
            if (reply.failure)
                runtime.selector.observe_failure(reply.upstream, *reply.failure, snapshot{});
            query->ended = true;

            query->order_reply = reply;
            out.ended.push_back(query);
        } else if (query->coordinator && !query->ended) {
            query_event ev;
            if (reply.failure)
                ev = call_failed{reply.id, reply.upstream, *reply.failure};
            else
                ev = call_answered{reply.id, reply.upstream, reply.from, reply.shard, reply.body};
            state_->apply(query, query->coordinator->handle(std::move(ev), now), out);
        }
    }
    state_->flush(out);
}

void query_service::tick()
{
    std::vector<state::runtime_ptr> runtimes;
    {
        const std::shared_lock lock{state_->mutex};
        for (const auto& [name, it] : state_->runtimes)
            runtimes.push_back(it);
    }
    for (const state::runtime_ptr& it : runtimes) {
        state::deferred_actions out;
        {
            const std::lock_guard lock{it->mutex};
            state_->apply(it, it->admission.handle(admission_tick{}, boot_clock::now()), out);
        }
        state_->flush(out);
    }
}

query_outcome query_service::run(const caller_request& request)
{
    const state::runtime_ptr runtime = state_->find(request.service);
    if (!runtime) {
        return not_run{
            make_error(error_kind::unknown_service,
                       fmt::format("service {} is not declared", request.service.value()))};
    }
    auto query = std::make_shared<active_query>();
    query->request = request;
    query->runtime = runtime;
    state_->active.insert(request.id, query);
    state::deferred_actions out;
    {
        const std::lock_guard lock{runtime->mutex};
        runtime->waiting.emplace(request.id, query);
        state_->apply(
            runtime,
            runtime->admission.handle(request_arrived{request.id, request.service, request.caller,
                                                      request.traffic, request.deadline},
                                      boot_clock::now()),
            out);
    }
    state_->flush(out);
    query->done.acquire();
    return std::move(query->outcome);
}

call_reply query_service::run_order(const caller_request& request, const std::string& key)
{
    call_reply failed;
    failed.failure = error_kind::no_replica;
    const state::runtime_ptr runtime = state_->find(request.service);
    if (!runtime)
        return failed;
    auto query = std::make_shared<active_query>();
    query->request = request;
    query->runtime = runtime;
    query->is_order = true;
    query->order_key = key;
    state::deferred_actions out;
    {
        const std::lock_guard lock{runtime->mutex};
        const shard_map& map = runtime->declaration->shard_maps.back();
        const auto index = static_cast<std::uint32_t>(stable_hash(key) % map.shards.size());
        const shard_name& shard = map.shards[index].name;
        runtime->selector.advance(boot_clock::now());
        const auto choice = runtime->selector.choose(shard, snapshot{}, {});
        if (!choice)
            return failed;
        send_call call;
        call.id = call_id{request.id, index, 0};
        call.upstream = choice->upstream;
        call.shard = shard;
        call.deadline = request.deadline;
        call.passed_over = choice->passed_over;
        out.calls.push_back(state::deferred_actions::call{query, std::move(call)});
    }
    state_->active.insert(request.id, query);
    state_->flush(out);
    const duration left = request.deadline - boot_clock::now();
    if (query->done.try_acquire_for(std::max(left, duration::zero())))
        return query->order_reply;
    state_->active.erase(request.id);
    const std::lock_guard lock{runtime->mutex};
    if (query->ended)
        return query->order_reply;
    query->ended = true;
    failed.failure = error_kind::reply_lost;
    return failed;
}

std::size_t query_service::active() const
{
    return state_->active.size();
}

} // namespace ebonywick
