// Tests of a single query: its snapshot, hedges, retries and outcomes.
#include "queryfixture.h"

#include <criterion/criterion.h>

#include <set>

using namespace ebonywick;

// Guards against mixing versions when no version is known and upstreams answer different ones.
Test(query_coordinator, first_query_merges_a_single_version)
{
    query_fixture f{3, 1};
    f.start();
    for (const send_call& call : f.outstanding_calls()) {
        cr_assert_eq(call.wanted.version, 0U);
        const bool ahead = call.id.shard_index == 2;
        f.report(call.upstream,
                 ahead ? std::vector<index_version>{5, 6} : std::vector<index_version>{5});
        f.answer(call, {ahead ? 6U : 5U, 1});
    }
    // Only the shard that answered the newer version is asked again.
    cr_assert_eq(f.outstanding.size(), 1U);
    cr_assert_eq(f.outstanding_calls().front().id.shard_index, 2U);
    cr_assert_eq(f.outstanding_calls().front().id.attempt, 1U);
    f.answer(f.outstanding_calls().front(), {5, 1});
    cr_assert(f.outcome && std::holds_alternative<answered>(*f.outcome));
    cr_assert((std::get<answered>(*f.outcome).from == snapshot{5, 1}));
    cr_assert_eq(std::get<answered>(*f.outcome).covered.merged, 3U);
}

// Guards against asking a replica again for a version that it has refused, and against a
// query that ends although a newer version is complete.
Test(query_coordinator, refused_version_tries_each_replica_once_then_restarts)
{
    query_fixture f{2, 3};
    f.report_all({5});
    f.start();
    f.answer(f.outstanding_calls().back(), {5, 1});
    std::set<upstream_id> asked;
    for (int it = 0; it < 3; ++it) {
        const send_call call = f.outstanding_calls().front();
        cr_assert(asked.insert(call.upstream).second);
        if (it == 2)
            f.report_all({6});
        f.fail(call, error_kind::version_not_held);
    }
    // The reply of version 5 is dropped and its shard is asked again.
    cr_assert_eq(f.outstanding.size(), 2U);
    for (const send_call& call : f.outstanding_calls()) {
        cr_assert((call.wanted == snapshot{6, 1}));
        f.answer(call, {6, 1});
    }
    cr_assert((std::get<answered>(f.outcome.value()).from == snapshot{6, 1}));
}

// Guards against a query that never ends because its upstreams switch to a newer version
// with each restart.
Test(query_coordinator, restarts_are_bounded_and_strictly_newer)
{
    query_fixture f{1, 1};
    index_version newest = 5;
    f.report_all({newest});
    f.start();
    for (int it = 0; it < 10 && !f.outcome; ++it) {
        f.report_all({++newest});
        f.fail(f.outstanding_calls().front(), error_kind::version_not_held);
    }
    cr_assert_eq(f.sent_calls.size(), 4U);
    for (std::size_t it = 1; it < f.sent_calls.size(); ++it) {
        cr_assert_gt(f.sent_calls[it].wanted.version, f.sent_calls[it - 1].wanted.version);
        cr_assert_eq(f.sent_calls[it].id.attempt, it);
    }
    cr_assert_eq(std::get<not_run>(f.outcome.value()).reason.kind, error_kind::version_not_held);
}

// Guards against merging a reply of another version, epoch or shard.
Test(query_coordinator, foreign_replies_are_not_merged)
{
    query_fixture f{1, 3};
    f.report_all({5});
    f.start();
    f.answer(f.outstanding_calls().front(), {6, 1});
    f.answer(f.outstanding_calls().front(), {5, 2});
    cr_assert(!f.outcome);
    send_call wrong = f.outstanding_calls().front();
    wrong.shard = shard_name{"other"};
    f.answer(wrong, {5, 1});
    cr_assert(!f.outcome);
    f.answer(f.outstanding_calls().front(), {5, 1});
    cr_assert_eq(std::get<answered>(f.outcome.value()).hits.size(), 1U);
}

// Guards against waiting for a straggler, and against not cancelling the slower of a call
// and its hedge.
Test(query_coordinator, straggler_is_hedged_and_loser_cancelled)
{
    query_fixture f{2, 2};
    f.report_all({5});
    f.add_latency_samples();
    f.start();
    const std::vector<send_call> first = f.outstanding_calls();
    f.advance_clock(f.selector.hedge_delay());
    cr_assert_eq(f.outstanding.size(), 4U);
    const send_call hedge = f.sent_calls[2].id.shard_index == 1 ? f.sent_calls[2] : f.sent_calls[3];
    cr_assert(hedge.hedge);
    cr_assert_neq(hedge.upstream, first[1].upstream);
    f.answer(hedge, {5, 1});
    cr_assert(!f.outcome);
    cr_assert_eq(f.cancel_actions.size(), 1U);
    cr_assert(f.cancel_actions.front().id == first[1].id);
    f.answer(first[0], {5, 1});
    cr_assert(f.outcome.has_value());
    // A late reply after the end has no effect.
    const call_answered late{first[1].id, first[1].upstream, {5, 1}, {}, ""};
    cr_assert(f.query->handle(late, f.now).empty());
}

