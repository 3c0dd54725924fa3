// Discrete-event simulation of entry hosts and upstreams without a network. Requests over a
// shard set arrive at a given rate and are processed by the production fan_out class.
#pragma once

#include "fanout/fanout.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace ebonywick {

using namespace std::chrono_literals;

/// Counts of the requests of one route by outcome.
struct simulated_result
{
    std::size_t total = 0;
    std::size_t in_time = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    // Sum of the coverage, 0 to 1 each, of the answers in time.
    double coverage = 0;
};

/// Ten shards with three upstreams of four slots each, and two routes: `browse` (20 ms of
/// work, target latency 150 ms, more urgent) and `lookup` (7 ms of work, target latency
/// 60 ms). Three of four requests use `browse`.
class simulated_fleet
{
public:
    explicit simulated_fleet(std::size_t hosts, std::uint64_t seed) : engine_(seed)
    {
        routing_configuration config;
        config.version = 1;
        config.routes.push_back(make_route("browse", 1500ms, 150ms, 1, 0.89));
        config.routes.push_back(make_route("lookup", 600ms, 60ms, 2, 0.75));
        routes_ = std::make_shared<const route_table>(config);
        for (std::size_t it = 0; it < hosts; ++it)
            hosts_.push_back(std::make_unique<host>(it, hosts));
        for (std::size_t shard = 0; shard < shard_count; ++shard) {
            for (std::size_t replica = 0; replica < replica_count; ++replica)
                add_upstream(shard, replica);
        }
        schedule(now_, [this] { exchange_limits(); });
    }

    // A request in progress and the callbacks of its calls keep each other alive.
    ~simulated_fleet() { drain(); }
    simulated_fleet(const simulated_fleet&) = delete;
    simulated_fleet& operator=(const simulated_fleet&) = delete;

    /// Generates requests with exponential gaps at a mean rate of `per_second` for `span`.
    void load(double per_second, duration span)
    {
        const time_point end = now_ + span;
        std::exponential_distribution<double> gap{per_second};
        for (time_point at = now_; at < end; at += seconds(gap(engine_)))
            this->schedule(at, [this] { arrive(); });
        run_until(end);
    }
    /// Runs without new requests until all requests in progress have ended.
    void drain() { run_until(now_ + 3s); }
    /// Pauses one replica of each of the first `shards` shards for `span` from now.
    void pause(std::size_t replica, std::size_t shards, duration span)
    {
        for (std::size_t shard = 0; shard < shards; ++shard)
            servers_[shard * replica_count + replica].paused_until = now_ + span;
    }

    /// From now on one replica of each of the first `shards` shards states a limit in its replies;
    /// nullopt: none.
    void limit(std::size_t replica, std::size_t shards, std::optional<double> calls_per_second)
    {
        for (std::size_t shard = 0; shard < shards; ++shard)
            servers_[shard * replica_count + replica].limit = {calls_per_second};
    }
    /// Most calls that have reached an upstream in any `window` from `since` on.
    [[nodiscard]] std::size_t most_arrivals(std::size_t replica, std::size_t shard,
                                            time_point since, duration window) const
    {
        const auto& all = servers_[shard * replica_count + replica].arrivals;
        std::size_t out = 0;
        auto first = std::lower_bound(all.begin(), all.end(), since);
        for (auto last = first; last != all.end(); ++last) {
            while (*last - *first > window)
                ++first;
            out = std::max(out, static_cast<std::size_t>(last - first) + 1);
        }
        return out;
    }
    /// Calls that have reached an upstream since `since`.
    [[nodiscard]] std::size_t arrivals(std::size_t replica, std::size_t shard,
                                       time_point since) const
    {
        const auto& all = servers_[shard * replica_count + replica].arrivals;
        return static_cast<std::size_t>(all.end() -
                                        std::lower_bound(all.begin(), all.end(), since));
    }
    [[nodiscard]] time_point now() const { return now_; }

    /// From now on requests come from ten customers, of which c0 sends `part` of all; 0: none.
    void set_hot_customer(double part) { hot_part_ = part; }

    [[nodiscard]] const simulated_result& of(const std::string& route) { return results_[route]; }
    [[nodiscard]] const simulated_result& of_customer(const std::string& customer)
    {
        return customer_results_[customer];
    }
    void reset_results()
    {
        results_.clear();
        customer_results_.clear();
    }

private:
    static constexpr std::size_t shard_count = 10;
    static constexpr std::size_t replica_count = 3;
    static constexpr std::size_t slots = 4;
    static constexpr std::size_t queue_limit = 24;
    static constexpr duration one_way = 700us;
    static constexpr duration heartbeat_interval = 500ms;

