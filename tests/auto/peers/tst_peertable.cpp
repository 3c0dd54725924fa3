// Tests of the selection of entry hosts, of liveness, and of the encodings.
#include "peers/peertable.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <limits>
#include <map>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

host_record record(const std::string& id, incarnation_number incarnation, std::uint16_t port,
                   double share = 0.17, const std::string& domain = "d")
{
    return {.id = host_id{id},
            .incarnation = incarnation,
            .callers = {"10.0.0.1", port},
            .heartbeats = {"10.0.0.1", 9999},
            .control = {"10.0.0.1", 9998},
            .domain = failure_domain_id{domain},
            .processor_share = share};
}

struct peer_fixture
{
    void receive_heartbeat(const std::string& id, incarnation_number incarnation,
                           bool leaving = false, bool ready = true)
    {
        table.record_heartbeat({host_id{id}, incarnation, ready, leaving, false, {}}, now);
    }
    std::size_t entry_host_count()
    {
        table.update_relays(now);
        return table.entry_hosts(now).size();
    }

    time_point now{1000s};
    peer_table table{record("self", 1, 9)};
};

} // namespace

// Guards against listing a dead host as an entry host.
Test(peer_table, silent_host_is_no_entry_host)
{
    peer_fixture f;
    f.table.upsert(record("a", 5, 1), f.now);
    cr_assert(f.entry_host_count() == 0);
    f.receive_heartbeat("a", 5);
    cr_assert(f.entry_host_count() == 1);
    f.now += 2s;
    cr_assert(f.entry_host_count() == 0);
}

// Guards against listing a leaving host again because of a reordered datagram.
Test(peer_table, leaving_is_final_until_the_host_restarts)
{
    peer_fixture f;
    f.table.upsert(record("a", 5, 1), f.now);
    f.receive_heartbeat("a", 5, true);
    f.receive_heartbeat("a", 5, false);
    cr_assert(f.entry_host_count() == 0);
    // After a restart the host is no longer leaving.
    f.table.upsert(record("a", 6, 1), f.now);
    f.receive_heartbeat("a", 6);
    cr_assert(f.entry_host_count() == 1);
}

// Guards against late heartbeats of an earlier incarnation that keep a dead host alive.
Test(peer_table, heartbeat_of_an_earlier_incarnation_is_ignored)
{
    peer_fixture f;
    f.table.upsert(record("a", 5, 1), f.now);
    f.receive_heartbeat("a", 4);
    cr_assert(f.entry_host_count() == 0);
}

// Guards against ignoring a host that restarted while the store was unavailable, so that its
// record is outdated, or whose clock went back, so that its incarnation is smaller than before.
Test(peer_table, new_incarnation_counts_before_and_after_its_record)
{
    peer_fixture f;
    f.table.upsert(record("a", 5, 1), f.now);
    f.receive_heartbeat("a", 9);
    cr_assert(f.entry_host_count() == 1);
    f.table.upsert(record("a", 3, 1), f.now);
    f.receive_heartbeat("a", 3);
    cr_assert(f.entry_host_count() == 1);
}

// Guards against listing a host that is not ready.
Test(peer_table, host_that_is_not_ready_is_no_entry_host)
{
    peer_fixture f;
    f.table.upsert(record("a", 5, 1), f.now);
    f.receive_heartbeat("a", 5, false, false);
    cr_assert(f.entry_host_count() == 0);
}

// Guards against dividing the fleet's limits among hosts that have long been gone, or among too
// few hosts after a start.
Test(peer_table, limits_are_divided_among_recent_hosts)
{
    peer_fixture f;
    cr_assert(f.table.limit_divisor(f.now) >= 17);
    f.table.set_own_state(true, false, true);
    for (const char* it : {"a", "b", "c"})
        f.table.upsert(record(it, 5, 1), f.now);
    for (const char* it : {"a", "b", "c"})
        f.receive_heartbeat(it, 5);
    cr_assert(f.table.limit_divisor(f.now) == 4);
    f.now += 14s;
    f.receive_heartbeat("a", 5);
    cr_assert(f.table.limit_divisor(f.now) == 2);
}

