// Feeds random event sequences to queries that share one selector and one budget, and checks
// invariants after each action: a query answers from a single snapshot, ends exactly once,
// reports a correct outcome, and stays within its retries, restarts and budget.
#include "query/querycoordinator.h"
#include "queryfixture.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <unordered_map>

using namespace ebonywick;

namespace {

constexpr std::size_t shard_count = 6;
constexpr std::size_t replica_count = 3;
constexpr std::size_t queries_per_seed = 40;

/// A reply, failure or timer that is to reach a query.
struct pending_event
{
    std::size_t query = 0;
    query_event event;
    // Empty for a timer.
    std::optional<call_id> ended_call;
};

struct call_record
{
    send_call sent;
    // False only if the upstream refused the call.
    bool may_have_run = true;
    std::optional<error_kind> failure;
    bool outstanding = true;
    // The query was told of the call's end before it cancelled the call.
    bool delivered = false;
};

struct query_record
{
    std::unique_ptr<query_coordinator> query;
    std::map<call_id, call_record> calls;
    // Valid replies: shard index and snapshot, by the content of the hits.
    std::map<std::string, std::pair<std::uint32_t, snapshot>> replies;
    std::optional<query_outcome> outcome;
    time_point deadline;
    std::uint32_t version_rounds = 0;
};

struct simulation
{
    explicit simulation(std::uint64_t seed) : random(seed), selector(seed + 1), budget(0.025, 5.0)
    {
        service.shard_maps = {make_map(1, shard_count, replica_count)};
        service.yields = random.below(2) == 0 ? yields_first::coverage : yields_first::latency;
        service.least_coverage = random.below(2) == 0 ? 1.0 : 0.5;
        if (random.below(3) == 0)
            service.shard_maps.push_back(make_map(2, shard_count + 1, replica_count));
        shared = std::make_shared<const service_declaration>(service);
        selector.configure(service, {});
        // With a third of the seeds the upstreams refuse or lose most calls.
        refusing = seed % 6 == 0;
        losing = seed % 6 == 3;
        fault_percentage = refusing ? 100 : losing ? 80 : random.below(50);
    }

    void run()
    {
        for (std::size_t it = 0; it < queries_per_seed; ++it) {
            start(it);
            // Some queries overlap with the next one.
            for (std::uint64_t left = random.below(60); left > 0 && !events.empty(); --left)
                handle_next_event();
        }
        while (!events.empty())
            handle_next_event();
        for (const query_record& it : queries)
            cr_assert(it.outcome.has_value(), "a query did not end");
        std::size_t paid_attempt_count = 0;
        for (const query_record& it : queries)
            paid_attempt_count += paid_attempts(it);
        // Bucket and reserve at the start plus what each first attempt adds to them.
        const double first = double(queries.size() * (shard_count + 1));
        cr_assert_leq(double(paid_attempt_count), 5.0 + 64.0 + first * 0.027);
    }

    void start(std::size_t index)
    {
        query_record& added = queries.emplace_back();
        query_plan plan;
        plan.id = random.next_request_id();
        plan.service = shared;
        plan.deadline = added.deadline = now + std::chrono::milliseconds{20 + random.below(400)};
        if (random.below(2) == 0)
            plan.latency_goal = now + std::chrono::milliseconds{5 + random.below(100)};
        added.query = std::make_unique<query_coordinator>(plan, selector, budget);
        apply(index, added.query->start(now));
    }

    void handle_next_event()
    {
        const auto next = events.begin();
        const pending_event it = next->second;
        now = std::max(now, next->first);
        events.erase(next);
        query_record& record = queries[it.query];
        if (it.ended_call) {
            call_record& call = record.calls.at(*it.ended_call);
            call.delivered = call.delivered || call.outstanding;
            call.outstanding = false;
            observe(call.sent.upstream);
        }
        const bool ended = record.outcome.has_value();
        std::vector<query_action> actions = record.query->handle(it.event, now);
        cr_assert(!ended || actions.empty(), "an action follows the end");
        apply(it.query, std::move(actions));
        cr_assert_eq(record.query->finished(), record.outcome.has_value());
    }