// Guards against a query that waits because its first hedge is slow too, and against an
// unlimited number of hedges.
Test(query_coordinator, straggling_hedge_is_hedged_once_more)
{
    query_fixture f{1, 2};
    f.report_all({5});
    f.add_latency_samples();
    f.start();
    f.advance_clock(2 * f.selector.hedge_delay());
    cr_assert_eq(f.sent_calls.size(), 3U);
    cr_assert(f.sent_calls.back().hedge);
    f.advance_clock(2 * f.selector.hedge_delay());
    cr_assert_eq(f.sent_calls.size(), 3U);
    f.answer(f.sent_calls.back(), {5, 1});
    cr_assert(f.outcome.has_value());
    cr_assert_eq(f.cancel_actions.size(), 2U);
}

// Guards against second hedges that use up the budget after a fault of many links, so that
// other shards have to wait for the silence timeout.
Test(query_coordinator, second_hedge_needs_half_of_the_budget)
{
    query_fixture f{1, 2, 0.0, 20.0};
    for (int it = 0; it < 10; ++it)
        cr_assert(f.budget.try_take());
    f.report_all({5});
    f.add_latency_samples();
    f.start();
    f.advance_clock(3 * f.selector.hedge_delay());
    cr_assert_eq(f.sent_calls.size(), 2U);
}

// Guards against using up the budget for hedges of all calls when they are late because of
// a pause of the host, and against never hedging those calls.
Test(query_coordinator, hedges_are_postponed_once_while_many_shards_are_late)
{
    query_fixture f{16, 2};
    f.report_all({5});
    f.add_latency_samples();
    f.start();
    f.advance_clock(f.selector.hedge_delay());
    cr_assert_eq(f.sent_calls.size(), 16U);
    const std::vector<send_call> first = f.outstanding_calls();
    for (std::size_t it = 1; it < first.size(); ++it)
        f.answer(first[it], {5, 1});
    f.advance_clock(f.selector.hedge_delay());
    cr_assert_eq(f.sent_calls.size(), 17U);
    cr_assert(f.sent_calls.back().hedge);
    cr_assert_eq(f.sent_calls.back().shard, first[0].shard);
}

// Guards against hedges that add load to upstreams that shed load or are cold.
Test(query_coordinator, no_hedge_while_shedding_or_to_a_cold_upstream)
{
    query_fixture f{1, 2};
    f.report_all({5});
    f.add_latency_samples();
    f.selector.observe_shedding(f.now);
    f.start();
    f.advance_clock(f.selector.hedge_delay());
    cr_assert_eq(f.sent_calls.size(), 1U);

    query_fixture g{1, 2};
    g.report(upstream_of(0, 0), {5});
    g.report(upstream_of(0, 1), {5}, true);
    g.add_latency_samples();
    // Checked only if the warm replica got the call, so that the hedge would go to the cold
    // one.
    g.start();
    if (g.sent_calls.front().upstream == upstream_of(0, 0)) {
        g.advance_clock(g.selector.hedge_delay());
        cr_assert_eq(g.sent_calls.size(), 1U);
    }
}

// Guards against failing a query that has time left because a connection went dead while
// the budget was empty.
Test(query_coordinator, silent_attempt_is_retried_from_the_reserve)
{
    query_fixture f{1, 2, 0.0, 0.0};
    f.report_all({5});
    f.add_latency_samples();
    f.start();
    f.advance_clock(f.selector.hedge_delay());
    cr_assert_eq(f.sent_calls.size(), 1U);
    f.advance_clock(20ms);
    cr_assert_eq(f.sent_calls.size(), 2U);
    // The reserve pays for one retry per shard.
    f.advance_clock(500ms);
    cr_assert_eq(f.sent_calls.size(), 2U);
    f.answer(f.sent_calls.back(), {5, 1});
    cr_assert(std::holds_alternative<answered>(f.outcome.value()));
}

// Guards against no second attempt after a connection went dead if there is one replica.
Test(query_coordinator, silent_single_replica_is_asked_again)
{
    query_fixture f{1, 1, 0.0, 0.0};
    f.report_all({5});
    f.start();
    f.advance_clock(100ms);
    cr_assert_eq(f.outstanding.size(), 2U);
}

