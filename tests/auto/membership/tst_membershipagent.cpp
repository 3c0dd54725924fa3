// Guards the rules of leases, currency and responsibility between several hosts.
#include "agentfleet.h"

#include "membership/gossip.h"
#include "membership/rendezvous.h"
#include "membership/responsibility.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

void expect_safe(const agent_fleet& fleet, std::uint64_t seed)
{
    cr_assert_eq(fleet.double_holders, 0, "seed %lu: two hosts held one upstream %zu times", seed,
                 fleet.double_holders);
    cr_assert_eq(fleet.reverts, 0, "seed %lu: a version went back", seed);
}

agent_fleet started(std::uint64_t seed, std::size_t n, std::size_t witnesses, std::size_t shards)
{
    agent_fleet fleet{seed};
    fleet.declare(n, witnesses, shards);
    fleet.start_all(n);
    fleet.run(15s);
    return fleet;
}

} // namespace

// Failure: a fleet without any former knowledge never starts.
Test(membership_agent, fleets_start_from_nothing)
{
    for (const std::size_t n : {1U, 2U, 3U, 7U, 17U}) {
        const agent_fleet fleet = started(n, n, std::min<std::size_t>(n, 5), 6);
        expect_safe(fleet, n);
        cr_assert(fleet.all_held(), "%zu hosts: %zu held", n, fleet.assignment().size());
    }
}

// Failure: two hosts act for one upstream under loss, pauses, restarts, cut-offs
// and roster and configuration changes.
Test(membership_agent, never_two_holders)
{
    for (std::uint64_t seed = 1; seed <= 25; ++seed) {
        agent_fleet fleet = started(seed, 3 + seed % 6, 3 + 2 * (seed % 2), 6);
        const std::size_t n = fleet.members.size();
        fleet.loss = 0.1;
        fleet.jitter = 300ms;
        for (int step = 0; step < 20; ++step) {
            const host_id host = agent_fleet::name(fleet.random.below(n));
            switch (fleet.random.below(6)) {
            case 0:
                fleet.start(host);
                break;
            case 1:
                fleet.members[host].paused_until = fleet.now + 4s;
                break;
            case 2:
                fleet.cut_off = {host};
                break;
            case 3:
                fleet.cut_off.clear();
                break;
            case 4: {
                object_received next =
                    fleet.history.at({object_kind::roster, fleet.newest[object_kind::roster]});
                ++next.version;
                auto& hosts = next.hosts.hosts;
                const auto it = std::find_if(hosts.begin(), hosts.end(),
                                             [&](const auto& h) { return h.id == host; });
                if (it == hosts.end()) {
                    hosts.push_back(roster_host{host, {}, {}, {}, {}});
                    std::sort(hosts.begin(), hosts.end());
                } else if (hosts.size() > n - 1)
                    hosts.erase(it);
                fleet.publish(next);
                fleet.feed(agent_fleet::name(fleet.random.below(n)), next);
                break;
            }
            default: {
                object_received next =
                    fleet.history.at({object_kind::config, fleet.newest[object_kind::config]});
                ++next.version;
                auto& shards = next.config.services[0].shard_maps[0].shards;
                auto& replicas = shards[fleet.random.below(shards.size())].replicas;
                std::rotate(replicas.begin(), replicas.begin() + 1, replicas.end());
                fleet.publish(next);
                fleet.feed(agent_fleet::name(fleet.random.below(n)), next);
            }
            }
            fleet.run(std::chrono::milliseconds{300 + fleet.random.below(3000)});
        }
        expect_safe(fleet, seed);
    }
}

// Failure: an upstream stays without a holder after a crash (2.5 s) or a leave.
Test(membership_agent, successors_take_over_and_only_they)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        agent_fleet fleet = started(seed, 7, 5, 20);
        const auto before = fleet.assignment();
        const host_id lost = agent_fleet::name(seed % 7);
        if (seed % 2 == 0) {
            fleet.members[lost].agent.reset();
            fleet.run(2500ms);
        } else {
            fleet.feed(lost, leave_requested{});
            fleet.run(500ms);
            cr_assert_eq(fleet.assignment(), before, "a leaving host keeps its searchers");
            fleet.feed(lost, calls_drained{});
            fleet.run(500ms);
        }
        expect_safe(fleet, seed);
        cr_assert(fleet.all_held(), "seed %lu: %zu of %zu held", seed, fleet.assignment().size(),
                  fleet.upstreams.size());
        for (const auto& [upstream, host] : fleet.assignment())
            cr_assert(host == before.at(upstream) || before.at(upstream) == lost,
                      "seed %lu: an upstream of a running host moved", seed);
        fleet.start(lost);
        fleet.run(15s);
        cr_assert_eq(fleet.assignment(), before, "seed %lu: holdings did not return", seed);
    }
}

