// Tests of a gateway whose upstreams state in their replies that they are leaving, while the store
// still lists them as ready.
#include "gatewayfixture.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

// Time after the first such reply from which the platform expects no further request.
constexpr duration notice = 3s;

// Sends queries for `span`, one after another. Returns how many were answered with success.
std::size_t query_for(gateway_fixture& f, duration span, const std::string& prefix)
{
    std::size_t out = 0;
    const time_point end = boot_clock::now() + span;
    for (int it = 0; boot_clock::now() < end; ++it)
        out += f.query(prefix + std::to_string(it)).status == 200 ? 1 : 0;
    return out;
}

std::size_t arrivals_since(const standin::platform_upstream& of, time_point since)
{
    const auto& all = of.arrivals();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](time_point it) { return it >= since; }));
}

} // namespace

// Guards against requests to an upstream that has said in its replies that it leaves, while its
// entry still says ready.
Test(leaving_upstream, gets_no_requests_after_it_has_said_so)
{
    gateway_fixture f{1};
    f.start_ready();
    cr_assert_gt(query_for(f, 500ms, "a"), 0);
    f.upstreams[0]->state_leaving(true);
    const time_point stated = boot_clock::now();
    cr_assert_gt(query_for(f, notice + 1s, "b"), 0);
    cr_assert_eq(arrivals_since(*f.upstreams[0], stated + notice), 0);
    cr_assert_gt(arrivals_since(*f.upstreams[1], stated + notice), 0);
}
