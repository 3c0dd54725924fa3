// Failures of an upstream and its calls as its gate handles them.
#include "dispatcherfixture.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace ebonywick::testing;

// Guards against an upstream that was taken over being given all its slots.
Test(upstream_dispatcher, new_upstream_starts_at_cold_concurrency_and_ramps_up)
{
    dispatcher_fixture it;
    it.hold();
    for (int n = 0; n < 6; ++n)
        it.offer();
    cr_assert_eq(it.gate.in_flight(), 1U);
    cr_assert_eq(it.gate.queued(), 5U);
    dispatcher_fixture ramp;
    ramp.hold();
    for (int n = 0; n < 31; ++n)
        ramp.serve();
    cr_assert_eq(ramp.gate.limit(), 1U);
    ramp.serve();
    cr_assert_eq(ramp.gate.limit(), 2U);
    for (int n = 0; n < 32; ++n)
        ramp.serve();
    cr_assert_eq(ramp.gate.limit(), 4U);
    cr_assert(ramp.gate.warm());
}

// Guards against a ramp on replies that show an upstream under strain.
Test(upstream_dispatcher, late_replies_hold_the_ramp)
{
    dispatcher_fixture it;
    it.gate.set_group_median(milliseconds{1});
    it.hold();
    for (int n = 0; n < 200; ++n)
        it.serve(n % 20 == 0 ? milliseconds{4} : milliseconds{1});
    cr_assert_eq(it.gate.limit(), 1U);
}

// Guards against an upstream that turned cold again keeping its full load.
Test(upstream_dispatcher, every_sign_of_a_cold_upstream_drops_the_limit)
{
    dispatcher_fixture reports;
    reports.warm_up();
    cr_assert(reports.gate.warm());
    reports.serve(milliseconds{1}, reported_state::cold);
    cr_assert_eq(reports.gate.limit(), 1U, "reported cold");
    const std::size_t changes = reports.reasons.size();
    for (int n = 0; n < 100; ++n)
        reports.serve(milliseconds{1}, reported_state::cold);
    cr_assert_eq(reports.gate.limit(), 1U, "still reports cold");
    cr_assert_eq(reports.reasons.size(), changes, "no ramp that ends at once");

    dispatcher_fixture restarted;
    restarted.warm_up();
    restarted.serve(milliseconds{1}, reported_state::warm, 2);
    cr_assert_eq(restarted.gate.limit(), 1U, "boot id");

    dispatcher_fixture slow;
    slow.warm_up();
    for (int n = 0; n < 20; ++n)
        slow.serve();
    for (const int ms : {20, 1, 20, 1, 1})
        slow.serve(milliseconds{ms});
    cr_assert_eq(slow.gate.limit(), 4U, "two slow replies are stragglers");
    slow.serve(milliseconds{20});
    cr_assert_eq(slow.gate.limit(), 1U, "three of eight are slow");
}

// Guards against one silent link condemning the upstream, and against missing a
// upstream that answers on no link.
Test(upstream_dispatcher, two_links_in_a_row_without_reply_turn_it_cold)
{
    dispatcher_fixture it;
    it.warm_up();
    it.offer();
    it.complete(it.started.at(0), reply_status::lost, milliseconds{900});
    cr_assert(it.closed.contains(it.started.at(0).link));
    cr_assert_eq(it.gate.limit(), 4U);
    it.answer_probes();
    cr_assert(it.serve());
    it.started.clear();
    it.offer();
    it.offer();
    cr_assert_eq(it.started.size(), 2U);
    it.complete(it.started.at(0), reply_status::lost, milliseconds{900});
    cr_assert_eq(it.gate.limit(), 4U, "a reply came in between");
    it.complete(it.started.at(1), reply_status::lost, milliseconds{900});
    cr_assert_eq(it.gate.limit(), 1U);
}

// Guards against callers' short deadlines being taken for a cold upstream.
Test(upstream_dispatcher, timeouts_shorter_than_a_usual_call_do_not_count)
{
    dispatcher_fixture it;
    it.hold();
    for (int n = 0; n < 100; ++n)
        it.serve(milliseconds{10});
    cr_assert(it.gate.warm());
    it.started.clear();
    it.offer(request_class::interactive, "a", milliseconds{5});
    it.offer(request_class::interactive, "a", milliseconds{5});
    for (const start_call& call : std::vector{it.started})
        it.complete(call, reply_status::lost, milliseconds{5});
    cr_assert_eq(it.gate.limit(), 4U);
}

