// Tests of the attribution of upstreams' ends to calls.
#include "quarantine/crashattribution.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};

request_run run(std::uint32_t number)
{
    return {{number, 1000 + number}, number, 7};
}

} // namespace

// Guards against a broken connection that counts as a crash although the upstream lives: it has
// lost a reply, or closed an idle connection.
Test(crash_attribution, lost_connection_is_no_crash)
{
    crash_attribution it;
    const auto lost = it.call_lost(1, run(1), start);
    cr_assert(lost.check && lost.crashes.empty());
    it.upstream_replied(1);
    cr_assert(it.upstream_ended(1, start + 1s).empty());
    // Another upstream has ended.
    cr_assert(it.call_lost(1, run(2), start + 2s).check);
    cr_assert(it.upstream_ended(2, start + 2s).empty());
}

// Guards against calls that are forgotten because they are read after the refused connection.
Test(crash_attribution, all_calls_of_the_upstream_are_named)
{
    crash_attribution it;
    (void)it.call_lost(1, run(1), start);
    (void)it.call_lost(1, run(2), start + 1ms);
    const auto first = it.upstream_ended(1, start + 2ms);
    cr_assert_eq(first.size(), 2);
    cr_assert(first[0].at == start && first[1].at == start);
    const auto late = it.call_lost(1, run(3), start + 3ms);
    cr_assert_eq(late.crashes.size(), 1);
    cr_assert(late.crashes[0].run == run(3) && !late.check);
    // The end is told once.
    cr_assert(it.upstream_ended(1, start + 4ms).empty());
}

// Guards against a caller that leaves before the crash, whose request is never put in connection
// with it, and against one that has left long before.
Test(crash_attribution, calls_abandoned_shortly_before_are_named)
{
    crash_attribution it;
    it.call_abandoned(1, run(1), start);
    it.call_abandoned(1, run(2), start + 1500ms);
    (void)it.call_lost(1, run(3), start + 2s);
    // A reply shows that the upstream lives, but not what the abandoned call does.
    it.upstream_replied(1);
    (void)it.call_lost(1, run(4), start + 2100ms);
    const auto named = it.upstream_ended(1, start + 2101ms);
    cr_assert_eq(named.size(), 2);
    cr_assert(named[0].run == run(2) && named[1].run == run(4));
}

// Guards against a connection for each lost call, and against losses that grow without limit.
Test(crash_attribution, checks_and_memory_are_bounded)
{
    crash_attribution it;
    int checks = 0;
    for (std::uint32_t n = 0; n < 10'000; ++n) {
        checks += it.call_lost(n % 500, run(n), start + n * 1us).check;
        it.call_abandoned(n % 500, run(n), start + n * 1us);
    }
    // An upstream is forgotten before its next call, so that each call is checked.
    cr_assert_eq(checks, 10'000);
    cr_assert_leq(it.size(), quarantine_constants::max_suspicious_upstreams);
    for (std::uint32_t n = 0; n < 1000; ++n)
        (void)it.call_lost(1, run(n), start + 1s + n * 1us);
    cr_assert_leq(it.upstream_ended(1, start + 2s).size(),
                  2 * quarantine_constants::max_calls_of_upstream);
    int again = 0;
    for (std::uint32_t n = 0; n < 1000; ++n)
        again += it.call_lost(2, run(n), start + 3s + n * 1us).check;
    cr_assert_eq(again, 1);
}

// Guards against a loss that is put down to the upstream's end much later.
Test(crash_attribution, old_losses_are_no_part_of_a_crash)
{
    crash_attribution it;
    (void)it.call_lost(1, run(1), start);
    cr_assert(it.upstream_ended(1, start + 11s).empty());
}
