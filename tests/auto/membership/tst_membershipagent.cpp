// Checks the rules of leases, currency and claims with several hosts, under message
// loss, delay, pauses, restarts and partitions.
#include "agentfleet.h"

#include "membership/gossip.h"
#include "membership/rendezvous.h"
#include "membership/upstreamclaims.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

void expect_safe(const agent_fleet& fleet, std::uint64_t seed)
{
    cr_assert_eq(fleet.double_holders, 0, "seed %lu: two hosts held one upstream %zu times", seed,
                 fleet.double_holders);
    cr_assert_eq(fleet.version_regressions, 0, "seed %lu: a version went back", seed);
}

agent_fleet started_fleet(std::uint64_t seed, std::size_t n, std::size_t witnesses,
                          std::size_t shards)
{
    agent_fleet fleet{seed};
    fleet.declare(n, witnesses, shards);
    fleet.start_all(n);
    fleet.run(15s);
    return fleet;
}

} // namespace

// Failure: a fleet in which all hosts are new never starts.
Test(membership_agent, new_fleets_start)
{
    for (const std::size_t n : {1U, 2U, 3U, 7U, 17U}) {
        const agent_fleet fleet = started_fleet(n, n, std::min<std::size_t>(n, 5), 6);
        expect_safe(fleet, n);
        cr_assert(fleet.all_held(), "%zu hosts: %zu held", n, fleet.assignment().size());
    }
}

// Failure: two hosts hold one upstream at the same time, under message loss, pauses,
// restarts, partitions, and changes of the roster and configuration.
Test(membership_agent, upstream_never_has_two_holders)
{
    for (std::uint64_t seed = 1; seed <= 25; ++seed) {
        agent_fleet fleet = started_fleet(seed, 3 + seed % 6, 3 + 2 * (seed % 2), 6);
        const std::size_t n = fleet.members.size();
        fleet.loss = 0.1;
        fleet.jitter = 300ms;
        for (int step = 0; step < 20; ++step) {
            const host_id host = agent_fleet::host_name(fleet.random.below(n));
            switch (fleet.random.below(6)) {
            case 0:
                fleet.start(host);
                break;
            case 1:
                fleet.members[host].paused_until = fleet.now + 4s;
                break;
            case 2:
                fleet.partitioned = {host};
                break;
            case 3:
                fleet.partitioned.clear();
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
                fleet.deliver(agent_fleet::host_name(fleet.random.below(n)), next);
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
                fleet.deliver(agent_fleet::host_name(fleet.random.below(n)), next);
            }
            }
            fleet.run(std::chrono::milliseconds{300 + fleet.random.below(3000)});
        }
        expect_safe(fleet, seed);
    }
}