// Guards against interactive calls behind batch, and batch behind interactive
// for ever.
Test(upstream_dispatcher, interactive_first_but_batch_waits_at_most_half_a_second)
{
    dispatcher_fixture it{1};
    it.hold();
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
    cr_assert_not(it.has_started(second), "interactive calls take turns with overdue batch");
    it.complete(it.started.back());
    cr_assert(it.has_started(second));
}

// Guards against a caller with a long backlog starving others.
Test(upstream_dispatcher, batch_callers_take_turns)
{
    dispatcher_fixture it{1};
    it.hold();
    it.offer();
    for (int n = 0; n < 20; ++n)
        it.offer(request_class::batch, "big");
    const call_id small = it.offer(request_class::batch, "small");
    it.complete(it.started.back());
    it.complete(it.started.back());
    cr_assert(it.has_started(small));
}

// Guards against calls that wait only to time out (I6: nothing was sent).
Test(upstream_dispatcher, refuses_when_the_wait_exceeds_the_time_left)
{
    dispatcher_fixture it{1};
    it.hold();
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
    it.send(dispatcher_tick{});
    cr_assert_eq(it.rejection(fits), error_kind::deadline_too_short);
}

// Guards against an unbounded queue.
Test(upstream_dispatcher, refuses_when_the_queue_is_full)
{
    dispatcher_fixture it{1};
    it.hold();
    for (int n = 0; n < 65; ++n)
        it.offer();
    cr_assert_eq(it.gate.queued(), 64U);
    cr_assert_eq(it.rejection(it.offer()), error_kind::overloaded);
}

// Guards against a slot being reused while the upstream may still run the call.
Test(upstream_dispatcher, withdrawn_running_call_keeps_its_slot_until_it_ends)
{
    dispatcher_fixture it{1};
    it.hold();
    const call_id id = it.offer(request_class::interactive, "a", milliseconds{100});
    const call_id next = it.offer();
    it.send(cancel_requested{id});
    it.send(cancel_requested{id});
    cr_assert_eq(it.cancelled.size(), 1U);
    cr_assert_not(it.has_started(next));
    it.now += milliseconds{149};
    it.send(dispatcher_tick{});
    cr_assert_not(it.has_started(next));
    cr_assert_eq(it.rejection(id), std::nullopt, "50 ms of grace for the report");
    it.now += milliseconds{1};
    it.send(dispatcher_tick{});
    cr_assert_eq(it.rejection(id), error_kind::cancelled);
    cr_assert(it.closed.contains(it.cancelled.at(0).link));
    it.open_all(true);
    it.answer_probes();
    cr_assert(it.has_started(next));
    // The late reply of the call that was given up.
    it.complete(it.started.at(0));
    start_call mixed = it.started.at(1);
    mixed.id = id;
    it.complete(mixed);
    cr_assert_eq(it.gate.in_flight(), 1U);
}

// Guards against sending calls that nobody waits for.
Test(upstream_dispatcher, withdrawn_queued_call_is_dropped)
{
    dispatcher_fixture it{1};
    it.hold();
    it.offer();
    const call_id id = it.offer();
    it.send(cancel_requested{id});
    cr_assert_eq(it.rejection(id), error_kind::cancelled);
    it.complete(it.started.at(0));
    cr_assert_eq(it.started.size(), 1U);
}

// Guards against new work on a leaving upstream (I8), and against a reply that
// was overtaken by the report of leaving.
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
    cr_assert(it.gate.leaving());
    it.now += milliseconds{501};
    it.send(dispatcher_tick{});
    it.answer_probes(reported_state::unknown);
    it.complete(it.started.at(2));
    cr_assert(it.gate.leaving());
    cr_assert_eq(it.gate.in_flight(), 0U);
    it.now += milliseconds{501};
    it.send(dispatcher_tick{});
    cr_assert_not(it.probing.empty());
    it.answer_probes();
    cr_assert_not(it.gate.leaving());
    cr_assert_not(it.gate.warm(), "an upstream that returned is cold");
}