    void apply(std::size_t index, std::vector<query_action> actions)
    {
        query_record& record = queries[index];
        for (query_action& it : actions) {
            cr_assert(!record.outcome, "an action follows the end");
            if (auto* call = std::get_if<send_call>(&it))
                simulate_call(index, *call);
            else if (const auto* set = std::get_if<set_timer>(&it))
                events.emplace(set->at, pending_event{index, timer_expired{}, {}});
            else if (const auto* cancelled = std::get_if<cancel_call>(&it))
                record.calls.at(cancelled->id).outstanding = false;
            else
                on_finish(record, std::get<finish_query>(it).outcome);
        }
    }

    void simulate_call(std::size_t index, const send_call& call)
    {
        query_record& record = queries[index];
        cr_assert(record.calls.emplace(call.id, call_record{call, true, {}, true, false}).second,
                  "a call id is reused");
        check_attempt_limits(record, call);
        const time_point at = now + std::chrono::microseconds{200 + random.below(2500)};
        if (random.below(100) >= fault_percentage) {
            reply(index, call, at);
            return;
        }
        constexpr error_kind kinds[] = {error_kind::overloaded,       error_kind::not_holder,
                                        error_kind::reply_lost,       error_kind::version_not_held,
                                        error_kind::upstream_leaving, error_kind::reply_invalid};
        std::uint64_t drawn = random.below(std::size(kinds) + 4);
        if (losing || refusing)
            drawn = losing || random.below(30) == 0 ? 2 : random.below(2);
        if (drawn >= std::size(kinds) + 2) // silent
            return;
        if (drawn >= std::size(kinds)) { // straggler
            reply(index, call, at + 40ms);
            return;
        }
        record.calls.at(call.id).may_have_run = !is_not_run(kinds[drawn]);
        record.calls.at(call.id).failure = kinds[drawn];
        events.emplace(
            at, pending_event{index, call_failed{call.id, call.upstream, kinds[drawn]}, call.id});
    }

    void reply(std::size_t index, const send_call& call, time_point at)
    {
        query_record& record = queries[index];
        // Upstreams switch to newer versions over time. One in 30 replies is of another shard,
        // version or epoch.
        std::vector<index_version>& held = versions[call.upstream];
        if (held.empty() || random.below(40) == 0)
            held = {1 + queries.size() / 8, 2 + queries.size() / 8};
        snapshot from{call.wanted.version == 0 ? held.back() : call.wanted.version,
                      call.wanted.epoch};
        if (std::find(held.begin(), held.end(), from.version) == held.end()) {
            record.calls.at(call.id).may_have_run = false;
            record.calls.at(call.id).failure = error_kind::version_not_held;
            events.emplace(
                at, pending_event{index,
                                  call_failed{call.id, call.upstream, error_kind::version_not_held},
                                  call.id});
            return;
        }
        shard_name shard = call.shard;
        const std::uint64_t wrong = random.below(90);
        if (wrong == 0)
            shard = shard_name{"other"};
        else if (wrong == 1)
            from.version += 1;
        else if (wrong == 2)
            from.epoch += 1;
        const std::string hits = to_string(call.id);
        if (wrong > 0)
            record.replies[hits] = {call.id.shard_index, from};
        const call_answered answer{call.id, call.upstream, from, shard, hits};
        events.emplace(at, pending_event{index, answer, call.id});
        if (random.below(20) == 0) // a repeated reply
            events.emplace(at + 1ms, pending_event{index, answer, call.id});
    }

    void observe(const upstream_id& upstream)
    {
        if (const auto it = versions.find(upstream); it != versions.end())
            selector.observe({upstream, it->second, 0, false, false, false});
    }

    void check_attempt_limits(query_record& record, const send_call& call)
    {
        std::uint32_t attempts = 0;
        for (const auto& [id, it] : record.calls)
            attempts += id.shard_index == call.id.shard_index && it.sent.wanted == call.wanted;
        cr_assert_leq(attempts, 8U);
        if (attempts == 1 && call.id.attempt > 0)
            ++record.version_rounds;
        cr_assert_leq(record.version_rounds, 3 * (shard_count + 1), "more than three restarts");
    }

