// Guards the decisions of one request.
#include "fanoutfixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace ebonywick;

// Failure: an answer names parts that it does not hold, or hides that parts are missing.
Test(fan_out, full_answer_names_all_parts)
{
    fan_out_fixture f{4};
    f.add_all(3);
    f.start();
    cr_assert(f.calls.size() == 4);
    for (call_number it = 0; it < 4; ++it)
        f.reply(it, 200, std::string(16, static_cast<char>('a' + it)));
    const auto* answer = f.ended_as<merged_answer>();
    cr_assert(answer != nullptr);
    cr_assert(answer->stamps.size() == 4 && answer->missing == 0);
    cr_assert(answer->body == std::string(16, 'd') + std::string(16, 'c') + std::string(16, 'b'));
}

// Failure: the pattern of a paused upstream: its shard is not asked elsewhere before the
// target latency.
Test(fan_out, late_shard_is_hedged_in_time)
{
    fan_out_fixture f{4};
    f.add_all(3);
    f.start();
    for (call_number it = 0; it < 3; ++it)
        f.reply(it);
    f.pass(35ms);
    cr_assert(f.calls.size() == 5);
    cr_assert(f.calls.at(4).reason == call_reason::hedge);
    cr_assert(f.calls.at(4).to != f.calls.at(3).to);
    f.reply(4);
    cr_assert(f.ended_as<merged_answer>() != nullptr);
    // The loser is given up, and its proof is not in the answer.
    cr_assert(f.abandoned == std::vector<call_number>{3});
    const auto& proofs = f.ended_as<merged_answer>()->stamps;
    cr_assert(std::find(proofs.begin(), proofs.end(), "proof3") == proofs.end());
}

// Pattern: a burst, in which a late shard has no idle upstream left. Failure: the hedge
// waits behind other calls and delays their requests.
Test(fan_out, no_hedge_to_an_upstream_without_a_free_slot)
{
    for (const std::uint32_t running : {3U, 4U}) {
        fan_out_fixture f{1, 1.0};
        f.add_all(2);
        f.start();
        for (const auto& it : f.upstreams.of_service(service_name{"s0"})) {
            if (it != f.calls.at(0).to)
                f.upstreams.load_reported(*it, {running, 0, 4}, f.now);
        }
        f.pass(35ms);
        cr_assert((f.calls.size() == 2) == (running < 4));
    }
}

// Failure: two replies of one shard both become parts.
Test(fan_out, second_reply_of_a_shard_is_ignored)
{
    fan_out_fixture f{2, 1.0};
    f.add_all(2);
    f.start();
    f.pass(35ms);
    cr_assert(f.calls.size() == 4);
    f.reply(0);
    f.reply(2);
    cr_assert(f.outcome == std::nullopt);
    f.reply(1);
    cr_assert(f.ended_as<merged_answer>()->stamps.size() == 2);
}

// Failure: a query waits past its target latency for a part that it could leave out.
Test(fan_out, answers_without_a_shard_just_before_the_target)
{
    fan_out_fixture f{4};
    f.add_all(1);
    f.start();
    for (call_number it = 0; it < 3; ++it)
        f.reply(it);
    f.pass(45ms);
    cr_assert(f.outcome == std::nullopt);
    f.pass(14ms);
    const auto* answer = f.ended_as<merged_answer>();
    cr_assert(answer != nullptr && answer->missing == 1);
}

// Failure: an answer with less than the least share, or none although the last needed
// part comes late.
Test(fan_out, late_answer_is_delivered_as_soon_as_the_least_share_is_there)
{
    fan_out_fixture f{4};
    f.add_all(1);
    f.start();
    f.reply(0);
    f.reply(1);
    f.pass(200ms);
    cr_assert(f.outcome == std::nullopt);
    f.reply(2);
    cr_assert(f.ended_as<merged_answer>()->missing == 1);
}

// Failure: a caller that came back after a refusal gets a partial answer at once,
// although its target latency counts anew.
Test(fan_out, returning_caller_has_a_target_of_its_own)
{
    fan_out_fixture f{4};
    f.refused_before = true;
    f.add_all(1);
    f.start();
    for (call_number it = 0; it < 3; ++it)
        f.reply(it);
    f.pass(45ms);
    cr_assert(f.outcome == std::nullopt);
    f.reply(3);
    cr_assert(f.ended_as<merged_answer>()->missing == 0);
}

