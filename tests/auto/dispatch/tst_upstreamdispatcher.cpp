// Tests of the dispatcher's cold-start limit, queue, slots and reactions to failures.
#include "dispatcherfixture.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace ebonywick::testing;

// Guards against full load on an upstream of which this host has just become the holder.
Test(upstream_dispatcher, new_upstream_starts_at_cold_concurrency_and_ramps_up)
{
    dispatcher_fixture it;
    it.become_holder();
    for (int n = 0; n < 6; ++n)
        it.offer();
    cr_assert_eq(it.dispatcher.in_flight(), 1U);
    cr_assert_eq(it.dispatcher.queued(), 5U);
    dispatcher_fixture ramp;
    ramp.become_holder();
    for (int n = 0; n < 31; ++n)
        ramp.serve();
    cr_assert_eq(ramp.dispatcher.limit(), 1U);
    ramp.serve();
    cr_assert_eq(ramp.dispatcher.limit(), 2U);
    for (int n = 0; n < 32; ++n)
        ramp.serve();
    cr_assert_eq(ramp.dispatcher.limit(), 4U);
    cr_assert(ramp.dispatcher.warm());
}

// Guards against a growing limit while latencies show that the upstream is overloaded.
Test(upstream_dispatcher, late_replies_do_not_raise_the_limit)
{
    dispatcher_fixture it;
    it.dispatcher.set_group_median(milliseconds{1});
    it.become_holder();
    for (int n = 0; n < 200; ++n)
        it.serve(n % 20 == 0 ? milliseconds{4} : milliseconds{1});
    cr_assert_eq(it.dispatcher.limit(), 1U);
}

// Guards against full load on an upstream that has turned cold again.
Test(upstream_dispatcher, each_sign_of_a_cold_upstream_lowers_the_limit)
{
    dispatcher_fixture reports;
    reports.warm_up();
    cr_assert(reports.dispatcher.warm());
    reports.serve(milliseconds{1}, reported_state::cold);
    cr_assert_eq(reports.dispatcher.limit(), 1U, "reported cold");
    const std::size_t changes = reports.limit_change_reasons.size();
    for (int n = 0; n < 100; ++n)
        reports.serve(milliseconds{1}, reported_state::cold);
    cr_assert_eq(reports.dispatcher.limit(), 1U, "still reports cold");
    cr_assert_eq(reports.limit_change_reasons.size(), changes,
                 "the limit does not grow and drop again");

    dispatcher_fixture restarted;
    restarted.warm_up();
    restarted.serve(milliseconds{1}, reported_state::warm, 2);
    cr_assert_eq(restarted.dispatcher.limit(), 1U, "changed boot id");

    dispatcher_fixture slow;
    slow.warm_up();
    for (int n = 0; n < 20; ++n)
        slow.serve();
    for (const int ms : {20, 1, 20, 1, 1})
        slow.serve(milliseconds{ms});
    cr_assert_eq(slow.dispatcher.limit(), 4U, "two slow replies are stragglers");
    slow.serve(milliseconds{20});
    cr_assert_eq(slow.dispatcher.limit(), 1U, "three of eight replies are slow");
}

// Guards against treating an upstream as cold because of one dead link, and against full
// load on an upstream that answers on no link.
Test(upstream_dispatcher, lost_calls_on_two_links_in_a_row_turn_it_cold)
{
    dispatcher_fixture it;
    it.warm_up();
    it.offer();
    it.complete(it.started.at(0), reply_status::lost, milliseconds{900});
    cr_assert(it.closed.contains(it.started.at(0).link));
    cr_assert_eq(it.dispatcher.limit(), 4U);
    it.answer_probes();
    cr_assert(it.serve());
    it.started.clear();
    it.offer();
    it.offer();
    cr_assert_eq(it.started.size(), 2U);
    it.complete(it.started.at(0), reply_status::lost, milliseconds{900});
    cr_assert_eq(it.dispatcher.limit(), 4U, "a reply came in between");
    it.complete(it.started.at(1), reply_status::lost, milliseconds{900});
    cr_assert_eq(it.dispatcher.limit(), 1U);
}

// Guards against taking timeouts due to callers' short deadlines for a cold upstream.
Test(upstream_dispatcher, short_timeouts_do_not_turn_it_cold)
{
    dispatcher_fixture it;
    it.become_holder();
    for (int n = 0; n < 100; ++n)
        it.serve(milliseconds{10});
    cr_assert(it.dispatcher.warm());
    it.started.clear();
    it.offer(request_class::interactive, "a", milliseconds{5});
    it.offer(request_class::interactive, "a", milliseconds{5});
    for (const start_call& call : std::vector{it.started})
        it.complete(call, reply_status::lost, milliseconds{5});
    cr_assert_eq(it.dispatcher.limit(), 4U);
}

