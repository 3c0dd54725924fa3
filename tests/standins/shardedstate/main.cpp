// Exercises the sharded state of a node from many threads: queries, dispatchers, timers and
// configuration changes, with links that answer from a small thread pool. Guards against
// data races, deadlocks and queries that never end. It is a plain program, because the
// test runner does not work under ThreadSanitizer.
#include "node/dispatchermanager.h"
#include "node/queryservice.h"
#include "node/timerservice.h"

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace {

using namespace ebonywick;
using namespace std::chrono_literals;

constexpr int caller_threads = 6;
constexpr int queries_per_caller = 150;
constexpr int shard_count = 6;
constexpr int replica_count = 3;

/// Runs functions on a few threads; the links answer calls on them.
class worker_pool
{
public:
    worker_pool()
    {
        for (int it = 0; it < 4; ++it)
            threads_.emplace_back([this](const std::stop_token& stop) { run(stop); });
    }

    ~worker_pool()
    {
        for (std::jthread& it : threads_)
            it.request_stop();
        changed_.notify_all();
    }

    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    void post(std::function<void()> function)
    {
        const std::lock_guard lock{mutex_};
        functions_.push_back(std::move(function));
        changed_.notify_one();
    }

private:
    void run(const std::stop_token& stop)
    {
        std::unique_lock lock{mutex_};
        while (changed_.wait(lock, stop, [this] { return !functions_.empty(); })) {
            const std::function<void()> function = std::move(functions_.front());
            functions_.pop_front();
            lock.unlock();
            function();
            lock.lock();
        }
    }

    std::mutex mutex_;
    std::condition_variable_any changed_;
    std::deque<std::function<void()>> functions_;
    std::vector<std::jthread> threads_;
};

link_factory make_links(worker_pool& pool)
{
    link_factory out;
    out.open = [&pool](std::uint32_t number, const endpoint&, const link_handlers& handlers) {
        const auto shared = std::make_shared<link_handlers>(handlers);
        pool.post([shared, number] { shared->on_opened(link_opened{number, true}); });
        link_handle handle;
        handle.start = [&pool, shared, number](const link_call& call) {
            pool.post([shared, number, call] {
                link_reply reply;
                reply.id = call.id;
                reply.link = number;
                // Some first attempts lose their reply, so that calls are repeated.
                const bool reply_lost =
                    call.id.attempt == 0 && call.id.request.low % 64 == call.id.shard_index;
                reply.status = reply_lost ? reply_status::lost : reply_status::completed;
                reply.latency = 1ms;
                reply.from = snapshot{1, 1};
                reply.shard = call.shard;
                reply.versions = {1};
                reply.reported = reported_state::warm;
                reply.boot_id = 1;
                reply.body = "[]";
                shared->on_reply(reply);
            });
        };
        handle.probe = [&pool, shared, number](duration) {
            pool.post([shared, number] {
                shared->on_probe(link_probed{number, true, reported_state::warm, 1});
            });
        };
        handle.owner = shared;
        return handle;
    };
    out.cancel = [](const endpoint&, const call_id&) {
    };
    return out;
}

fleet_view_ptr make_view(bool domain_out)
{
    auto view = std::make_shared<fleet_view>();
    service_declaration service;
    service.name = service_name{"katalog"};
    shard_map map;
    for (int shard = 0; shard < shard_count; ++shard) {
        shard_declaration declared{shard_name{"s" + std::to_string(shard)}, {}};
        for (int replica = 0; replica < replica_count; ++replica) {
            upstream_declaration upstream;
            upstream.id = upstream_id{declared.name.value() + "-r" + std::to_string(replica)};
            upstream.domain = failure_domain_id{std::to_string(replica)};
            upstream.slots = 4;
            declared.replicas.push_back(upstream);
            view->upstreams.emplace(upstream.id,
                                    upstream_placement{upstream, service.name, host_id{"self"},
                                                       domain_out && replica == 0});
        }
        map.shards.push_back(std::move(declared));
    }
    service.shard_maps.push_back(std::move(map));
    view->config.services.push_back(std::move(service));
    preset_declaration preset;
    preset.name = preset_name{"ordinary"};
    if (domain_out)
        preset.domains_out.emplace_back("0");
    view->config.presets.push_back(preset);
    view->config.preset_in_force = preset.name;
    return view;
}

/// The parts of a node from the query service to the links.
class node_query_stack
{
public:
    node_query_stack()
        : queries_(calls(), timers_, metrics_, log_, 1),
          dispatchers_(metrics_, log_, make_links(pool_), handlers())
    {
        change_view(false);
        const fleet_view_ptr view = make_view(false);
        for (const auto& [id, placement] : view->upstreams)
            dispatchers_.on_held_changed(id, true);
    }

    void change_view(bool domain_out)
    {
        const fleet_view_ptr view = make_view(domain_out);
        dispatchers_.on_view(view);
        queries_.on_view(view);
    }

    void change_held_upstreams(bool held)
    {
        const fleet_view_ptr view = make_view(false);
        for (const auto& [id, placement] : view->upstreams) {
            if (placement.declaration.domain == failure_domain_id{"1"})
                dispatchers_.on_held_changed(id, held);
        }
    }

    void tick()
    {
        dispatchers_.tick();
        queries_.tick();
    }

    query_outcome run(std::uint64_t caller, std::uint64_t number)
    {
        caller_request request;
        request.id = request_id{caller, number};
        request.service = service_name{"katalog"};
        request.caller = caller_id{"c" + std::to_string(caller)};
        request.traffic = number % 3 == 0 ? request_class::batch : request_class::interactive;
        request.deadline = boot_clock::now() + 5s;
        request.body = "{}";
        return queries_.run(request);
    }

private:
    call_sender calls()
    {
        call_sender out;
        out.send = [this](call_request request, time_point deadline) {
            request.remaining = deadline - boot_clock::now();
            dispatchers_.submit(request, call_origin{});
            return host_id{"self"};
        };
        out.cancel = [this](const call_cancel& cancel) {
            dispatchers_.cancel(cancel);
        };
        return out;
    }

    dispatch_handlers handlers()
    {
        dispatch_handlers out;
        out.may_dispatch = [](const upstream_id&, time_point, time_point) {
            return true;
        };
        out.reply = [this](const call_reply& reply, const call_origin&) {
            queries_.on_reply(reply);
        };
        return out;
    }

    logger log_{log_level::error};
    node_metrics metrics_;
    timer_service timers_;
    worker_pool pool_;
    query_service queries_;
    dispatcher_manager dispatchers_;
};

} // namespace