    /// Lower bound of the attempts that were charged to the budget or the reserve.
    static std::size_t paid_attempts(const query_record& record)
    {
        struct round
        {
            std::size_t attempts = 0;
            std::size_t versions_refused = 0;
            std::size_t not_run = 0;
        };
        std::map<std::pair<std::uint32_t, snapshot>, round> rounds;
        for (const auto& [id, it] : record.calls) {
            round& of = rounds[{id.shard_index, it.sent.wanted}];
            ++of.attempts;
            of.versions_refused += it.failure == error_kind::version_not_held;
            of.not_run += it.failure != error_kind::version_not_held && !it.may_have_run;
        }
        std::size_t paid = 0;
        for (const auto& [key, it] : rounds) {
            const std::size_t free = 1 + it.versions_refused + std::min<std::size_t>(2, it.not_run);
            paid += it.attempts - std::min(it.attempts, free);
        }
        return paid;
    }

    void on_finish(query_record& record, const query_outcome& outcome)
    {
        record.outcome = outcome;
        cr_assert_leq(now.time_since_epoch().count(),
                      (record.deadline + 1ms).time_since_epoch().count());
        const auto may_run = [](const auto& it) {
            return it.second.may_have_run;
        };
        if (std::holds_alternative<not_run>(outcome)) {
            cr_assert(std::none_of(record.calls.begin(), record.calls.end(), may_run),
                      "an attempt may have run");
            ++refusals;
            return;
        }
        // The query cannot know of refusals that had not arrived when it ended.
        cr_assert(std::any_of(record.calls.begin(), record.calls.end(),
                              [&](const auto& it) { return may_run(it) || !it.second.delivered; }),
                  "every attempt is known as not run");
        const auto* result = std::get_if<answered>(&outcome);
        if (result == nullptr)
            return;
        const std::size_t total = result->from.epoch == 1 ? shard_count : shard_count + 1;
        cr_assert_eq(result->covered.total, total);
        cr_assert_eq(result->covered.merged, result->hits.size());
        cr_assert_eq(result->covered.missing.size(), total - result->hits.size());
        cr_assert_geq(result->covered.ratio(), service.least_coverage);
        std::set<std::uint32_t> merged;
        for (const std::string& hits : result->hits) {
            const auto& [shard, from] = record.replies.at(hits);
            cr_assert(from == result->from, "hits of another snapshot");
            cr_assert(merged.insert(shard).second, "a shard is merged twice");
            const shard_name name{"shard" + std::to_string(shard)};
            const std::vector<shard_name>& missing = result->covered.missing;
            cr_assert(std::find(missing.begin(), missing.end(), name) == missing.end());
        }
        ++answers;
    }

    random_source random;
    time_point now{1h};
    service_declaration service;
    std::shared_ptr<const service_declaration> shared;
    replica_selector selector;
    retry_budget budget;
    std::uint64_t fault_percentage = 0;
    bool refusing = false;
    bool losing = false;
    std::vector<query_record> queries;
    std::multimap<time_point, pending_event> events;
    std::unordered_map<upstream_id, std::vector<index_version>> versions;
    std::size_t answers = 0;
    std::size_t refusals = 0;
};

} // namespace

// Guards against sequences of replies, lost calls, refusals, timers and version changes after
// which a query mixes snapshots, does not end exactly once or reports a wrong outcome.
Test(query_coordinator, invariants_hold_for_random_events, .timeout = 120)
{
    std::size_t answers = 0;
    std::size_t refusals = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        simulation run{seed};
        run.run();
        answers += run.answers;
        refusals += run.refusals;
    }
    // Both outcomes must have occurred often enough for their checks to be meaningful.
    cr_assert_gt(answers, 300U * queries_per_seed / 3);
    cr_assert_gt(refusals, 300U);
}
