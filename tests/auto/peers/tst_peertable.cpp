// Guards what callers are told about entry hosts.
#include "peers/peertable.h"

#include <criterion/criterion.h>

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
    void hear(const std::string& id, incarnation_number incarnation, bool leaving = false,
              bool ready = true)
    {
        table.record_heartbeat({host_id{id}, incarnation, ready, leaving, false, {}}, now);
    }
    std::size_t named() { return table.entry_hosts(now).size(); }

    time_point now{1000s};
    peer_table table{record("self", 1, 9)};
};

} // namespace

// Failure: a host that died stays in the directory's answers.
Test(peer_table, silent_host_is_not_named)
{
    peer_fixture f;
    f.table.upsert(record("a", 5, 1), f.now);
    cr_assert(f.named() == 0);
    f.hear("a", 5);
    cr_assert(f.named() == 1);
    f.now += 2s;
    cr_assert(f.named() == 0);
}

// Failure: a leaving host is named again because an older datagram arrives late.
Test(peer_table, leaving_is_final_for_one_life)
{
    peer_fixture f;
    f.table.upsert(record("a", 5, 1), f.now);
    f.hear("a", 5, true);
    f.hear("a", 5, false);
    cr_assert(f.named() == 0);
    // The next life of the host is another one.
    f.table.upsert(record("a", 6, 1), f.now);
    f.hear("a", 6);
    cr_assert(f.named() == 1);
}

// Failure: heartbeats of a life that is over keep a dead host alive.
Test(peer_table, heartbeat_of_an_earlier_life_is_ignored)
{
    peer_fixture f;
    f.table.upsert(record("a", 5, 1), f.now);
    f.hear("a", 4);
    cr_assert(f.named() == 0);
}

// Failure: after a restart without the store a living host is not named; after a clock
// that went back it never is.
Test(peer_table, new_life_counts_before_and_after_its_record)
{
    peer_fixture f;
    f.table.upsert(record("a", 5, 1), f.now);
    f.hear("a", 9);
    cr_assert(f.named() == 1);
    f.table.upsert(record("a", 3, 1), f.now);
    f.hear("a", 3);
    cr_assert(f.named() == 1);
}

// Failure: a host that is not ready is named.
Test(peer_table, host_that_is_not_ready_is_not_named)
{
    peer_fixture f;
    f.table.upsert(record("a", 5, 1), f.now);
    f.hear("a", 5, false, false);
    cr_assert(f.named() == 0);
}

// Failure: the fleet's limits are divided among hosts that are long gone, or among too
// few at a start.
Test(peer_table, sharing_hosts)
{
    peer_fixture f;
    cr_assert(f.table.limit_divisor(f.now) >= 17);
    f.table.set_own_state(true, false);
    for (const char* it : {"a", "b", "c"})
        f.table.upsert(record(it, 5, 1), f.now);
    for (const char* it : {"a", "b", "c"})
        f.hear(it, 5);
    cr_assert(f.table.limit_divisor(f.now) == 4);
    f.now += 14s;
    f.hear("a", 5);
    cr_assert(f.table.limit_divisor(f.now) == 2);
}

// Pattern: a fleet of a few strong and many weak hosts. Failure: callers are told to use
// weak hosts, whose merges take most of the target latency, or all hosts, which then have
// too little traffic to keep connections.
Test(peer_table, strong_hosts_are_named_before_weak_ones)
{
    peer_fixture f;
    for (int it = 0; it < 100; ++it) {
        const std::string id = "h" + std::to_string(it);
        f.table.upsert(record(id, 5, 1, it < 6 ? 0.5 : 0.084, "d" + std::to_string(it % 3)), f.now);
        f.hear(id, 5);
    }
    auto hosts = f.table.entry_hosts(f.now);
    cr_assert(hosts.size() == 6);
    cr_assert(hosts.back().processor_share == 0.5);
    // The strong ones are lost: weak ones take their place.
    for (int it = 0; it < 6; ++it)
        f.table.remove(host_id{"h" + std::to_string(it)});
    hosts = f.table.entry_hosts(f.now);
    cr_assert(hosts.size() > 20);
    std::map<failure_domain_id, int> domains;
    for (const auto& it : hosts)
        ++domains[it.domain];
    cr_assert(domains.size() == 3);
}

// Pattern: the entry hosts have more to do than they can. Failure: the other hosts stay
// idle.
Test(peer_table, strained_entry_hosts_are_joined_by_others)
{
    peer_fixture f;
    for (int it = 0; it < 40; ++it) {
        const std::string id = "h" + std::to_string(it);
        f.table.upsert(record(id, 5, 1, it < 6 ? 0.5 : 0.084), f.now);
        f.hear(id, 5);
    }
    cr_assert(f.named() == 6);
    for (int it = 0; it < 6; ++it)
        f.table.record_heartbeat({host_id{"h" + std::to_string(it)}, 5, true, false, true, {}},
                                 f.now);
    f.named();
    cr_assert(f.named() > 12);
}

// Failure: hosts do not agree on who reads the newest state of the store, or nobody does.
Test(peer_table, first_hosts_are_the_same_for_all)
{
    constexpr int hosts = 9;
    const time_point now{1000s};
    int readers = 0;
    for (int self = 0; self < hosts; ++self) {
        peer_table table{record("h" + std::to_string(self), 5, 1)};
        for (int it = 0; it < hosts; ++it) {
            table.upsert(record("h" + std::to_string(it), 5, 1), now);
            table.record_heartbeat({host_id{"h" + std::to_string(it)}, 5, true, false, false, {}},
                                   now);
        }
        readers += table.ranks_among_first(3, now) ? 1 : 0;
    }
    cr_assert(readers == 3);
}

// Failure: records and heartbeats do not survive their encoding, or other bytes are taken
// for them.
Test(peer_table, encodings)
{
    const host_record it = record("a", 5, 8080);
    cr_assert(decode_host_record("a", encode_host_record(it)) == it);
    cr_assert(!decode_host_record("a", "[]"));
    cr_assert(!decode_host_record("a", R"({"callers":1})"));
    const host_heartbeat beat{host_id{"a"}, 7, true, false, true, {42, 43, 44}};
    cr_assert(decode_heartbeat(encode_heartbeat(beat)) == beat);
    cr_assert(!decode_heartbeat("\xff\xff\xff"));
    cr_assert(!decode_heartbeat(""));
}

// Pattern: a host is cut off from the store, the others are not. Failure: it reads the
// state of a host that knows no more, or of a dead one.
Test(peer_table, hosts_ahead)
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