// Failure: a successor lets its fences lapse while nothing but the time changes.
Test(membership_agent, successors_renew_their_fences)
{
    agent_fleet fleet = started(10, 7, 5, 20);
    fleet.members[agent_fleet::name(4)].agent.reset();
    fleet.run(2500ms);
    for (int step = 0; step < 60; ++step) {
        fleet.run(100ms);
        cr_assert(fleet.all_held(), "step %d: %zu of %zu held", step, fleet.assignment().size(),
                  fleet.upstreams.size());
    }
    expect_safe(fleet, 10);
}

// Failure: a host that is cut off goes on under an old configuration.
Test(membership_agent, cut_off_host_is_not_current_after_f)
{
    agent_fleet fleet = started(3, 7, 5, 6);
    fleet.cut_off = {agent_fleet::name(1), agent_fleet::name(6)};
    fleet.run(2600ms);
    cr_assert_not(fleet.is_current(agent_fleet::name(1)));
    cr_assert_not(fleet.is_current(agent_fleet::name(6)));
    cr_assert(fleet.is_current(agent_fleet::name(2)));
}

// Failure: a change does not reach all hosts within 3 s, or hosts stop on the way.
Test(membership_agent, new_version_spreads)
{
    agent_fleet fleet = started(4, 17, 5, 6);
    const std::size_t interruptions = fleet.currency_changes;
    fleet.store_up = false;
    object_received next = fleet.history.at({object_kind::config, 1});
    next.version = 2;
    fleet.publish(next);
    fleet.feed(agent_fleet::name(9), next);
    fleet.run(1s);
    for (const auto& [host, it] : fleet.members)
        cr_assert_eq(it.agent->known_version(object_kind::config), 2);
    fleet.run(3s);
    cr_assert_eq(fleet.currency_changes, interruptions);
}

// Failure: a host that cannot get a new version goes on under the old one.
Test(membership_agent, host_without_the_new_version_stops)
{
    agent_fleet fleet = started(7, 7, 5, 6);
    fleet.no_objects = {agent_fleet::name(6)};
    object_received next = fleet.history.at({object_kind::config, 1});
    next.version = 2;
    fleet.publish(next);
    fleet.feed(agent_fleet::name(0), next);
    fleet.run(1s);
    cr_assert_eq(fleet.members[agent_fleet::name(5)].agent->known_version(object_kind::config), 2);
    fleet.run(2500ms);
    cr_assert_not(fleet.is_current(agent_fleet::name(6)));
    cr_assert(fleet.is_current(agent_fleet::name(5)));
}

// Failure: a restarted witness never issues tokens again, so that the next restart
// stops the fleet; or a restarted host does not become current without the store.
Test(membership_agent, rolling_restart_keeps_the_fleet_current)
{
    for (const std::size_t n : {3U, 5U}) {
        agent_fleet fleet = started(n, n, n, 6);
        fleet.store_up = false;
        for (std::size_t it = 0; it < n; ++it) {
            const object_received seed = fleet.history.at({object_kind::roster, 1});
            fleet.start(agent_fleet::name(it));
            fleet.feed(agent_fleet::name(it), seed);
            for (int step = 0; step < 100; ++step) {
                fleet.run(100ms);
                for (std::size_t host = 0; host < n; ++host)
                    cr_assert(fleet.is_current(agent_fleet::name(host)) ||
                                  (host == it && step < 20),
                              "%zu hosts: host %zu after %zu", n, host, it);
            }
        }
        expect_safe(fleet, n);
        cr_assert(fleet.all_held());
        fleet.store_up = true;
        fleet.start_all(n);
        fleet.run(15s);
        cr_assert(fleet.all_held(), "after a restart of all hosts");
    }
}