// A fleet of a few strong and many weak hosts. Guards against selecting weak hosts, whose merges
// take most of the target latency, and against selecting all hosts, which then have too little
// traffic to keep their connections open.
Test(peer_table, strong_hosts_are_selected_before_weak_ones)
{
    peer_fixture f;
    for (int it = 0; it < 100; ++it) {
        const std::string id = "h" + std::to_string(it);
        f.table.upsert(record(id, 5, 1, it < 6 ? 0.5 : 0.084, "d" + std::to_string(it % 3)), f.now);
        f.receive_heartbeat(id, 5);
    }
    f.table.update_relays(f.now);
    auto hosts = f.table.entry_hosts(f.now);
    cr_assert(hosts.size() == 6);
    cr_assert(hosts.back().processor_share == 0.5);
    // Weak hosts replace the strong ones after their loss.
    for (int it = 0; it < 6; ++it)
        f.table.remove(host_id{"h" + std::to_string(it)});
    f.table.update_relays(f.now);
    hosts = f.table.entry_hosts(f.now);
    cr_assert(hosts.size() > 20);
    std::map<failure_domain_id, int> domains;
    for (const auto& it : hosts)
        ++domains[it.domain];
    cr_assert(domains.size() == 3);
}

// Guards against overloaded entry hosts while the other hosts stay idle.
Test(peer_table, more_hosts_are_selected_under_strain)
{
    peer_fixture f;
    for (int it = 0; it < 40; ++it) {
        const std::string id = "h" + std::to_string(it);
        f.table.upsert(record(id, 5, 1, it < 6 ? 0.5 : 0.084), f.now);
        f.receive_heartbeat(id, 5);
    }
    cr_assert(f.entry_host_count() == 6);
    for (int it = 0; it < 6; ++it)
        f.table.record_heartbeat({host_id{"h" + std::to_string(it)}, 5, true, false, true, {}},
                                 f.now);
    f.entry_host_count();
    cr_assert(f.entry_host_count() > 12);
}

// Guards against hosts that rank differently, so that too many or none read the newest state
// of the store.
Test(peer_table, ranking_is_the_same_at_all_hosts)
{
    constexpr int hosts = 9;
    const time_point now{1000s};
    int readers = 0;
    for (int self = 0; self < hosts; ++self) {
        peer_table table{record("h" + std::to_string(self), 5, 1)};
        table.set_own_state(true, false, true);
        for (int it = 0; it < hosts; ++it) {
            table.upsert(record("h" + std::to_string(it), 5, 1), now);
            table.record_heartbeat(
                {host_id{"h" + std::to_string(it)}, 5, true, false, false, {}, true}, now);
        }
        readers += table.is_newest_reader(3, now) ? 1 : 0;
    }
    cr_assert(readers == 3);
}

// The store turns some hosts away and serves the others. Guards against newest reads by hosts that
// cannot reach the store, so that nobody sees a change in time.
Test(peer_table, hosts_without_the_store_are_no_readers)
{
    peer_fixture f;
    f.table.set_own_state(true, false, true);
    for (const char* it : {"a", "b", "c", "e"}) {
        f.table.upsert(record(it, 5, 1, 0.5), f.now);
        f.table.record_heartbeat({host_id{it}, 5, true, false, false, {}, false}, f.now);
    }
    cr_assert(f.table.is_newest_reader(3, f.now));
    cr_assert(!f.table.other_readers(f.now));
    for (const char* it : {"a", "b", "c"})
        f.table.record_heartbeat({host_id{it}, 5, true, false, false, {}, true}, f.now);
    cr_assert(!f.table.is_newest_reader(3, f.now));
    cr_assert(f.table.other_readers(f.now));
    f.table.set_own_state(true, false, false);
    cr_assert(!f.table.is_newest_reader(3, f.now));
}