// Guards against interactive calls that wait behind batch calls, and against starvation of
// batch calls by interactive ones.
Test(upstream_dispatcher, interactive_first_but_batch_waits_at_most_half_a_second)
{
    dispatcher_fixture it{1};
    it.become_holder();
    it.offer();
    const call_id batch = it.offer(request_class::batch, "b");
    const call_id second = it.offer(request_class::batch, "b");
    for (int n = 0; n < 99; ++n) {
        it.offer();
        it.now += milliseconds{5};
        it.complete(it.started.back());
        cr_assert_not(it.has_started(batch), "%d ms", 5 * n);
    }
    it.now += milliseconds{10};
    it.offer();
    it.complete(it.started.back());
    cr_assert(it.has_started(batch));
    it.complete(it.started.back());
    cr_assert_not(it.has_started(second),
                  "an interactive call is served between overdue batch calls");
    it.complete(it.started.back());
    cr_assert(it.has_started(second));
}

// Guards against starvation of a caller by another one with a long backlog.
Test(upstream_dispatcher, batch_callers_take_turns)
{
    dispatcher_fixture it{1};
    it.become_holder();
    it.offer();
    for (int n = 0; n < 20; ++n)
        it.offer(request_class::batch, "big");
    const call_id small = it.offer(request_class::batch, "small");
    it.complete(it.started.back());
    it.complete(it.started.back());
    cr_assert(it.has_started(small));
}

// Guards against queueing calls that cannot start before their deadline. The rejection
// must say that the call was not run.
Test(upstream_dispatcher, refuses_when_the_wait_exceeds_the_time_left)
{
    dispatcher_fixture it{1};
    it.become_holder();
    for (int n = 0; n < 40; ++n)
        it.serve(milliseconds{20});
    it.offer();
    for (int n = 0; n < 4; ++n)
        it.offer();
    const call_id late = it.offer(request_class::interactive, "a", milliseconds{80});
    cr_assert_eq(it.rejection(late), error_kind::deadline_too_short);
    cr_assert(is_not_run(*it.rejection(late)));
    const call_id fits = it.offer(request_class::interactive, "a", milliseconds{200});
    cr_assert_eq(it.rejection(fits), std::nullopt);
    it.now += milliseconds{201};
    it.handle(dispatcher_tick{});
    cr_assert_eq(it.rejection(fits), error_kind::deadline_too_short);
}

// Guards against an unbounded queue.
Test(upstream_dispatcher, refuses_when_the_queue_is_full)
{
    dispatcher_fixture it{1};
    it.become_holder();
    for (int n = 0; n < 65; ++n)
        it.offer();
    cr_assert_eq(it.dispatcher.queued(), 64U);
    cr_assert_eq(it.rejection(it.offer()), error_kind::overloaded);
}

// Guards against reusing a slot while the upstream may still run the cancelled call.
Test(upstream_dispatcher, cancelled_running_call_keeps_its_slot_until_it_ends)
{
    dispatcher_fixture it{1};
    it.become_holder();
    const call_id id = it.offer(request_class::interactive, "a", milliseconds{100});
    const call_id next = it.offer();
    it.handle(cancel_requested{id});
    it.handle(cancel_requested{id});
    cr_assert_eq(it.cancelled.size(), 1U);
    cr_assert_not(it.has_started(next));
    it.now += milliseconds{149};
    it.handle(dispatcher_tick{});
    cr_assert_not(it.has_started(next));
    cr_assert_eq(it.rejection(id), std::nullopt, "50 ms of grace for the report");
    it.now += milliseconds{1};
    it.handle(dispatcher_tick{});
    cr_assert_eq(it.rejection(id), error_kind::cancelled);
    cr_assert(it.closed.contains(it.cancelled.at(0).link));
    it.open_all(true);
    it.answer_probes();
    cr_assert(it.has_started(next));
    // Late replies of the call that was ended without a report have no effect.
    it.complete(it.started.at(0));
    start_call mixed = it.started.at(1);
    mixed.id = id;
    it.complete(mixed);
    cr_assert_eq(it.dispatcher.in_flight(), 1U);
}

// Guards against sending calls whose reply is no longer needed.
Test(upstream_dispatcher, cancelled_queued_call_is_removed)
{
    dispatcher_fixture it{1};
    it.become_holder();
    it.offer();
    const call_id id = it.offer();
    it.handle(cancel_requested{id});
    cr_assert_eq(it.rejection(id), error_kind::cancelled);
    it.complete(it.started.at(0));
    cr_assert_eq(it.started.size(), 1U);
}

// Guards against new calls on a leaving upstream, and against taking a reply that is older
// than the report of leaving for a return.
Test(upstream_dispatcher, leaving_refuses_until_a_later_probe_says_otherwise)
{
    dispatcher_fixture it;
    it.warm_up();
    it.offer();
    it.offer();
    it.offer();
    it.complete(it.started.at(0), reply_status::completed, milliseconds{1},
                reported_state::leaving);
    cr_assert_eq(it.rejection(it.offer()), error_kind::upstream_leaving);
    it.complete(it.started.at(1));
    cr_assert(it.dispatcher.leaving());
    it.now += milliseconds{501};
    it.handle(dispatcher_tick{});
    it.answer_probes(reported_state::unknown);
    it.complete(it.started.at(2));
    cr_assert(it.dispatcher.leaving());
    cr_assert_eq(it.dispatcher.in_flight(), 0U);
    it.now += milliseconds{501};
    it.handle(dispatcher_tick{});
    cr_assert_not(it.probing.empty());
    it.answer_probes();
    cr_assert_not(it.dispatcher.leaving());
    cr_assert_not(it.dispatcher.warm(), "an upstream that has returned is cold");
}

