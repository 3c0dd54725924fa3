// Checks monitors, neighbours and candidates, which all hosts compute from the roster.
#include "membership/rendezvous.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace ebonywick;

namespace {

roster roster_of(int n)
{
    roster hosts;
    for (int it = 0; it < n; ++it)
        hosts.hosts.push_back(roster_host{host_id{"h" + std::to_string(100 + it)}, {}, {}, {}, {}});
    return hosts;
}

shard_declaration shard_of(int number)
{
    shard_declaration shard{shard_name{"s"}, {}};
    for (int it = 0; it < 3; ++it)
        shard.replicas.push_back(upstream_declaration{
            upstream_id{std::to_string(number) + "-" + std::to_string(it)}, {}, {}, 1, 64, 1});
    return shard;
}

} // namespace

// Failure: a host is its own monitor in a large fleet, or a fleet of three has no
// majority of monitors after the loss of one host.
Test(rendezvous, monitors_include_the_host_only_in_small_rosters)
{
    for (const int n : {1, 2, 3, 4, 17}) {
        const roster hosts = roster_of(n);
        const host_id self = hosts.hosts[0].id;
        const auto monitors = monitors_of(hosts, self);
        const std::set<host_id> distinct{monitors.begin(), monitors.end()};
        cr_assert_eq(distinct.size(), static_cast<std::size_t>(std::min(n, 3)));
        cr_assert_eq(distinct.contains(self), n < 4);
    }
}

// Failure: an update that is passed from neighbour to neighbour does not reach every
// host.
Test(rendezvous, neighbours_connect_all_hosts)
{
    const roster hosts = roster_of(37);
    std::set<host_id> reached{hosts.hosts[0].id};
    for (int round = 0; round < 6; ++round)
        for (const host_id& it : std::set<host_id>{reached})
            for (const host_id& next : neighbours_of(hosts, it))
                reached.insert(next);
    cr_assert_eq(reached.size(), 37);
    cr_assert_eq(neighbours_of(hosts, hosts.hosts[0].id).size(), 6);
    const auto of_new = neighbours_of(hosts, host_id{"new"});
    cr_assert_eq((std::set<host_id>{of_new.begin(), of_new.end()}).size(), 6);
}

// Failure: replicas of one shard have the same holder, or the limit changes the order
// of the candidates.
Test(rendezvous, replicas_have_different_first_candidates)
{
    const roster hosts = roster_of(20);
    for (int number = 0; number < 100; ++number) {
        std::set<host_id> firsts;
        const auto limited = holder_candidates(hosts, shard_of(number), 5);
        for (const auto& [upstream, order] : holder_candidates(hosts, shard_of(number))) {
            cr_assert_eq(order.size(), 20);
            firsts.insert(order.front());
            cr_assert_eq(limited.at(upstream).size(), 5);
            cr_assert(std::equal(limited.at(upstream).begin(), limited.at(upstream).end(),
                                 order.begin()));
        }
        cr_assert_eq(firsts.size(), 3);
    }
}

// Failure: the loss of a host moves many upstreams of other hosts.
Test(rendezvous, loss_of_a_host_moves_few_other_upstreams)
{
    const roster hosts = roster_of(20);
    roster fewer = hosts;
    fewer.hosts.erase(fewer.hosts.begin() + 7);
    int moved = 0;
    for (int number = 0; number < 100; ++number) {
        const auto before = holder_candidates(hosts, shard_of(number));
        for (const auto& [upstream, order] : holder_candidates(fewer, shard_of(number)))
            moved += order.front() != before.at(upstream).front() &&
                     before.at(upstream).front() != hosts.hosts[7].id;
    }
    // Only those replicas move whose first candidate depended on the lost host being
    // first for another replica: at most 2 of the 3 replicas of a shard, in about 1 of
    // 20 x 20 shards.
    cr_assert_leq(moved, 3);
}