// Guards against turns that the readers reckon by their own clocks, which differ.
Test(peer_table, readers_take_turns_by_the_clock_of_the_first)
{
    peer_fixture f;
    f.table.set_own_state(true, false, true);
    f.table.upsert(record("a", 5, 1, 2.0), f.now);
    f.table.record_heartbeat({host_id{"a"}, 5, true, false, false, {}, true}, f.now);
    cr_assert((f.table.newest_reader_position(3, f.now) == reader_position{1, 2, 0s}));
    f.table.record_clock(host_id{"a"}, f.now - 5s, f.now);
    f.table.record_clock(host_id{"unknown"}, f.now + 5s, f.now);
    cr_assert((f.table.newest_reader_position(3, f.now) == reader_position{1, 2, -5s}));

    const time_point base{3200ms * 1000};
    cr_assert(time_to_turn({1, 2, 0s}, 1600ms, base) == 1600ms);
    cr_assert(time_to_turn({0, 2, 0s}, 1600ms, base) == 3200ms);
    cr_assert(time_to_turn({0, 2, 0s}, 1600ms, base - 101ms) == 101ms);
    cr_assert(time_to_turn({0, 2, 0s}, 1600ms, base - 99ms) == 3299ms);
    for (const duration clock_offset : {-5s, 7s}) {
        // By the clock of the first reader it is 100 ms after the first one's turn.
        const time_point now = base + 100ms - clock_offset;
        cr_assert(time_to_turn({0, 3, clock_offset}, 1600ms, now) ==
                  time_to_turn({0, 3, 0s}, 1600ms, base + 100ms));
        cr_assert(time_to_turn({2, 3, clock_offset}, 1600ms, now) -
                      time_to_turn({1, 3, clock_offset}, 1600ms, now) ==
                  1600ms);
    }
}

// Guards against encodings that lose fields, and against decoding invalid input.
Test(peer_table, records_and_heartbeats_survive_encoding)
{
    const host_record it = record("a", 5, 8080);
    cr_assert(decode_host_record("a", encode_host_record(it)) == it);
    cr_assert(!decode_host_record("a", "[]"));
    cr_assert(!decode_host_record("a", R"({"callers":1})"));
    peer_message message{{host_id{"a"}, 7, true, false, true, {42, 43, 44, 45}, true}, 46, 0, {}};
    message.sent_at = time_point{47ns};
    cr_assert(decode_peer_message(encode_peer_message(message)) == message);
    message.answered_query = 47;
    message.digest = {{1, 2, 3s, true, false, true, true}, {4, 5, 60ms, false, true, false, false}};
    cr_assert(decode_peer_message(encode_peer_message(message)) == message);
    message.limits = {{1, {38.125}, 250ms}, {2, {}, 0ms}};
    cr_assert(decode_peer_message(encode_peer_message(message)) == message);
    message.leaving_upstreams = {3, std::numeric_limits<std::uint64_t>::max()};
    cr_assert(decode_peer_message(encode_peer_message(message)) == message);
    message.limits[0].limit = {std::numeric_limits<double>::quiet_NaN()};
    cr_assert(!decode_peer_message(encode_peer_message(message)));
    message.limits.clear();
    message.sent_at = time_point::max();
    cr_assert(!decode_peer_message(encode_peer_message(message)));
    cr_assert(!decode_peer_message("\xff\xff\xff"));
    cr_assert(!decode_peer_message(""));
}

// A host has lost the store, the others have not. Guards against reading the state from a host
// that is not ahead or not alive.
Test(peer_table, hosts_ahead_are_live_and_newer)
{
    peer_fixture f;
    f.table.upsert(record("a", 5, 1), f.now);
    f.table.record_heartbeat({host_id{"a"}, 5, true, false, false, {7, 8, 9}}, f.now);
    cr_assert(f.table.hosts_ahead_of({7, 8, 9}, f.now).empty());
    for (const applied_revisions& behind :
         {applied_revisions{6, 8, 9}, applied_revisions{7, 7, 9}, applied_revisions{7, 8, 8}})
        cr_assert(f.table.hosts_ahead_of(behind, f.now).size() == 1);
    f.now += 5s;
    cr_assert(f.table.hosts_ahead_of({7, 7, 9}, f.now).empty());
}

