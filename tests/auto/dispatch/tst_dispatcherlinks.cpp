// Tests of the selection, probing and replacement of links by the dispatcher.
#include "dispatcherfixture.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace ebonywick::testing;

// Guards against a pool without spare links and against more connections than the upstream
// accepts.
Test(dispatcher_links, count_stays_between_two_and_slots_plus_two_below_the_cap)
{
    dispatcher_fixture cold;
    cold.handle(holder_changed{true});
    cr_assert_eq(cold.opening.size(), 2U);
    dispatcher_fixture capped{4, 5, 4};
    capped.handle(holder_changed{true});
    cr_assert_eq(capped.opening.size(), 3U,
                 "one connection is for cancel requests, one for a link being closed");
    dispatcher_fixture uncapped{4, 75, 4};
    uncapped.handle(holder_changed{true});
    for (int n = 0; n < 10; ++n)
        uncapped.offer();
    cr_assert_leq(uncapped.opening.size(), 6U);
}

// Guards against a call on a link that may be dead while another one has just answered.
Test(dispatcher_links, most_recently_verified_link_carries_the_call)
{
    dispatcher_fixture it{2, 20, 2};
    it.become_holder();
    it.serve();
    it.now += milliseconds{10};
    it.serve();
    const std::uint32_t link = it.started.at(0).link;
    it.now += milliseconds{10};
    it.serve();
    cr_assert_eq(it.started.at(0).link, link);
}

// Guards against losing a burst of calls on links that are dead without notice: after one
// timeout no unverified link carries a call before it has answered a probe.
Test(dispatcher_links, unverified_links_are_probed_after_a_timeout)
{
    dispatcher_fixture it;
    it.warm_up();
    const call_id first = it.offer();
    it.now += milliseconds{900};
    it.handle(call_completed{first, it.started.at(0).link, reply_status::lost, milliseconds{900},
                             reported_state::unknown, 0});
    cr_assert_geq(it.probing.size(), 2U);
    const std::size_t before = it.started.size();
    for (int n = 0; n < 4; ++n)
        it.offer();
    cr_assert_eq(it.started.size(), before);
    const std::uint32_t alive = it.probing.front();
    it.probing.pop_front();
    while (!it.probing.empty()) {
        it.handle(link_probed{it.probing.front(), false, reported_state::unknown, 0});
        cr_assert(it.closed.contains(it.probing.front()));
        it.probing.pop_front();
    }
    it.handle(link_probed{alive, true, reported_state::warm, 1});
    cr_assert_eq(it.started.size(), before + 1);
    cr_assert_eq(it.started.back().link, alive);
    it.open_all(true);
    cr_assert_eq(it.started.size(), before + 4, "new links carry the other calls");
}

// Guards against idle links that are never probed, and against probing all of them at once,
// which would delay a call that arrives meanwhile.
Test(dispatcher_links, idle_links_are_probed_but_one_stays_ready)
{
    dispatcher_fixture it;
    it.warm_up();
    it.now += milliseconds{499};
    it.handle(dispatcher_tick{});
    const std::size_t before = it.probing.size();
    it.now += milliseconds{2};
    it.handle(dispatcher_tick{});
    cr_assert_gt(it.probing.size(), before);
    it.started.clear();
    cr_assert(it.has_started(it.offer()));
}

// Guards against calls that are kept for an upstream that is gone, and against an upstream
// that is taken for unavailable while one of its links works.
Test(dispatcher_links, unavailable_only_when_a_new_connection_fails_too)
{
    dispatcher_fixture it{1};
    it.become_holder();
    const call_id lost = it.offer();
    const call_id queued = it.offer();
    it.handle(call_completed{lost, it.started.at(0).link, reply_status::lost, milliseconds{900},
                             reported_state::unknown, 0});
    it.open_all(false);
    cr_assert_eq(it.rejection(queued), std::nullopt, "another link is being probed");
    while (!it.probing.empty()) {
        const std::uint32_t link = it.probing.front();
        it.probing.pop_front();
        it.handle(link_probed{link, false, reported_state::unknown, 0});
    }
    cr_assert_eq(it.rejection(queued), error_kind::upstream_unavailable);
    cr_assert_eq(it.rejection(it.offer()), error_kind::upstream_unavailable);
    cr_assert(it.opening.empty(), "no new connection right after a failed one");
    it.now += milliseconds{501};
    it.handle(dispatcher_tick{});
    cr_assert_eq(it.opening.size(), 1U);
    it.open_all(true);
    // The upstream may run the lost call until its deadline (900 ms) plus 50 ms.
    cr_assert(!it.serve());
    it.now += milliseconds{450};
    it.handle(dispatcher_tick{});
    cr_assert_eq(it.started.size(), 1U);
}

// Guards against links that stay in use although their thread is stuck.
Test(dispatcher_links, links_that_never_report_are_closed)
{
    dispatcher_fixture it;
    it.handle(holder_changed{true});
    const std::uint32_t stuck = it.opening.front();
    it.now += milliseconds{1501};
    it.handle(dispatcher_tick{});
    cr_assert(it.closed.contains(stuck));
    it.handle(link_opened{stuck, true});
    const call_id id = it.offer();
    cr_assert_not(it.has_started(id), "a late report does not reopen the link");
    dispatcher_fixture probed;
    probed.become_holder();
    probed.now += milliseconds{501};
    probed.handle(dispatcher_tick{});
    const std::uint32_t unanswered = probed.probing.at(0);
    probed.now += milliseconds{501};
    probed.handle(dispatcher_tick{});
    cr_assert(probed.closed.contains(unanswered));
}