// Failure: an upstream has no holder 2.5 s after a crash or 0.5 s after a leave, or one
// moves although its holder runs.
Test(membership_agent, only_upstreams_of_a_lost_host_move)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        agent_fleet fleet = started_fleet(seed, 7, 5, 20);
        const auto before = fleet.assignment();
        const host_id lost = agent_fleet::host_name(seed % 7);
        if (seed % 2 == 0) {
            fleet.members[lost].agent.reset();
            fleet.run(2500ms);
        } else {
            fleet.deliver(lost, leave_requested{});
            fleet.run(500ms);
            cr_assert_eq(fleet.assignment(), before, "a leaving host keeps its upstreams");
            fleet.deliver(lost, calls_drained{});
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

// Failure: a successor does not renew its fences while no other event occurs.
Test(membership_agent, successors_renew_their_fences)
{
    agent_fleet fleet = started_fleet(10, 7, 5, 20);
    fleet.members[agent_fleet::host_name(4)].agent.reset();
    fleet.run(2500ms);
    for (int step = 0; step < 60; ++step) {
        fleet.run(100ms);
        cr_assert(fleet.all_held(), "step %d: %zu of %zu held", step, fleet.assignment().size(),
                  fleet.upstreams.size());
    }
    expect_safe(fleet, 10);
}

// Failure: a partitioned host continues with an old configuration.
Test(membership_agent, partitioned_host_stops_being_current)
{
    agent_fleet fleet = started_fleet(3, 7, 5, 6);
    fleet.partitioned = {agent_fleet::host_name(1), agent_fleet::host_name(6)};
    fleet.run(2600ms);
    cr_assert_not(fleet.is_current(agent_fleet::host_name(1)));
    cr_assert_not(fleet.is_current(agent_fleet::host_name(6)));
    cr_assert(fleet.is_current(agent_fleet::host_name(2)));
}

// Failure: a change does not reach all hosts within 3 s, or hosts stop being current
// meanwhile. Without the store and without message loss, 1 s must be enough.
Test(membership_agent, new_version_reaches_all_hosts)
{
    agent_fleet fleet = started_fleet(4, 17, 5, 6);
    const std::size_t interruptions = fleet.currency_changes;
    fleet.store_available = false;
    object_received next = fleet.history.at({object_kind::config, 1});
    next.version = 2;
    fleet.publish(next);
    fleet.deliver(agent_fleet::host_name(9), next);
    fleet.run(1s);
    for (const auto& [host, it] : fleet.members)
        cr_assert_eq(it.agent->known_version(object_kind::config), 2);
    fleet.run(3s);
    cr_assert_eq(fleet.currency_changes, interruptions);
}

// Failure: a host that cannot get a new version continues with the old one.
Test(membership_agent, host_without_the_new_version_stops_being_current)
{
    agent_fleet fleet = started_fleet(7, 7, 5, 6);
    fleet.without_objects = {agent_fleet::host_name(6)};
    object_received next = fleet.history.at({object_kind::config, 1});
    next.version = 2;
    fleet.publish(next);
    fleet.deliver(agent_fleet::host_name(0), next);
    fleet.run(1s);
    cr_assert_eq(fleet.members[agent_fleet::host_name(5)].agent->known_version(object_kind::config),
                 2);
    fleet.run(2500ms);
    cr_assert_not(fleet.is_current(agent_fleet::host_name(6)));
    cr_assert(fleet.is_current(agent_fleet::host_name(5)));
}

// Failure: a restarted witness never issues tokens again, so that the next restart
// stops the fleet, or a restarted host does not become current without the store.
Test(membership_agent, rolling_restart_keeps_the_fleet_current)
{
    for (const std::size_t n : {3U, 5U}) {
        agent_fleet fleet = started_fleet(n, n, n, 6);
        fleet.store_available = false;
        for (std::size_t it = 0; it < n; ++it) {
            const object_received seed = fleet.history.at({object_kind::roster, 1});
            fleet.start(agent_fleet::host_name(it));
            fleet.deliver(agent_fleet::host_name(it), seed);
            for (int step = 0; step < 100; ++step) {
                fleet.run(100ms);
                for (std::size_t host = 0; host < n; ++host)
                    cr_assert(fleet.is_current(agent_fleet::host_name(host)) ||
                                  (host == it && step < 20),
                              "%zu hosts: host %zu after %zu", n, host, it);
            }
        }
        expect_safe(fleet, n);
        cr_assert(fleet.all_held());
        fleet.store_available = true;
        fleet.start_all(n);
        fleet.run(15s);
        cr_assert(fleet.all_held(), "after a restart of all hosts");
    }
}

// Failure: a monitor that was restarted, or that a roster change appoints, grants a
// fence although its earlier incarnation or the previous monitor may have granted a
// lease.
Test(membership_agent, restarted_or_new_monitor_holds_off)
{
    for (const bool restarted : {true, false}) {
        agent_fleet fleet{8};
        fleet.declare(6, 5, 6);
        fleet.start_all(5);
        fleet.run(15s);
        const host_id subject = agent_fleet::host_name(5);
        object_received next = fleet.history.at({object_kind::roster, 1});
        host_id monitor = monitors_of(next.hosts, subject).front();
        if (restarted)
            fleet.start(monitor);
        else {
            std::erase_if(next.hosts.hosts, [&](const auto& it) { return it.id == monitor; });
            ++next.version;
            monitor = monitors_of(next.hosts, subject).back();
            fleet.publish(next);
            fleet.deliver(monitor, next);
        }
        time_point since = restarted ? time_point::max() : fleet.now;
        bool granted = false;
        for (int step = 0; step < 90 && !granted; ++step) {
            fleet.run(100ms);
            if (fleet.is_current(monitor))
                since = std::min(since, fleet.now - 100ms);
            // The agent answers a host's requests to itself without actions.
            const host_id requester =
                agent_fleet::host_name(monitor == agent_fleet::host_name(0) ? 1 : 0);
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

// Failure: a host floods the fleet with fence requests while all others are absent.
Test(membership_agent, wanted_fences_are_bounded)
{
    agent_fleet fleet{9};
    fleet.declare(64, 5, 64);
    const object_received& config = fleet.history.at({object_kind::config, 1});
    const object_received& hosts = fleet.history.at({object_kind::roster, 1});
    placement tables;
    compute_host_tables(tables, hosts.hosts, agent_fleet::host_name(7));
    compute_candidates(tables, config.config);
    upstream_claims claims{agent_fleet::host_name(7)};
    claims.set_placement(tables, {true, false});
    claims.mark_settled();
    const auto wanted = claims.wanted_fences(
        fence_tracker{agent_fleet::host_name(7)}, [](const host_id&) { return host_status::down; },
        fleet.now);
    cr_assert_leq(wanted.size(), 16);
    cr_assert_geq(wanted.size(), 8);
}

// Failure: updates that the other hosts know already keep filling the messages.
Test(member_gossip, received_copies_count_as_retransmissions)
{
    member_gossip gossip{agent_fleet::host_name(0), 1};
    roster hosts;
    for (std::size_t it = 0; it < 7; ++it)
        hosts.hosts.push_back(roster_host{agent_fleet::host_name(it), {}, {}, {}, {}});
    gossip.set_roster(hosts);
    const member_update update{agent_fleet::host_name(1), 5, 1, host_status::serving};
    cr_assert(gossip.apply(update));
    cr_assert_eq(gossip.updates_for(agent_fleet::host_name(2), false, 0).size(), 1);
    // An update is sent 9 times with 6 other hosts. After 1 send and 7 copies, 1 is
    // left.
    for (int copy = 0; copy < 7; ++copy)
        cr_assert_not(gossip.apply(update));
    cr_assert_eq(gossip.updates_for(agent_fleet::host_name(2), false, 0).size(), 1);
    cr_assert(gossip.updates_for(agent_fleet::host_name(2), false, 0).empty());
}

// Failure: serving hosts repeat known updates to each other, or a joining host gets
// the statuses of the others as slowly as a serving one.
Test(membership_agent, joining_hosts_get_more_updates)
{
    agent_fleet fleet = started_fleet(11, 17, 5, 6);
    // The updates of the start need no more retransmission.
    fleet.run(10s);
    const host_id peer = agent_fleet::host_name(1);
    const incarnation_number later = 10000;
    for (const host_status status : {host_status::joining, host_status::serving}) {
        heartbeat request{peer, later, 1, 1, 1, false, {}};
        request.updates.push_back({peer, later, status == host_status::joining ? 1U : 2U, status});
        std::size_t updates = 0;
        for (const auto& action : fleet.members[agent_fleet::host_name(0)].agent->handle(
                 message_received{request}, fleet.now))
            if (const auto* sent = std::get_if<send_control>(&action))
                if (const auto* reply = std::get_if<heartbeat_reply>(&sent->message))
                    updates = reply->updates.size();
        cr_assert_eq(updates, status == host_status::joining ? 6 : 1, "%zu updates", updates);
    }
}

// Failure: the number of messages of one host grows with the fleet.
Test(membership_agent, messages_per_host_are_bounded)
{
    for (const std::size_t n : {8U, 32U, 64U}) {
        agent_fleet fleet = started_fleet(6, n, 5, n);
        for (auto& [host, it] : fleet.members)
            it.sent = it.largest_message = 0;
        fleet.run(10s);
        std::size_t total = 0;
        for (const auto& [host, it] : fleet.members) {
            total += it.sent;
            // A reply has at most 6 updates, and a token of each of the 5 witnesses.
            cr_assert_leq(it.largest_message, 11);
        }
        // 10 s are 20 periods of 500 ms, each with 6 heartbeats and 6 replies per host.
        cr_assert_leq(total, (10UL * 24 + 1) * n, "%zu hosts sent %zu", n, total);
    }
}