int main()
{
    node_query_stack path;
    std::atomic<int> answered_count{0};
    std::atomic<int> unanswered_count{0};
    std::atomic<bool> running{true};
    std::thread configuration_changes{[&] {
        for (int round = 0; running.load(); ++round) {
            path.tick();
            path.change_view(round % 20 >= 10);
            if (round % 7 == 0)
                path.change_held_upstreams(round % 2 == 0);
            std::this_thread::sleep_for(2ms);
        }
    }};
    {
        std::vector<std::jthread> callers;
        callers.reserve(caller_threads);
        for (int caller = 0; caller < caller_threads; ++caller) {
            callers.emplace_back([&, caller] {
                for (int n = 0; n < queries_per_caller; ++n) {
                    const query_outcome outcome =
                        path.run(std::uint64_t(caller) + 1, std::uint64_t(n));
                    if (std::holds_alternative<answered>(outcome))
                        ++answered_count;
                    else
                        ++unanswered_count;
                }
            });
        }
    }
    running.store(false);
    configuration_changes.join();
    std::printf("answered %d, otherwise ended %d\n", answered_count.load(),
                unanswered_count.load());
    const int total = answered_count.load() + unanswered_count.load();
    if (total != caller_threads * queries_per_caller || answered_count.load() == 0)
        return EXIT_FAILURE;
    return EXIT_SUCCESS;
}
