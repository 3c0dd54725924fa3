// Choice, probing and replacement of links by the gate.
#include "dispatcherfixture.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace ebonywick::testing;

// Guards against too few spare links and against more than the upstream accepts.
Test(dispatcher_links, count_stays_between_two_and_slots_plus_two_below_the_cap)
{
    dispatcher_fixture cold;
    cold.send(holder_changed{true});
    cr_assert_eq(cold.opening.size(), 2U);
    dispatcher_fixture capped{4, 5, 4};
    capped.send(holder_changed{true});
    cr_assert_eq(capped.opening.size(), 3U, "one for cancelling, one being closed");
    dispatcher_fixture roomy{4, 75, 4};
    roomy.send(holder_changed{true});
    for (int n = 0; n < 10; ++n)
        roomy.offer();
    cr_assert_leq(roomy.opening.size(), 6U);
}

// Guards against a silent link being used while another one just answered.
Test(dispatcher_links, most_recently_verified_link_carries_the_call)
{
    dispatcher_fixture it{2, 20, 2};
    it.hold();
    it.serve();
    it.now += milliseconds{10};
    it.serve();
    const std::uint32_t link = it.started.at(0).link;
    it.now += milliseconds{10};
    it.serve();
    cr_assert_eq(it.started.at(0).link, link);
}

// Guards against a pool of silently dead links swallowing a burst: after one
// timeout no unverified link carries a call before its probe is answered.
Test(dispatcher_links, unverified_links_are_probed_after_a_timeout)
{
    dispatcher_fixture it;
    it.warm_up();
    const call_id first = it.offer();
    it.now += milliseconds{900};
    it.send(call_completed{first, it.started.at(0).link, reply_status::lost, milliseconds{900},
                           reported_state::unknown, 0});
    cr_assert_geq(it.probing.size(), 2U);
    const std::size_t before = it.started.size();
    for (int n = 0; n < 4; ++n)
        it.offer();
    cr_assert_eq(it.started.size(), before);
    const std::uint32_t alive = it.probing.front();
    it.probing.pop_front();
    while (!it.probing.empty()) {
        it.send(link_probed{it.probing.front(), false, reported_state::unknown, 0});
        cr_assert(it.closed.contains(it.probing.front()));
        it.probing.pop_front();
    }
    it.send(link_probed{alive, true, reported_state::warm, 1});
    cr_assert_eq(it.started.size(), before + 1);
    cr_assert_eq(it.started.back().link, alive);
    it.open_all(true);
    cr_assert_eq(it.started.size(), before + 4, "new links carry the rest");
}

// Guards against idle links that nobody checks, and against probing all of them
// at once while a call arrives.
Test(dispatcher_links, idle_links_are_probed_but_one_stays_ready)
{
    dispatcher_fixture it;
    it.warm_up();
    it.now += milliseconds{499};
    it.send(dispatcher_tick{});
    const std::size_t before = it.probing.size();
    it.now += milliseconds{2};
    it.send(dispatcher_tick{});
    cr_assert_gt(it.probing.size(), before);
    it.started.clear();
    cr_assert(it.has_started(it.offer()));
}

// Guards against an upstream that is gone swallowing calls, and against one that
// is called unavailable while a link works.
Test(dispatcher_links, unavailable_only_when_a_new_connection_fails_too)
{
    dispatcher_fixture it{1};
    it.hold();
    const call_id lost = it.offer();
    const call_id queued = it.offer();
    it.send(call_completed{lost, it.started.at(0).link, reply_status::lost, milliseconds{900},
                           reported_state::unknown, 0});
    it.open_all(false);
    cr_assert_eq(it.rejection(queued), std::nullopt, "another link is being probed");
    while (!it.probing.empty()) {
        const std::uint32_t link = it.probing.front();
        it.probing.pop_front();
        it.send(link_probed{link, false, reported_state::unknown, 0});
    }
    cr_assert_eq(it.rejection(queued), error_kind::upstream_unavailable);
    cr_assert_eq(it.rejection(it.offer()), error_kind::upstream_unavailable);
    cr_assert(it.opening.empty(), "no connection storm");
    it.now += milliseconds{501};
    it.send(dispatcher_tick{});
    cr_assert_eq(it.opening.size(), 1U);
    it.open_all(true);
    // The upstream may run the lost call until its deadline of 900 ms and 50 ms more.
    cr_assert(!it.serve());
    it.now += milliseconds{450};
    it.send(dispatcher_tick{});
    cr_assert_eq(it.started.size(), 1U);
}

// Guards against links whose thread is stuck.
Test(dispatcher_links, links_that_never_report_are_given_up)
{
    dispatcher_fixture it;
    it.send(holder_changed{true});
    const std::uint32_t stuck = it.opening.front();
    it.now += milliseconds{1501};
    it.send(dispatcher_tick{});
    cr_assert(it.closed.contains(stuck));
    it.send(link_opened{stuck, true});
    const call_id id = it.offer();
    cr_assert_not(it.has_started(id), "a late report revives no link");
    dispatcher_fixture probed;
    probed.hold();
    probed.now += milliseconds{501};
    probed.send(dispatcher_tick{});
    const std::uint32_t mute = probed.probing.at(0);
    probed.now += milliseconds{501};
    probed.send(dispatcher_tick{});
    cr_assert(probed.closed.contains(mute));
}