// Failure: the pattern of a long overload: a caller that was refused and came back as
// told is refused again by the queue that admits nobody.
Test(fan_out, returning_caller_is_refused_last)
{
    for (const bool refused_before : {false, true}) {
        fan_out_fixture f{1, 1.0};
        f.refused_before = refused_before;
        f.add_all(1);
        const auto only = f.upstreams.of_service(service_name{"s0"}).front();
        for (int it = 0; it < 100; ++it) {
            f.upstreams.call_started(*only, f.now);
            f.upstreams.call_ended(*only, call_result::replied, {20ms, 1.0}, f.now);
        }
        // Thirteen calls before this one: a wait of 50 ms where 36 ms are tolerated.
        f.upstreams.load_reported(*only, {4, 9, 4}, f.now);
        f.start();
        cr_assert((f.ended_as<not_run_answer>() != nullptr) == !refused_before);
    }
}

// Failure: a query that cannot reach its least share occupies upstreams before it fails,
// or claims wrongly that nothing was run.
Test(fan_out, unreachable_share_is_refused_before_a_shard_is_called)
{
    fan_out_fixture f{4};
    f.add_replicas(0, 3);
    f.add_replicas(1, 3);
    f.start();
    cr_assert(f.calls.empty());
    const auto* refusal = f.ended_as<not_run_answer>();
    cr_assert(refusal != nullptr);
    cr_assert(refusal->retry_after > 0ms && refusal->retry_after <= 200ms);
}

// Failure: `not run` is claimed after a shard may have run its part.
Test(fan_out, failure_after_a_run_is_not_called_not_run)
{
    fan_out_fixture f{2, 1.0};
    f.add_all(1);
    f.start();
    f.broken(0, call_failure::lost);
    cr_assert(f.ended_as<failed_answer>() != nullptr);
    cr_assert(f.abandoned == std::vector<call_number>{1});
}

// Failure: a lost call of a shard is not repeated elsewhere, or is repeated beyond the
// allowed attempts.
Test(fan_out, lost_call_is_retried_within_the_attempts)
{
    fan_out_fixture f{1, 1.0};
    f.add_all(3);
    f.start();
    f.broken(0, call_failure::lost);
    cr_assert(f.calls.size() == 2 && f.calls.at(1).reason == call_reason::retry);
    f.broken(1, call_failure::lost);
    cr_assert(f.calls.size() == 2);
    cr_assert(f.ended_as<failed_answer>() != nullptr);
}

// Failure: refusals by full upstreams use up the attempts.
Test(fan_out, refused_calls_are_no_attempts)
{
    for (const auto kind : {call_failure::shed, call_failure::misdirected}) {
        fan_out_fixture f{1, 1.0};
        f.add_all(4);
        f.start();
        f.broken(0, kind);
        f.broken(1, kind);
        cr_assert(f.calls.size() == 3);
        f.reply(2);
        cr_assert(f.ended_as<merged_answer>() != nullptr);
    }
}

// Failure: extra calls pass the budget.
Test(fan_out, without_budget_there_is_no_extra_call)
{
    fan_out_fixture f{1, 1.0};
    f.budget.set_limits({0.0, 10s, 0.0});
    f.add_all(3);
    f.start();
    f.pass(300ms);
    cr_assert(f.calls.size() == 1);
    f.broken(0, call_failure::lost);
    cr_assert(f.calls.size() == 1);
}

// Failure: the caller waits for the route's timeout although no upstream is left.
Test(fan_out, ends_at_once_when_nothing_more_can_come)
{
    fan_out_fixture f{4, 1.0};
    f.add_all(1);
    f.start();
    f.reply(0);
    f.broken(1, call_failure::not_sent);
    cr_assert(f.ended_as<failed_answer>() != nullptr);
    cr_assert(f.abandoned.size() == 2);
}