// Guards against new calls in a failure domain that is out or on an upstream that this host
// does not hold, and against full load at once when the upstream may be used again.
Test(upstream_dispatcher, domain_out_or_not_held_refuses_and_comes_back_cold)
{
    for (const bool domain : {true, false}) {
        dispatcher_fixture it{1};
        it.warm_up();
        const call_id running = it.offer();
        const call_id queued = it.offer();
        it.handle(domain ? dispatcher_event{domain_changed{true}}
                         : dispatcher_event{holder_changed{false}});
        const error_kind kind = domain ? error_kind::failure_domain_out : error_kind::not_holder;
        cr_assert_eq(it.rejection(queued), kind);
        cr_assert_eq(it.rejection(it.offer()), kind);
        cr_assert_eq(it.rejection(running), std::nullopt, "a running call is not rejected");
        it.complete(it.started.at(0));
        cr_assert(it.closed.contains(it.started.at(0).link));
        cr_assert_eq(it.dispatcher.in_flight(), 0U);
        it.handle(domain ? dispatcher_event{domain_changed{false}}
                         : dispatcher_event{holder_changed{true}});
        cr_assert_not(it.dispatcher.warm());
        it.open_all(true);
        cr_assert(it.serve());
    }
}

// Guards against calls to an upstream that announced that it is leaving before this host
// became its holder.
Test(upstream_dispatcher, no_call_before_the_upstream_has_reported_its_state)
{
    dispatcher_fixture it;
    it.report_on_open = reported_state::unknown;
    it.become_holder();
    const call_id early = it.offer();
    cr_assert(!it.has_started(early));
    it.handle(link_probed{1, true, reported_state::warm, 1});
    cr_assert(it.has_started(early));

    dispatcher_fixture gone;
    gone.report_on_open = reported_state::leaving;
    gone.become_holder();
    cr_assert(gone.rejection(gone.offer()) == error_kind::upstream_leaving);
}

// Guards against calls when the last state report is too old to rule out that the upstream
// is leaving.
Test(upstream_dispatcher, no_call_after_the_state_report_is_too_old)
{
    dispatcher_fixture it;
    it.become_holder();
    int served = 0;
    // Replies without a state keep the links verified but do not renew the report.
    for (int round = 0; round < 30; ++round) {
        served += it.serve(milliseconds{1}, reported_state::unknown) ? 1 : 0;
        it.now += milliseconds{99};
    }
    cr_assert_geq(served, 25);
    cr_assert_leq(served, 26);
}

// Guards against full load on an upstream that has become slow when hedging cancels its
// calls, so that no reply shows the latency.
Test(upstream_dispatcher, cancelled_calls_without_a_reply_turn_it_cold)
{
    dispatcher_fixture it;
    it.dispatcher.set_group_median(milliseconds{1});
    it.warm_up();
    const auto cancel_one = [&] {
        it.started.clear();
        it.offer();
        it.now += milliseconds{20};
        it.complete(it.started.front(), reply_status::cancelled, milliseconds{20});
    };
    for (int n = 0; n < 3; ++n)
        cancel_one();
    cr_assert(it.dispatcher.warm(), "a few cancelled calls are usual with hedging");
    cr_assert(it.serve());
    for (int n = 0; n < 4; ++n)
        cancel_one();
    cr_assert_eq(it.dispatcher.limit(), 1U);
}

// Guards against overloading an upstream by freeing the slot of a call whose reply was lost
// while the upstream still runs it.
Test(upstream_dispatcher, lost_call_holds_its_slot_until_the_upstream_has_ended_it)
{
    dispatcher_fixture it;
    it.become_holder();
    const call_id lost = it.offer();
    it.now += milliseconds{100};
    it.complete(it.started.front(), reply_status::lost, milliseconds{100}, reported_state::unknown,
                0);
    cr_assert(it.has_started(lost));
    const call_id next = it.offer(request_class::interactive, "a", milliseconds{2000});
    it.answer_probes();
    it.now += milliseconds{849};
    it.handle(dispatcher_tick{});
    it.answer_probes();
    cr_assert(!it.has_started(next), "the lost call's deadline and 50 ms have not passed");
    it.now += milliseconds{1};
    it.handle(dispatcher_tick{});
    it.answer_probes();
    cr_assert(it.has_started(next));

    // A restarted upstream no longer runs the calls of its previous process.
    const call_id interrupted = it.offer(request_class::interactive, "a", milliseconds{900});
    it.complete(it.started.back(), reply_status::lost, milliseconds{1}, reported_state::unknown, 0);
    cr_assert(!it.has_started(interrupted));
    it.handle(link_probed{2, true, reported_state::warm, 2});
    it.answer_probes();
    cr_assert(it.has_started(interrupted));
}
