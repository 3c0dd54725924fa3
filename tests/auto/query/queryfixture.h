// Fixture with a declared service, one query on it and a simulated clock.
#pragma once

#include "query/querycoordinator.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace ebonywick {

using namespace std::chrono_literals;

inline upstream_id upstream_of(std::size_t shard, std::size_t replica)
{
    return upstream_id{std::to_string(shard) + "-" + std::to_string(replica)};
}

inline shard_map make_map(shard_map_epoch epoch, std::size_t shards, std::size_t replicas)
{
    shard_map map;
    map.epoch = epoch;
    for (std::size_t shard = 0; shard < shards; ++shard) {
        shard_declaration& added = map.shards.emplace_back();
        added.name = shard_name{"shard" + std::to_string(shard)};
        for (std::size_t replica = 0; replica < replicas; ++replica) {
            upstream_declaration& upstream = added.replicas.emplace_back();
            upstream.id = upstream_of(shard, replica);
            upstream.domain = failure_domain_id{"domain" + std::to_string(replica)};
            upstream.slots = 4;
        }
    }
    return map;
}

/// One query. `outstanding` holds the calls that have neither ended nor been cancelled,
/// `sent_calls` all calls in the order of sending.
struct query_fixture
{
    query_fixture(std::size_t shards, std::size_t replicas, double share = 0.025,
                  double burst = 20.0)
        : budget(share, burst)
    {
        service.shard_maps = {make_map(1, shards, replicas)};
        selector.configure(service, {});
        selector.advance(now);
    }

    void report(const upstream_id& upstream, std::vector<index_version> versions, bool cold = false)
    {
        selector.observe({upstream, std::move(versions), 0, cold, false, false});
    }
    void report_all(const std::vector<index_version>& versions)
    {
        for (const shard_map& map : service.shard_maps) {
            for (const shard_declaration& shard : map.shards) {
                for (const upstream_declaration& it : shard.replicas)
                    report(it.id, versions);
            }
        }
    }
    /// Gives the selector a hedge delay of about 2 ms.
    void add_latency_samples()
    {
        for (int it = 0; it < 64; ++it) {
            selector.call_sent(upstream_of(0, 0));
            selector.call_ended(upstream_of(0, 0), 2ms);
        }
    }

    void start(duration deadline = 1s, std::optional<duration> goal = std::nullopt)
    {
        query_plan plan;
        plan.id = {1, 2};
        plan.service = std::make_shared<const service_declaration>(service);
        plan.deadline = now + deadline;
        if (goal)
            plan.latency_goal = now + *goal;
        query = std::make_unique<query_coordinator>(plan, selector, budget);
        execute(query->start(now));
    }
    void answer(const send_call& call, snapshot from)
    {
        outstanding.erase(call.id);
        execute(query->handle(call_answered{call.id, call.upstream, from, call.shard, "[]"}, now));
    }
    void fail(const send_call& call, error_kind kind)
    {
        outstanding.erase(call.id);
        execute(query->handle(call_failed{call.id, call.upstream, kind}, now));
    }
    void advance_clock(duration time)
    {
        const time_point end = now + time;
        while (!outcome && timer <= end) {
            now = std::max(now, timer);
            timer = time_point::max();
            execute(query->handle(timer_expired{}, now));
        }
        now = end;
    }
    /// Copies the outstanding calls, so that a test can iterate while it answers them.
    [[nodiscard]] std::vector<send_call> outstanding_calls() const
    {
        std::vector<send_call> all;
        for (const auto& [id, call] : outstanding)
            all.push_back(call);
        return all;
    }
    void execute(std::vector<query_action> actions)
    {
        for (query_action& it : actions) {
            if (auto* call = std::get_if<send_call>(&it)) {
                sent_calls.push_back(*call);
                outstanding.emplace(call->id, *call);
            } else if (const auto* cancelled = std::get_if<cancel_call>(&it)) {
                outstanding.erase(cancelled->id);
                cancel_actions.push_back(*cancelled);
            } else if (const auto* set = std::get_if<set_timer>(&it)) {
                timer = set->at;
            } else {
                outcome = std::get<finish_query>(it).outcome;
            }
        }
    }

    time_point now{1h};
    time_point timer = time_point::max();
    service_declaration service;
    replica_selector selector{7};
    retry_budget budget;
    std::unique_ptr<query_coordinator> query;
    std::map<call_id, send_call> outstanding;
    std::vector<send_call> sent_calls;
    std::vector<cancel_call> cancel_actions;
    std::optional<query_outcome> outcome;
};

} // namespace ebonywick
