// Checks until when a holder may let calls run, and that each host learns of a leave.
#include "agentfleet.h"
#include "membership/leaseregistry.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace std::chrono_literals;

// Failure: a call of a successor outlasts the fences, so that the previous holder gets
// its lease back and sends calls at the same time.
Test(claims, expire_with_their_fences)
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
                  "the first candidate needs no fence");

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

// Failure: a host that does not hold an upstream lets calls to it run.
Test(claims, only_the_holder_has_valid_fences)
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

// Failure: a host that gossip has not reached keeps listing a leaving host, and callers
// send requests to a host that is gone.
Test(claims, leave_is_announced_to_every_host)
{
    agent_fleet fleet{13};
    fleet.declare(17, 5, 6);
    fleet.start_all(17);
    fleet.run(15s);
    const host_id leaving = agent_fleet::host_name(4);
    fleet.deliver(leaving, leave_requested{});
    // Gossip alone needs several heartbeat periods for 17 hosts.
    fleet.run(60ms);
    for (const auto& [host, member] : fleet.members)
        cr_assert(member.agent->status_of(leaving) == host_status::leaving,
                  "%s does not know of the leave", host.value().c_str());
}
