// Tests of liveness in large fleets: relays, queries and digests in simulated time.
#include "peerfleet.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

// The users' limit for control, in bytes a second of a host.
constexpr std::size_t control_bytes_limit = 7000;

} // namespace

// Load pattern: a fleet that grows from 30 to 460 hosts. Guards against heartbeats from all hosts
// to all others, which cost a host 50 KB a second at the target size.
Test(peer_fleet, cost_of_a_host_does_not_grow_with_the_fleet)
{
    std::size_t bytes_at_195 = 0;
    for (const std::size_t size : {30U, 195U, 460U}) {
        peer_fleet f{size};
        f.run(6s);
        std::vector<std::size_t> bytes;
        for (const auto& it : f.hosts)
            bytes.push_back(it->bytes);
        std::sort(bytes.begin(), bytes.end());
        const std::size_t median = bytes[bytes.size() / 2];
        // Relays have more messages, but do not exchange them with the whole fleet.
        for (const auto& it : f.hosts)
            cr_assert(it->table.small_fleet() || it->messages < size);
        cr_assert(median < control_bytes_limit, "%zu hosts: %zu bytes", size, median);
        if (size == 195)
            bytes_at_195 = median;
        cr_log_info("%zu hosts: median %zu, most %zu bytes in an interval", size, median,
                    bytes.back());
        if (size == 460)
            cr_assert(median <= bytes_at_195 + bytes_at_195 / 10);
    }
}

// Guards against hosts of a large fleet that do not learn of an entry host, or name one that has
// been dead for longer than the users allow, which is 9 s at the smallest bound.
Test(peer_fleet, all_hosts_follow_the_state_of_an_entry_host)
{
    peer_fleet f{195};
    f.run(5s);
    cr_assert(f.named_by(0) == 195);
    f.hosts[0]->up = false;
    f.run(8s);
    cr_assert(f.named_by(0) == 0);
    f.hosts[0]->up = true;
    f.run(5s);
    cr_assert(f.named_by(0) == 195);
}

// Guards against announced changes that a host that is no relay learns of only by its own queries,
// that several relays send to it, or that one relay has to send to most hosts. The weak hosts of
// one failure domain have no relay there.
Test(peer_fleet, each_host_is_told_of_announced_changes_by_one_relay)
{
    for (const std::size_t size : {30U, 195U, 460U}) {
        constexpr std::size_t strong = 40;
        peer_fleet f{size, strong};
        for (std::size_t it = strong; it < size; it += 7) {
            host_record moved = f.hosts[it]->record;
            moved.domain = failure_domain_id{"without relays"};
            for (const auto& of : f.hosts)
                of->table.upsert(moved, f.now);
        }
        f.run(5s);
        std::vector<std::size_t> told(size);
        for (const auto& from : f.hosts) {
            const auto targets = from->table.announcement_targets();
            cr_assert(targets.size() <= size / 8, "%zu of %zu", targets.size(), size);
            for (const endpoint& to : targets) {
                const std::size_t number = to.port - 1U;
                ++told[number];
                cr_assert(f.hosts[number]->record.domain == from->record.domain ||
                          (number - strong) % 7 == 0);
            }
        }
        for (std::size_t it = 0; it < size; ++it) {
            const bool expected = !f.hosts[it]->table.is_relay();
            cr_assert(told[it] == (expected ? 1 : 0), "host %zu of %zu: %zu", it, size, told[it]);
        }
    }
}

// Guards against a planned stop that most hosts learn of only by the timeout.
Test(peer_fleet, leaving_host_is_no_longer_named_at_once)
{
    peer_fleet f{195};
    f.run(5s);
    f.hosts[0]->leaving = true;
    f.send_heartbeats(0);
    cr_assert(f.named_by(0) == 0);
}