// Guards against new work in a failure domain that is out (I4) or on an upstream
// that this host does not hold, and against a warm start afterwards (I3).
Test(upstream_dispatcher, domain_out_or_not_held_refuses_and_comes_back_cold)
{
    for (const bool domain : {true, false}) {
        dispatcher_fixture it{1};
        it.warm_up();
        const call_id running = it.offer();
        const call_id queued = it.offer();
        it.send(domain ? dispatcher_event{domain_changed{true}}
                       : dispatcher_event{holder_changed{false}});
        const error_kind kind = domain ? error_kind::failure_domain_out : error_kind::not_holder;
        cr_assert_eq(it.rejection(queued), kind);
        cr_assert_eq(it.rejection(it.offer()), kind);
        cr_assert_eq(it.rejection(running), std::nullopt, "work in progress completes");
        it.complete(it.started.at(0));
        cr_assert(it.closed.contains(it.started.at(0).link));
        cr_assert_eq(it.gate.in_flight(), 0U);
        it.send(domain ? dispatcher_event{domain_changed{false}}
                       : dispatcher_event{holder_changed{true}});
        cr_assert_not(it.gate.warm());
        it.open_all(true);
        cr_assert(it.serve());
    }
}

// Failure: a host that takes an upstream over sends it work although it left while
// nobody watched it.
Test(upstream_dispatcher, no_call_before_the_upstream_has_told_its_state)
{
    dispatcher_fixture it;
    it.first_report = reported_state::unknown;
    it.hold();
    const call_id early = it.offer();
    cr_assert(!it.has_started(early));
    it.send(link_probed{1, true, reported_state::warm, 1});
    cr_assert(it.has_started(early));

    dispatcher_fixture gone;
    gone.first_report = reported_state::leaving;
    gone.hold();
    cr_assert(gone.rejection(gone.offer()) == error_kind::upstream_leaving);
}

// Failure: work goes on after the last report of the state has become too old to
// rule out that the upstream is leaving.
Test(upstream_dispatcher, no_call_on_an_old_report)
{
    dispatcher_fixture it;
    it.hold();
    int served = 0;
    // Replies without a state keep the links verified, but tell nothing of it.
    for (int round = 0; round < 30; ++round) {
        served += it.serve(milliseconds{1}, reported_state::unknown) ? 1 : 0;
        it.now += milliseconds{99};
    }
    cr_assert_geq(served, 25);
    cr_assert_leq(served, 26);
}

// Failure: an upstream collapses, hedges cancel its calls before a reply shows how
// slow it is, and it goes on getting as many calls as when it was warm.
Test(upstream_dispatcher, cancelled_calls_without_a_reply_turn_it_cold)
{
    dispatcher_fixture it;
    it.gate.set_group_median(milliseconds{1});
    it.warm_up();
    const auto cancel_one = [&] {
        it.started.clear();
        it.offer();
        it.now += milliseconds{20};
        it.complete(it.started.front(), reply_status::cancelled, milliseconds{20});
    };
    for (int n = 0; n < 3; ++n)
        cancel_one();
    cr_assert(it.gate.warm(), "a few losers of hedges are usual");
    cr_assert(it.serve());
    for (int n = 0; n < 4; ++n)
        cancel_one();
    cr_assert_eq(it.gate.limit(), 1U);
}

// Failure: a call whose reply was lost frees its slot while the upstream still runs
// it, so that the upstream has more calls than it bears.
Test(upstream_dispatcher, lost_call_holds_its_slot_until_the_upstream_has_ended_it)
{
    dispatcher_fixture it;
    it.hold();
    const call_id lost = it.offer();
    it.now += milliseconds{100};
    it.complete(it.started.front(), reply_status::lost, milliseconds{100}, reported_state::unknown,
                0);
    cr_assert(it.has_started(lost));
    const call_id next = it.offer(request_class::interactive, "a", milliseconds{2000});
    it.answer_probes();
    it.now += milliseconds{849};
    it.send(dispatcher_tick{});
    it.answer_probes();
    cr_assert(!it.has_started(next), "the lost call's deadline and 50 ms have not passed");
    it.now += milliseconds{1};
    it.send(dispatcher_tick{});
    it.answer_probes();
    cr_assert(it.has_started(next));

    // An upstream that has started again runs none of its former calls.
    const call_id cut = it.offer(request_class::interactive, "a", milliseconds{900});
    it.complete(it.started.back(), reply_status::lost, milliseconds{1}, reported_state::unknown, 0);
    cr_assert(!it.has_started(cut));
    it.send(link_probed{2, true, reported_state::warm, 2});
    it.answer_probes();
    cr_assert(it.has_started(cut));
}