    struct host
    {
        host(std::size_t number, std::size_t hosts)
            : upstreams(host_id{"h" + std::to_string(number)},
                        failure_domain_id{"d" + std::to_string(number % 3)}, number + 1)
        {
            budget.set_host_count(hosts);
            std::vector<host_id> all;
            for (std::size_t it = 0; it < hosts; ++it)
                all.emplace_back("h" + std::to_string(it));
            upstreams.set_sharing_hosts({all, 0}, time_point{});
        }
        upstream_table upstreams;
        extra_budget budget{{0.2, 10s, 100}};
        call_statistics statistics;
        admission_state admission;
    };

    struct server_call
    {
        std::function<void()> run;
        duration work{};
        bool cancelled = false;
    };

    struct server
    {
        std::size_t running = 0;
        std::deque<std::shared_ptr<server_call>> waiting;
        time_point paused_until{};
        stated_limit limit;
        // In order of time.
        std::vector<time_point> arrivals;
    };

    struct request
    {
        std::unique_ptr<fan_out> decisions;
        std::vector<fan_out_action> actions;
        std::map<call_number, std::shared_ptr<server_call>> calls;
        host* at = nullptr;
        bool done = false;
    };

    struct scheduled
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const scheduled& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    static duration seconds(double value)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
    }

    static route make_route(const std::string& name, duration timeout, duration target,
                            std::uint32_t priority, double least)
    {
        route out;
        out.name = name;
        out.host = "h";
        out.path_prefix = "/" + name + "/";
        out.idempotent = true;
        out.timeout = timeout;
        out.target_latency = target;
        out.priority = priority;
        out.attempts = 2;
        shard_set set;
        for (std::size_t it = 0; it < shard_count; ++it)
            set.shards.emplace_back("s" + std::to_string(it));
        set.top_records = 5;
        set.min_shard_ratio = least;
        out.target = set;
        return out;
    }

    void add_upstream(std::size_t shard, std::size_t replica)
    {
        const std::size_t number = servers_.size();
        servers_.emplace_back();
        for (auto& it : hosts_)
            it->upstreams.upsert({.id = upstream_id{std::to_string(number)},
                                  .service = service_name{"s" + std::to_string(shard)},
                                  .address = {"127.0.0.1", static_cast<std::uint16_t>(number + 1)},
                                  .domain = failure_domain_id{"d" + std::to_string(replica)},
                                  .slots = slots},
                                 now_);
    }

    void schedule(time_point when, std::function<void()> run)
    {
        events_.push({when, ++order_, std::move(run)});
    }

    // Every host tells all others the limits that it knows.
    void exchange_limits()
    {
        for (const auto& from : hosts_) {
            for (const limit_report& it : from->upstreams.limit_reports(now_)) {
                for (const auto& to : hosts_) {
                    if (const auto of = to->upstreams.find_reported(it.upstream))
                        to->upstreams.limit_stated(*of, it.limit, now_ - it.age, now_);
                }
            }
        }
        schedule(now_ + heartbeat_interval, [this] { exchange_limits(); });
    }

    void run_until(time_point end)
    {
        while (!events_.empty() && events_.top().at <= end) {
            const scheduled next = events_.top();
            events_.pop();
            now_ = next.at;
            next.run();
        }
        now_ = end;
    }

    void arrive()
    {
        const auto& routes = routes_->configuration().routes;
        const route& matched_route = engine_() % 4 == 0 ? routes[1] : routes[0];
        ++results_[matched_route.name].total;
        auto it = std::make_shared<request>();
        it->at = hosts_[engine_() % hosts_.size()].get();
        fan_out_plan plan;
        plan.routes = routes_;
        plan.matched_route = &matched_route;
        plan.priority = matched_route.priority;
        plan.arrival = now_;
        plan.deadline = now_ + matched_route.timeout;
        plan.customer = random_customer();
        ++customer_results_[plan.customer].total;
        it->decisions = std::make_unique<fan_out>(
            plan, fan_out_environment{it->at->upstreams, it->at->budget, it->at->statistics,
                                      it->at->admission});
        it->decisions->start(now_, it->actions);
        perform(it);
    }

    std::string random_customer()
    {
        if (hot_part_ <= 0.0)
            return {};
        std::uniform_real_distribution<double> part;
        return part(engine_) < hot_part_ ? "c0" : "c" + std::to_string(1 + engine_() % 9);
    }

    void perform(const std::shared_ptr<request>& it)
    {
        const auto actions = std::exchange(it->actions, {});
        for (const auto& action : actions) {
            if (const auto* sent = std::get_if<start_call>(&action))
                send(it, *sent);
            else if (const auto* dropped = std::get_if<abandon_call>(&action))
                it->calls[dropped->call]->cancelled = true;
            else
                finish(*it, std::get<finish_request>(action).outcome);
        }
        if (it->done)
            return;
        const time_point next = it->decisions->next_timer();
        schedule(std::max(next, now_), [this, it] {
            if (it->done || it->decisions->next_timer() > now_)
                return;
            it->decisions->handle(timer_fired{}, now_, it->actions);
            perform(it);
        });
    }

    void finish(request& it, const fan_out_outcome& outcome)
    {
        it.done = true;
        // Breaks the reference cycle between the request and the callbacks of its calls.
        it.calls.clear();
        const fan_out_plan& plan = it.decisions->plan();
        simulated_result& to = results_[plan.matched_route->name];
        if (const auto* answer = std::get_if<merged_answer>(&outcome)) {
            if (now_ + one_way - plan.arrival > plan.matched_route->target_latency) {
                ++to.late;
                return;
            }
            ++to.in_time;
            ++customer_results_[plan.customer].in_time;
            to.coverage += static_cast<double>(answer->stamps.size()) / shard_count;
        } else if (std::holds_alternative<not_run_answer>(outcome)) {
            ++to.refused;
        } else {
            ++to.failed;
        }
    }

    void send(const std::shared_ptr<request>& it, const start_call& sent)
    {
        const bool browse = it->decisions->plan().matched_route->name == "browse";
        std::lognormal_distribution<double> work{browse ? 2.94 : 1.84, 0.35};
        auto call = std::make_shared<server_call>();
        call->work = seconds(work(engine_) / 1000);
        it->calls[sent.call] = call;
        it->decisions->call_sent(sent.call);
        const auto number = std::stoul(sent.to->entry().id.value());
        schedule(now_ + one_way, [this, it, call, number, sent] {
            server& to = servers_[number];
            to.arrivals.push_back(now_);
            if (to.waiting.size() >= queue_limit) {
                schedule(now_ + one_way, [this, it, sent] {
                    deliver(it, upstream_call_failed{sent.call, call_failure::shed});
                });
                return;
            }
            call->run = [this, it, number, sent] {
                const server& of = servers_[number];
                const reported_load load{static_cast<std::uint32_t>(of.running),
                                         static_cast<std::uint32_t>(of.waiting.size()), slots};
                schedule(now_ + one_way, [this, it, sent, load, limit = of.limit] {
                    it->at->upstreams.load_reported(*sent.to, load, now_);
                    it->at->upstreams.limit_stated(*sent.to, limit, now_, now_);
                    deliver(it, call_replied{sent.call, {200, "p", {}, ""}});
                });
            };
            to.waiting.push_back(call);
            serve(number);
        });
    }

    void deliver(const std::shared_ptr<request>& it, fan_out_event event)
    {
        if (it->done)
            return;
        it->decisions->handle(std::move(event), now_, it->actions);
        perform(it);
    }

    void serve(std::size_t number)
    {
        server& of = servers_[number];
        while (of.running < slots && !of.waiting.empty()) {
            const auto call = of.waiting.front();
            of.waiting.pop_front();
            if (call->cancelled)
                continue;
            ++of.running;
            const time_point begin = std::max(now_, of.paused_until);
            schedule(begin + call->work, [this, number, call] {
                --servers_[number].running;
                if (!call->cancelled)
                    call->run();
                serve(number);
            });
        }
    }

    std::mt19937_64 engine_;
    time_point now_{1000s};
    std::uint64_t order_ = 0;
    std::priority_queue<scheduled> events_;
    route_table_pointer routes_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::vector<server> servers_;
    std::map<std::string, simulated_result> results_;
    std::map<std::string, simulated_result> customer_results_;
    double hot_part_ = 0.0;
};

} // namespace ebonywick
