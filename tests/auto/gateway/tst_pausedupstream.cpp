// Tests of a gateway whose upstreams refuse requests and ask for a pause.
#include "gatewayfixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace ebonywick;

namespace {

// Requests that the platform tolerates between this time after the first refusal and the end of the
// pause.
constexpr duration notice = 500ms;
constexpr std::size_t tolerated = 2;

std::size_t arrivals_between(const standin::platform_upstream& of, time_point from, time_point to)
{
    const auto& all = of.arrivals();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [&](time_point it) { return it >= from && it < to; }));
}

} // namespace

// Guards against requests to an upstream that has refused one and asked for a pause, and against an
// upstream that is not used again after it.
Test(paused_upstream, gets_no_requests_until_the_end_of_the_pause)
{
    for (const char* pause : {"6", "1.5"}) {
        gateway_fixture f{1};
        f.start_ready();
        const time_point begin = boot_clock::now();
        const auto span =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::stod(pause)));
        f.upstreams[0]->refuse_until(begin + span, pause);
        for (int it = 0; boot_clock::now() < begin + span + 1500ms; ++it) {
            cr_assert_eq(f.query("a" + std::to_string(it)).status, 200);
            f.run(5ms);
        }
        const auto& refused = f.upstreams[0]->arrivals();
        cr_assert(!refused.empty());
        cr_assert_leq(
            arrivals_between(*f.upstreams[0], refused.front() + notice, refused.front() + span),
            tolerated, "%s", pause);
        cr_assert_gt(arrivals_between(*f.upstreams[0], refused.front() + span, time_point::max()),
                     0, "%s", pause);
    }
}

// Both upstreams ask for a pause. Guards against requests that wait for its end, are sent
// nevertheless, or are rejected without saying that they have not run.
Test(paused_upstream, requests_are_rejected_at_once_if_all_are_paused)
{
    gateway_fixture f{1};
    f.start_ready();
    const time_point begin = boot_clock::now();
    for (std::size_t it = 0; it < 2; ++it)
        f.order_upstream(it).refuse_until(begin + 30s, "30");
    cr_assert_eq(f.order("o1").status, 503);
    cr_assert_eq(f.runs_of("o1"), 0);
    f.run(600ms);
    const time_point before = boot_clock::now();
    const auto answer = f.order("o2");
    cr_assert(answer.status == 503 && boot_clock::now() - before < 200ms);
    cr_assert(!answer.field("Retry-After").empty());
    cr_assert_eq(f.order_upstream(0).arrivals().size() + f.order_upstream(1).arrivals().size(), 2);
}