// Two failure domains cannot reach each other while the others reach both. Guards against
// treating the hosts beyond the partition as dead.
Test(peer_fleet, partition_between_two_domains_hides_no_host)
{
    for (std::size_t one = 0; one < peer_fleet::domains; ++one) {
        for (std::size_t two = 0; two < one; ++two) {
            peer_fleet f{195};
            f.run(5s);
            f.link = [=](std::size_t from, std::size_t to) {
                const auto a = peer_fleet::domain_of(from);
                const auto b = peer_fleet::domain_of(to);
                return std::min(a, b) != two || std::max(a, b) != one;
            };
            for (int it = 0; it < 12; ++it) {
                f.step();
                // Entry hosts on both sides of the partition.
                cr_assert(f.named_by(one) == 195);
                cr_assert(f.named_by(two) == 195);
            }
        }
    }
}

// All relays are lost at once. Guards against a fleet in which nobody exchanges heartbeats any
// more because all hosts wait for the lost ones.
Test(peer_fleet, other_hosts_replace_lost_relays)
{
    peer_fleet f{195};
    f.run(5s);
    for (const auto& it : f.hosts)
        it->up = !it->table.is_relay();
    f.run(10s);
    std::size_t hosts_with_entries = 0;
    for (const auto& it : f.hosts)
        hosts_with_entries += it->up && it->table.entry_hosts(f.now).size() >= 4 ? 1 : 0;
    cr_assert(hosts_with_entries == f.up_count());
}

// A host is cut off for a minute, so that it has given up on all others. Guards against a host
// that does not find back, or of which the others do not learn.
Test(peer_fleet, isolated_host_finds_back)
{
    peer_fleet f{195};
    f.run(5s);
    f.link = [](std::size_t from, std::size_t to) {
        return from != 0 && to != 0;
    };
    f.run(60s);
    cr_assert(f.named_by(0) <= 1);
    f.link = [](std::size_t, std::size_t) {
        return true;
    };
    f.run(8s);
    cr_assert(f.named_by(0) == 195);
    cr_assert(f.hosts[0]->table.entry_hosts(f.now).size() >= 8);
}

// Guards against a digest that makes a host seem alive for longer than its own heartbeats would.
Test(peer_fleet, digest_does_not_renew_old_heartbeats)
{
    peer_fleet f{60};
    peer_table& table = f.hosts[40]->table;
    const host_record& of = f.hosts[0]->record;
    table.update_relays(f.now);
    const digest_entry old{digest_hash(of.id),
                           static_cast<std::uint32_t>(of.incarnation),
                           3s,
                           true,
                           false,
                           false,
                           false};
    table.record_digest({&old, 1}, 200ms, f.now);
    cr_assert(table.entry_hosts(f.now).size() == 1);
    cr_assert(table.entry_hosts(f.now + 300ms).empty());
    // An entry that is older than what is known has no effect.
    table.record_heartbeat({of.id, of.incarnation, false, false, false, {}}, f.now);
    table.record_digest({&old, 1}, 0ms, f.now);
    cr_assert(table.entry_hosts(f.now).empty());
}

// All hosts lose each other while they still reach the upstreams. Guards against limits of the
// fleet that are exceeded because each host takes the parts of those that it does not hear.
Test(peer_fleet, parts_of_limits_add_up_while_hosts_do_not_hear_each_other)
{
    for (const std::size_t size : {13U, 195U}) {
        peer_fleet f{size};
        f.run(10s);
        f.link = [](std::size_t, std::size_t) {
            return false;
        };
        const std::vector<bool> had_callers = f.entry_hosts_by_number();
        for (int step = 0; step < 20; ++step) {
            f.step();
            double sum = 0;
            double extra_calls = 0;
            for (std::size_t it = 0; it < size; ++it) {
                if (!had_callers[it])
                    continue;
                peer_table& table = f.hosts[it]->table;
                fleet_share share{f.hosts[it]->record.id};
                const sharing_hosts sharing = table.calling_hosts(f.now);
                share.set_hosts(sharing);
                sum += share.equal_part_of(1.0);
                extra_calls += 1.0 / static_cast<double>(
                                         std::max(table.limit_divisor(f.now), sharing.count()));
            }
            // The platform tolerates one and a half times a limit.
            cr_assert(sum > 0.4 && sum < 1.5, "%zu hosts: %.2f", size, sum);
            cr_assert(extra_calls > 0.4 && extra_calls <= 1.0, "%zu hosts: %.2f", size,
                      extra_calls);
        }
    }
}