// Guards against unlimited retries of refused calls that are not charged to the budget.
Test(query_coordinator, refused_calls_are_retried_twice_outside_the_budget)
{
    query_fixture f{1, 5, 0.0, 0.0};
    f.report_all({5});
    f.start();
    while (!f.outstanding.empty())
        f.fail(f.outstanding_calls().front(), error_kind::overloaded);
    cr_assert_eq(f.sent_calls.size(), 3U);
    f.advance_clock(900ms);
    cr_assert_eq(f.sent_calls.size(), 3U);
    cr_assert_eq(std::get<not_run>(f.outcome.value()).reason.kind, error_kind::overloaded);
}

// Guards against the outcome "not run" although an attempt may have run.
Test(query_coordinator, lost_or_outstanding_attempts_are_not_reported_as_not_run)
{
    for (const bool lost : {false, true}) {
        query_fixture f{2, 1, 0.0, 0.0};
        f.report_all({5});
        f.start(50ms);
        f.fail(f.outstanding_calls().front(), error_kind::upstream_unavailable);
        // The reserve does not pay for a retry of the second lost call, so that none is
        // outstanding at the end.
        for (int it = 0; lost && it < 2; ++it)
            f.fail(f.outstanding_calls().back(), error_kind::reply_lost);
        cr_assert_eq(f.outstanding.empty(), lost);
        while (!f.outcome) {
            f.advance_clock(1ms);
            for (const send_call& call : f.outstanding_calls()) {
                if (lost || call.id.shard_index == 0)
                    f.fail(call, error_kind::upstream_unavailable);
            }
        }
        cr_assert_eq(std::get<unknown_outcome>(f.outcome.value()).reason.kind,
                     error_kind::deadline_exceeded);
    }
}

// Guards against a service that yields coverage first but waits beyond the latency goal, and
// against one that yields latency first but answers with partial coverage at the goal.
Test(query_coordinator, latency_goal_ends_only_queries_that_yield_coverage)
{
    for (const yields_first yields : {yields_first::coverage, yields_first::latency}) {
        query_fixture f{4, 1};
        f.service.yields = yields;
        f.service.least_coverage = 0.5;
        f.report_all({5});
        f.start(300ms, 10ms);
        f.answer(f.outstanding_calls().front(), {5, 1});
        f.advance_clock(10ms);
        cr_assert(!f.outcome, "one of four shards is less than least_coverage");
        f.answer(f.outstanding_calls().front(), {5, 1});
        cr_assert_eq(f.outcome.has_value(), yields == yields_first::coverage);
        f.advance_clock(300ms);
        const auto& result = std::get<answered>(f.outcome.value());
        cr_assert_eq(result.covered.merged, 2U);
        cr_assert_eq(result.covered.total, 4U);
        cr_assert_eq(result.covered.missing.size(), 2U);
    }
}

// Guards against an answer, or any hits, with less coverage than least_coverage.
Test(query_coordinator, insufficient_coverage_has_unknown_outcome)
{
    query_fixture f{3, 1};
    f.service.least_coverage = 0.9;
    f.report_all({5});
    f.start(100ms);
    f.answer(f.outstanding_calls()[0], {5, 1});
    f.answer(f.outstanding_calls()[0], {5, 1});
    f.advance_clock(100ms);
    cr_assert_eq(std::get<unknown_outcome>(f.outcome.value()).reason.kind,
                 error_kind::coverage_unmet);
}

// Guards against never using a newly declared map because no query asks its upstreams.
Test(query_coordinator, newer_map_is_tried_and_abandoned_for_the_known_snapshot)
{
    query_fixture f{1, 1};
    f.report_all({5});
    shard_map next = make_map(2, 2, 1);
    next.shards[0].replicas[0].id = upstream_id{"new0"};
    next.shards[1].replicas[0].id = upstream_id{"new1"};
    f.service.shard_maps.push_back(next);
    f.selector.configure(f.service, {});
    f.start();
    cr_assert_eq(f.outstanding.size(), 2U);
    cr_assert((f.outstanding_calls().front().wanted == snapshot{0, 2}));
    f.fail(f.outstanding_calls().front(), error_kind::upstream_unavailable);
    cr_assert_eq(f.outstanding.size(), 1U);
    cr_assert((f.outstanding_calls().front().wanted == snapshot{5, 1}));
    f.answer(f.outstanding_calls().front(), {5, 1});
    cr_assert(std::holds_alternative<answered>(f.outcome.value()));
}
