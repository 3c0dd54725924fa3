// Checks how several hosts maintain one roster.
#include "control/rostermaintainer.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

roster_host host(const std::string& name, const std::string& domain)
{
    return roster_host{host_id{name}, failure_domain_id{domain}, {}, {}, {}};
}

/// A store object that all maintainers try to update, every 100 ms.
struct shared_roster
{
    void run(duration length)
    {
        for (const time_point end = now + length; now < end; now += 100ms) {
            const roster_view view{value, version, [&](const host_id& id) { return status[id]; },
                                   true};
            for (auto& [id, it] : maintainers) {
                const auto update = it.propose(view, now);
                if (!update)
                    continue;
                ++tries;
                if (update->expected != version) {
                    it.note_conflict(now);
                    continue;
                }
                check(update->hosts);
                value = update->hosts;
                ++version;
            }
        }
    }

    /// Checks that an accepted update changes one thing only, and that a previous set of
    /// witnesses stays listed for 5 s.
    void check(const roster& next)
    {
        std::size_t changed = 0;
        for (const host_id& it : next.witnesses)
            changed += std::count(value.witnesses.begin(), value.witnesses.end(), it) == 0;
        cr_assert_leq(changed, 1);
        if (next.witnesses != value.witnesses && !value.witnesses.empty()) {
            cr_assert(value.previous_witnesses.empty(), "two witness changes at once");
            cr_assert_eq(next.previous_witnesses, value.witnesses);
            changed_at = now;
        }
        if (!value.previous_witnesses.empty() && next.previous_witnesses.empty())
            cr_assert_geq((now - changed_at).count(), duration{5s}.count());
        cr_assert_leq(value.hosts.size(), next.hosts.size() + 1, "more than one host removed");
    }

    void add(const roster_host& it)
    {
        status[it.id] = host_status::serving;
        maintainers.emplace(it.id, roster_maintainer{it, ++seed, now});
    }

    roster value;
    object_version version = 0;
    std::map<host_id, host_status> status;
    std::map<host_id, roster_maintainer> maintainers;
    time_point now = time_point{} + 1h;
    time_point changed_at{};
    std::uint64_t seed = 0;
    std::size_t tries = 0;
};

shared_roster seven_hosts()
{
    shared_roster fleet;
    for (int it = 0; it < 7; ++it)
        fleet.add(host("h" + std::to_string(it), it < 4 ? "x" : (it < 6 ? "y" : "z")));
    fleet.run(60s);
    return fleet;
}

bool is_witness(const shared_roster& fleet, const std::string& name)
{
    const auto& all = fleet.value.witnesses;
    return std::find(all.begin(), all.end(), host_id{name}) != all.end();
}

} // namespace

// Failure: hosts that start together do not all get into the roster, or the witnesses
// are in one failure domain.
Test(roster_maintainer, hosts_that_start_together_join)
{
    const shared_roster fleet = seven_hosts();
    cr_assert_eq(fleet.value.hosts.size(), 7);
    cr_assert_eq(fleet.value.witnesses.size(), 5);
    cr_assert(fleet.value.previous_witnesses.empty());
    cr_assert(is_witness(fleet, "h6"));
    cr_assert(is_witness(fleet, "h4") && is_witness(fleet, "h5"));
    cr_assert(std::is_sorted(fleet.value.hosts.begin(), fleet.value.hosts.end()));
}

// Failure: a host is removed after a short absence, or lost hosts stay listed.
Test(roster_maintainer, removes_lost_hosts_and_replaces_lost_witnesses)
{
    shared_roster fleet = seven_hosts();
    const object_version before = fleet.version;
    fleet.status[host_id{"h4"}] = host_status::down;
    fleet.run(29s);
    cr_assert_eq(fleet.version, before);
    fleet.status[host_id{"h4"}] = host_status::serving;
    fleet.run(10s);
    cr_assert_eq(fleet.version, before);
    for (const char* name : {"h4", "h5"}) {
        fleet.status[host_id{name}] = host_status::down;
        fleet.maintainers.erase(host_id{name});
    }
    fleet.run(75s);
    cr_assert_eq(fleet.value.hosts.size(), 5);
    cr_assert_eq(fleet.value.witnesses.size(), 5);
    cr_assert_not(is_witness(fleet, "h4") || is_witness(fleet, "h5"));
}

// Failure: all witnesses write at once, or none does when the one with the lowest id
// fails.
Test(roster_maintainer, one_witness_writes_and_others_replace_it)
{
    shared_roster fleet = seven_hosts();
    fleet.status[host_id{"h3"}] = host_status::down;
    fleet.maintainers.erase(host_id{"h3"});
    fleet.tries = 0;
    const object_version before = fleet.version;
    fleet.maintainers.erase(host_id{"h0"});
    fleet.run(34s);
    cr_assert_eq(fleet.tries, 0, "the other witnesses wait for the one with the lowest id");
    fleet.run(20s);
    cr_assert_gt(fleet.version, before);
    cr_assert_eq(fleet.value.find(host_id{"h3"}), nullptr);
    cr_assert_eq(fleet.tries, fleet.version - before);
}

// Failure: a host that leaves adds itself again.
Test(roster_maintainer, leaving_host_does_not_add_itself)
{
    shared_roster fleet;
    fleet.add(host("a", "x"));
    fleet.status[host_id{"a"}] = host_status::leaving;
    fleet.run(10s);
    cr_assert_eq(fleet.version, 0);
}