// Failure: a request without reply is held past the caller's deadline.
Test(fan_out, ends_before_the_deadline)
{
    fan_out_fixture f{0};
    f.add_all(1);
    f.start();
    f.pass(589ms);
    cr_assert(f.outcome == std::nullopt);
    f.pass(2ms);
    const auto* failure = f.ended_as<failed_answer>();
    cr_assert(failure != nullptr && failure->timed_out);
}

// Failure: a non-idempotent request is hedged or repeated after it may have run.
Test(fan_out, non_idempotent_request_is_sent_once)
{
    fan_out_fixture f{0, 1.0, false};
    f.add_all(3);
    f.start();
    f.pass(400ms);
    cr_assert(f.calls.size() == 1);
    f.broken(0, call_failure::lost);
    cr_assert(f.calls.size() == 1);
    cr_assert(f.ended_as<failed_answer>() != nullptr);
}

// Failure: a non-idempotent request that was not run is given up, or its refusal does not
// say that it was not run.
Test(fan_out, non_idempotent_request_moves_on_while_it_was_not_run)
{
    fan_out_fixture f{0, 1.0, false};
    f.add_all(2);
    f.start();
    f.broken(0, call_failure::shed);
    cr_assert(f.calls.size() == 2);
    f.broken(1, call_failure::not_sent);
    cr_assert(f.ended_as<not_run_answer>() != nullptr);
}

// Failure: an upstream's own failure is replaced by another status, or a later success
// is lost.
Test(fan_out, failure_reply_is_passed_on_if_no_attempt_succeeds)
{
    fan_out_fixture f{0};
    f.add_all(2);
    f.start();
    f.reply(0, 500, "first");
    cr_assert(f.calls.size() == 2);
    f.reply(1, 500, "second");
    const auto* reply = f.ended_as<upstream_reply>();
    cr_assert(reply != nullptr && reply->status == 500 && reply->body == "second");
}

// Failure: calls of a caller that has left go on.
Test(fan_out, cancel_abandons_all_calls)
{
    fan_out_fixture f{3};
    f.add_all(1);
    f.start();
    f.request->cancel(f.now, f.actions);
    f.take_actions();
    cr_assert(f.abandoned.size() == 3);
    cr_assert(f.request->finished());
    for (const auto& [number, it] : f.calls)
        cr_assert(it.to->calls() == 0);
}

// Failure: counts of calls in progress drift, and an upstream seems busy for ever.
Test(fan_out, every_call_ends_at_its_upstream)
{
    fan_out_fixture f{4};
    f.add_all(2);
    f.start();
    f.reply(0);
    f.broken(1, call_failure::shed);
    f.pass(700ms);
    cr_assert(f.request->finished());
    for (const auto& [number, it] : f.calls)
        cr_assert(it.to->calls() == 0);
}

// Failure: a host that ends closes connections without a status, or claims `not run` for
// a request that an upstream may run.
Test(fan_out, give_up_ends_with_what_is_known)
{
    fan_out_fixture partial{4};
    partial.add_all(1);
    partial.start();
    for (call_number it = 0; it < 3; ++it)
        partial.reply(it);
    partial.request->end_early("host_leaves", partial.now, partial.actions);
    partial.take_actions();
    cr_assert(partial.ended_as<merged_answer>()->missing == 1);

    fan_out_fixture sent{0, 1.0, false};
    sent.add_all(1);
    sent.start();
    sent.request->end_early("host_leaves", sent.now, sent.actions);
    sent.take_actions();
    cr_assert(sent.ended_as<failed_answer>() != nullptr);
    cr_assert(sent.abandoned.size() == 1);
}

// Failure: a request whose upstreams take no call at the moment waits for its timeout.
Test(fan_out, refused_at_once_while_all_upstreams_are_cold)
{
    fan_out_fixture f{1, 1.0};
    f.upstreams.upsert({.id = upstream_id{"cold"},
                        .service = service_name{"s0"},
                        .address = {"127.0.0.1", 9000},
                        .domain = failure_domain_id{"d"},
                        .cold_remaining = 5s},
                       f.now);
    f.upstreams.set_cold_rate(service_name{"s0"}, 0.001);
    f.start();
    cr_assert(f.ended_as<not_run_answer>() != nullptr);
}