// Failure: a monitor that was restarted, or that a roster change appoints, grants a
// fence although a former life or a former monitor may have granted a lease.
Test(membership_agent, monitor_without_memory_holds_off)
{
    for (const bool restarted : {true, false}) {
        agent_fleet fleet{8};
        fleet.declare(6, 5, 6);
        fleet.start_all(5);
        fleet.run(15s);
        const host_id subject = agent_fleet::name(5);
        object_received next = fleet.history.at({object_kind::roster, 1});
        host_id monitor = monitors_of(next.hosts, subject).front();
        if (restarted)
            fleet.start(monitor);
        else {
            std::erase_if(next.hosts.hosts, [&](const auto& it) { return it.id == monitor; });
            ++next.version;
            monitor = monitors_of(next.hosts, subject).back();
            fleet.publish(next);
            fleet.feed(monitor, next);
        }
        time_point since = restarted ? time_point::max() : fleet.now;
        bool granted = false;
        for (int step = 0; step < 90 && !granted; ++step) {
            fleet.run(100ms);
            if (fleet.is_current(monitor))
                since = std::min(since, fleet.now - 100ms);
            // A host's requests to itself are answered inside the agent.
            const host_id requester = agent_fleet::name(monitor == agent_fleet::name(0) ? 1 : 0);
            const fence_request request{requester, subject, 1};
            for (const auto& action :
                 fleet.members[monitor].agent->handle(message_received{request}, fleet.now))
                if (const auto* sent = std::get_if<send_control>(&action))
                    if (const auto* reply = std::get_if<fence_reply>(&sent->message))
                        granted = granted || reply->granted;
            cr_assert(!granted || fleet.now - since >= 4500ms);
        }
        cr_assert(granted);
    }
}

// Failure: hosts flood the fleet with fence requests while all others are absent.
Test(membership_agent, wanted_fences_are_bounded)
{
    agent_fleet fleet{9};
    fleet.declare(64, 5, 64);
    const object_received& config = fleet.history.at({object_kind::config, 1});
    const object_received& hosts = fleet.history.at({object_kind::roster, 1});
    placement tables;
    place_hosts(tables, hosts.hosts, agent_fleet::name(7));
    place_upstreams(tables, config.config);
    responsibility claims{agent_fleet::name(7)};
    claims.set_placement(tables, {true, false});
    claims.settle();
    const auto wanted = claims.wanted_fences(
        fence_keeper{agent_fleet::name(7)}, [](const host_id&) { return host_status::down; },
        fleet.now);
    cr_assert_leq(wanted.size(), 16);
    cr_assert_geq(wanted.size(), 8);
}

// Failure: news that the other hosts know already goes on filling the messages.
Test(member_gossip, copies_end_the_spread)
{
    member_gossip gossip{agent_fleet::name(0), 1};
    roster hosts;
    for (std::size_t it = 0; it < 7; ++it)
        hosts.hosts.push_back(roster_host{agent_fleet::name(it), {}, {}, {}, {}});
    gossip.set_roster(hosts);
    const member_update update{agent_fleet::name(1), 5, 1, host_status::serving};
    cr_assert(gossip.apply(update));
    cr_assert_eq(gossip.updates_for(agent_fleet::name(2), false, 0).size(), 1);
    // 9 sends in all for 6 others; one is done.
    for (int copy = 0; copy < 7; ++copy)
        cr_assert_not(gossip.apply(update));
    cr_assert_eq(gossip.updates_for(agent_fleet::name(2), false, 0).size(), 1);
    cr_assert(gossip.updates_for(agent_fleet::name(2), false, 0).empty());
}

// Failure: hosts at rest repeat to each other what they know, or a host that joins
// learns the states of the others as slowly as one at rest.
Test(membership_agent, replies_repeat_more_to_joining_hosts)
{
    agent_fleet fleet = started(11, 17, 5, 6);
    // All news of the start has spread.
    fleet.run(10s);
    const host_id peer = agent_fleet::name(1);
    const incarnation_number later = 10000;
    for (const host_status status : {host_status::joining, host_status::serving}) {
        heartbeat request{peer, later, 1, 1, 1, false, {}};
        request.updates.push_back({peer, later, status == host_status::joining ? 1U : 2U, status});
        std::size_t states = 0;
        for (const auto& action : fleet.members[agent_fleet::name(0)].agent->handle(
                 message_received{request}, fleet.now))
            if (const auto* sent = std::get_if<send_control>(&action))
                if (const auto* reply = std::get_if<heartbeat_reply>(&sent->message))
                    states = reply->updates.size();
        cr_assert_eq(states, status == host_status::joining ? 6 : 1, "%zu states", states);
    }
}

// Failure: the cost of one host grows with the fleet.
Test(membership_agent, messages_per_host_are_bounded)
{
    for (const std::size_t n : {8U, 32U, 64U}) {
        agent_fleet fleet = started(6, n, 5, n);
        for (auto& [host, it] : fleet.members)
            it.sent = it.largest_message = 0;
        fleet.run(10s);
        std::size_t total = 0;
        for (const auto& [host, it] : fleet.members) {
            total += it.sent;
            // A reply has at most 6 updates and a token of each of 5 witnesses.
            cr_assert_leq(it.largest_message, 11);
        }
        // 6 heartbeats and 6 replies in 500 ms.
        cr_assert_leq(total, (10UL * 24 + 1) * n, "%zu hosts sent %zu", n, total);
    }
}
