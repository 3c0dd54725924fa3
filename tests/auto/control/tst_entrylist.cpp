// Checks the list of entry hosts and the phases of a graceful shutdown.
#include "control/entrylist.h"

#include <criterion/criterion.h>

#include <set>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

roster five_hosts()
{
    roster hosts;
    for (const char* name : {"a", "b", "c", "d", "e"})
        hosts.hosts.push_back(
            roster_host{host_id{name}, failure_domain_id{name}, {"10.0.0.1", 80}, {}, {}});
    return hosts;
}

} // namespace

// Failure: callers are sent to hosts that are leaving, joining or down, or to hosts in
// a failure domain that is out.
Test(entry_list, lists_serving_hosts_outside_removed_domains)
{
    configuration config;
    config.presets.push_back(preset_declaration{});
    config.presets[0].name = config.preset_in_force = preset_name{"friday"};
    config.presets[0].domains_out = {failure_domain_id{"b"}};
    const auto status = [](const host_id& host) {
        if (host == host_id{"c"})
            return host_status::leaving;
        return host == host_id{"d"} ? host_status::joining : host_status::serving;
    };
    std::set<host_id> listed;
    for (const entry_host& it : entry_hosts(five_hosts(), config, status, caller_id{"x"}))
        listed.insert(it.id);
    cr_assert_eq(listed, (std::set<host_id>{host_id{"a"}, host_id{"e"}}));
}

// Failure: all callers get the same first host.
Test(entry_list, callers_get_different_first_hosts)
{
    std::set<host_id> firsts;
    const auto status = [](const host_id&) {
        return host_status::serving;
    };
    for (int it = 0; it < 100; ++it)
        firsts.insert(
            entry_hosts(five_hosts(), {}, status, caller_id{"caller" + std::to_string(it)})
                .front()
                .id);
    cr_assert_eq(firsts.size(), 5);
}

// Failure: a host stops while callers still have it in their lists, or while requests
// or calls are in progress.
Test(drain_sequence, waits_for_cached_lists_and_work_in_progress)
{
    const time_point start = time_point{} + 1h;
    drain_sequence drain;
    cr_assert_eq(drain.advance(start, 0, 0), drain_phase::serving);
    drain.begin(start);
    drain.begin(start + 5s);
    cr_assert_eq(drain.advance(start + 8499ms, 0, 0), drain_phase::announced);
    cr_assert_eq(drain.advance(start + 8500ms, 1, 0), drain_phase::announced);
    cr_assert_eq(drain.advance(start + 8500ms, 0, 1), drain_phase::handing_over);
    cr_assert_eq(drain.advance(start + 9s, 0, 0), drain_phase::finished);
}
