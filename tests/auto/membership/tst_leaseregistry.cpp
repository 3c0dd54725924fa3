// Checks that a monitor never grants a lease and a fence for the same time.
#include "membership/leaseregistry.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

const host_id subject{"a"};
const time_point start = time_point{} + 1h;

} // namespace

// Failure: lease and fence are granted for the same time.
Test(lease_registry, lease_and_fence_exclude_each_other)
{
    lease_registry monitor{start};
    cr_assert(monitor.grant_lease(subject, 1, start));
    cr_assert_not(monitor.grant_fence(subject, start + 1999ms));
    cr_assert(monitor.grant_fence(subject, start + 2000ms));
    cr_assert_not(monitor.grant_lease(subject, 1, start + 3999ms));
    // Failure: fences are renewed without end although the subject is back.
    cr_assert_not(monitor.grant_fence(subject, start + 3999ms));
    cr_assert(monitor.grant_lease(subject, 1, start + 4000ms));
}

// Failure: an incarnation gets a lease again after its release, or the release does
// not take effect at once.
Test(lease_registry, release_is_final_for_the_incarnation)
{
    lease_registry monitor{start};
    cr_assert(monitor.grant_lease(subject, 1, start));
    monitor.release(subject, 1);
    cr_assert_not(monitor.grant_lease(subject, 1, start + 10ms));
    cr_assert(monitor.grant_fence(subject, start + 10ms));
    cr_assert_not(monitor.grant_lease(subject, 2, start + 100ms));
    cr_assert(monitor.grant_lease(subject, 2, start + 2010ms));
}

// Failure: a paused incarnation and a later one hold a lease at the same time.
Test(lease_registry, later_incarnation_waits_for_the_earlier_grant)
{
    lease_registry monitor{start};
    cr_assert(monitor.grant_lease(subject, 1, start));
    monitor.release(subject, 2);
    cr_assert_not(monitor.grant_lease(subject, 3, start + 1999ms));
    cr_assert_not(monitor.grant_fence(subject, start + 1999ms));
    cr_assert(monitor.grant_lease(subject, 3, start + 2000ms));
    cr_assert_not(monitor.grant_lease(subject, 1, start + 9s));
}

// Failure: a monitor that does not know its earlier grants grants the opposite kind.
Test(lease_registry, hold_off_refuses_leases_and_fences)
{
    lease_registry monitor{start + 1s};
    cr_assert_not(monitor.grant_lease(subject, 1, start));
    cr_assert_not(monitor.grant_fence(host_id{"b"}, start));
    monitor.hold_off(subject, start + 8s);
    cr_assert_not(monitor.grant_lease(subject, 1, start + 7s));
    cr_assert_not(monitor.grant_fence(subject, start + 7s));
    cr_assert(monitor.grant_lease(subject, 1, start + 8s));
}
