// Fixture that runs one request, over a shard set or to one service, on a simulated clock.
#pragma once

#include "fanout/fanout.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ebonywick {

using namespace std::chrono_literals;

/// The route has a target latency of 60 ms, a timeout of 600 ms and two attempts; the caller's
/// deadline is 600 ms after the start. With `shards` = 0 the request goes to one service.
struct fan_out_fixture
{
    explicit fan_out_fixture(std::size_t shards, double min_shard_ratio = 0.75,
                             bool idempotent = true)
        : shard_count(shards)
    {
        routing_configuration config;
        config.version = 1;
        route via;
        via.name = "r";
        via.host = "h";
        via.path_prefix = "/";
        via.idempotent = idempotent;
        via.timeout = 600ms;
        via.target_latency = 60ms;
        via.attempts = 2;
        if (shards > 0) {
            shard_set set;
            for (std::size_t it = 0; it < shards; ++it)
                set.shards.emplace_back("s" + std::to_string(it));
            set.top_records = 3;
            set.min_shard_ratio = min_shard_ratio;
            via.target = set;
        } else {
            via.target = service_choice{{{service_name{"s0"}, 1.0}}};
        }
        config.routes.push_back(via);
        routes = std::make_shared<const route_table>(config);
    }

    void add_replicas(std::size_t shard, std::size_t count)
    {
        for (std::size_t it = 0; it < count; ++it) {
            const auto id = "u" + std::to_string(shard) + "-" + std::to_string(it);
            upstreams.upsert({.id = upstream_id{id},
                              .service = service_name{"s" + std::to_string(shard)},
                              .address = {"127.0.0.1", 9000},
                              .domain = failure_domain_id{"d"},
                              .slots = 4},
                             now);
        }
    }
    void add_all(std::size_t replicas)
    {
        for (std::size_t it = 0; it < std::max<std::size_t>(1, shard_count); ++it)
            add_replicas(it, replicas);
    }

    void start()
    {
        fan_out_plan plan;
        plan.routes = routes;
        plan.matched_route = &routes->configuration().routes.front();
        if (shard_count == 0)
            plan.service = service_name{"s0"};
        plan.priority = plan.matched_route->priority;
        plan.arrival = now;
        plan.deadline = now + 600ms;
        plan.refused_before = refused_before;
        request = std::make_unique<fan_out>(
            plan, fan_out_environment{upstreams, budget, statistics, admission});
        request->start(now, actions);
        take_actions();
    }
    void reply(call_number call, int status = 200, const std::string& body = "")
    {
        request->handle(call_replied{call, {status, "stamp" + std::to_string(call), {}, body}}, now,
                        actions);
        take_actions();
    }
    void fail_call(call_number call, call_failure failure)
    {
        request->handle(upstream_call_failed{call, failure}, now, actions);
        take_actions();
    }
    /// Advances the clock by `by` and fires all timers that are due.
    void advance(duration by)
    {
        const time_point end = now + by;
        while (!request->finished() && request->next_timer() <= end) {
            now = std::max(now, request->next_timer());
            request->handle(timer_fired{}, now, actions);
            take_actions();
        }
        now = end;
    }
    void take_actions()
    {
        for (auto& it : actions) {
            if (auto* sent = std::get_if<start_call>(&it)) {
                calls[sent->call] = *sent;
                if (!calls_wait)
                    request->call_sent(sent->call);
            } else if (auto* dropped = std::get_if<abandon_call>(&it))
                abandoned.push_back(dropped->call);
            else
                outcome = std::move(std::get<finish_request>(it).outcome);
        }
        actions.clear();
    }
    template <class Outcome>
    const Outcome* ended_as() const
    {
        return outcome ? std::get_if<Outcome>(&*outcome) : nullptr;
    }
    std::size_t calls_to(const std::string& service) const
    {
        std::size_t out = 0;
        for (const auto& [number, it] : calls)
            out += it.to->entry().service.value() == service ? 1 : 0;
        return out;
    }

    std::size_t shard_count;
    time_point now{1000s};
    bool refused_before = false;
    // Calls wait for a connection, and are not sent until the test says so.
    bool calls_wait = false;
    route_table_pointer routes;
    upstream_table upstreams{host_id{"h"}, failure_domain_id{"d"}, 3};
    extra_budget budget{{0.2, 10s, 100}};
    call_statistics statistics;
    admission_state admission;
    std::unique_ptr<fan_out> request;
    std::vector<fan_out_action> actions;
    std::map<call_number, start_call> calls;
    std::vector<call_number> abandoned;
    std::optional<fan_out_outcome> outcome;
};

} // namespace ebonywick