// The store was restored, and its revisions have gone back. Guards against hosts that do not read
// the state of one that has seen the new epoch, or that wait for revisions of the earlier one.
Test(peer_table, epochs_go_before_revisions)
{
    peer_fixture f;
    f.table.upsert(record("a", 5, 1), f.now);
    f.table.upsert(record("b", 5, 1), f.now);
    host_heartbeat restored{host_id{"a"}, 5, true, false, false, {3, 4, 0, 2, 2}, true, true};
    const peer_message message{restored, 0, 0, {}};
    cr_assert(decode_peer_message(encode_peer_message(message)) == message);
    f.table.record_heartbeat(restored, f.now);
    f.table.record_heartbeat({host_id{"b"}, 5, true, false, false, {9, 9, 9, 9, 1}}, f.now);
    cr_assert(f.table.newest_applied() == (applied_revisions{3, 4, 0, 2, 2}));
    cr_assert(f.table.hosts_ahead_of({9, 9, 9, 9, 1}, f.now).size() == 1);
    cr_assert(f.table.hosts_ahead_of({3, 4, 0, 2, 2}, f.now).empty());
    cr_assert(f.table.retaining_hosts(2, f.now).size() == 1);
    cr_assert(f.table.retaining_hosts(1, f.now).empty());
}

// Guards against a host that takes a larger part of the limits as soon as others fall silent,
// although they may only be cut off from it and go on sending calls.
Test(peer_table, silent_host_keeps_its_part_of_the_limits_for_a_while)
{
    peer_fixture f;
    f.table.set_own_state(true, false, true);
    f.table.upsert(record("a", 5, 1), f.now);
    f.receive_heartbeat("a", 5);
    cr_assert(f.table.calling_hosts(f.now).known.size() == 2);
    f.now += 29s;
    cr_assert(f.table.calling_hosts(f.now).known.size() == 2);
    f.now += 2s;
    cr_assert(f.table.calling_hosts(f.now).known.size() == 1);
}

// Guards against a host that takes the whole limits after its start, before it has heard from the
// others, and against parts for hosts that never come.
Test(peer_table, registered_hosts_have_a_part_of_the_limits_until_they_could_be_heard)
{
    peer_fixture f;
    f.table.set_own_state(true, false, true);
    for (const char* it : {"a", "b", "c"})
        f.table.upsert(record(it, 5, 1), f.now);
    cr_assert(f.table.calling_hosts(f.now).known.size() == 4);
    f.now += 31s;
    cr_assert(f.table.calling_hosts(f.now).known.size() == 1);
}

// Guards against parts of the limits for hosts that get no requests of callers, in a fleet of
// which a few strong hosts are entry hosts.
Test(peer_table, hosts_without_callers_have_no_part_of_the_limits)
{
    peer_fixture f;
    f.table.set_own_state(true, false, true);
    for (int it = 0; it < 60; ++it) {
        const auto id = "h" + std::to_string(it);
        f.table.upsert(record(id, 5, static_cast<std::uint16_t>(it + 1), it < 20 ? 0.5 : 0.1),
                       f.now);
        f.receive_heartbeat(id, 5);
    }
    f.table.update_relays(f.now);
    const auto hosts = f.table.calling_hosts(f.now).known;
    cr_assert(hosts.size() == f.table.entry_hosts(f.now).size());
    cr_assert(std::find(hosts.begin(), hosts.end(), host_id{"self"}) == hosts.end());
}

// Guards against a host that takes the whole limits because it has started without the list of
// the others.
Test(peer_table, host_that_knows_no_others_assumes_some)
{
    peer_fixture f;
    f.table.set_own_state(true, false, true);
    const sharing_hosts hosts = f.table.calling_hosts(f.now);
    cr_assert(hosts.known.size() == 1 && hosts.unknown > 15);
    f.table.upsert(record("a", 5, 1), f.now);
    cr_assert(f.table.calling_hosts(f.now).unknown == 0);
}
