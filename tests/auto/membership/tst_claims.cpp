// Guards the time up to which a holder may let a call run.
#include "agentfleet.h"
#include "membership/leaseregistry.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace std::chrono_literals;

// Failure: a successor starts a call that outlasts its fences, so that the former
// holder, back with its lease, sends calls beside it.
Test(claims, end_with_the_fences_that_they_rest_on)
{
    agent_fleet fleet{11};
    fleet.declare(7, 5, 20);
    fleet.start_all(7);
    fleet.run(15s);
    cr_assert(fleet.all_held());
    const auto before = fleet.assignment();
    const host_id lost = before.begin()->second;
    for (const auto& [upstream, host] : before)
        cr_assert(fleet.members[host].agent->fences_valid_until(upstream) == time_point::max(),
                  "a first candidate needs no fence");

    fleet.members[lost].agent.reset();
    fleet.run(2500ms);
    int taken_over = 0;
    for (const auto& [upstream, host] : fleet.assignment()) {
        if (before.at(upstream) != lost)
            continue;
        ++taken_over;
        const time_point until = fleet.members[host].agent->fences_valid_until(upstream);
        cr_assert(until > fleet.now);
        cr_assert(until <= fleet.now + lease_duration, "a fence lasts at most 2,000 ms");
    }
    cr_assert_gt(taken_over, 0);
}

Test(claims, a_upstream_that_is_not_held_allows_no_call)
{
    agent_fleet fleet{12};
    fleet.declare(4, 3, 4);
    fleet.start_all(4);
    fleet.run(15s);
    for (const auto& [upstream, holder] : fleet.assignment()) {
        for (const auto& [host, member] : fleet.members) {
            if (host != holder)
                cr_assert(member.agent->fences_valid_until(upstream) == time_point::min());
        }
    }
}

// Failure: a host that gossip has not reached goes on naming a leaving host to
// callers, who then send requests to a host that has gone.
Test(claims, a_leave_is_told_to_each_host)
{
    agent_fleet fleet{13};
    fleet.declare(17, 5, 6);
    fleet.start_all(17);
    fleet.run(15s);
    const host_id leaving = agent_fleet::name(4);
    fleet.feed(leaving, leave_requested{});
    // Gossip alone needs several heartbeat periods for 17 hosts.
    fleet.run(60ms);
    for (const auto& [host, member] : fleet.members)
        cr_assert(member.agent->status_of(leaving) == host_status::leaving, "%s does not know",
                  host.value().c_str());
}
