// Tests the timeouts and pauses of repeated calls to the store.
#include "gateway/storeretry.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

constexpr time_point begin{1000s};

// Time from the end of an outage until the next call starts. Calls that were sent during the
// outage get no reply.
duration delay_after_outage(duration outage)
{
    store_retry retry;
    time_point now = begin;
    while (now < begin + outage) {
        retry.call_started(now);
        now += retry.call_timeout();
        now += retry.pause_after_failure(now);
    }
    return now - (begin + outage);
}

} // namespace

// The store does not respond when hosts start. Failure: after the outage they wait long for
// replies to calls that were lost.
Test(store_retry, calls_resume_soon_after_an_outage)
{
    for (duration outage = 0ms; outage < 1s; outage += 10ms)
        cr_assert(delay_after_outage(outage) <= 700ms);
    for (duration outage = 1s; outage < 20s; outage += 10ms)
        cr_assert(delay_after_outage(outage) <= 1200ms);
}

// The store refuses calls at once. Failure: hosts repeat their calls so fast that they overload
// it.
Test(store_retry, quick_failures_are_followed_by_growing_pauses)
{
    store_retry retry;
    time_point now = begin;
    int calls = 0;
    while (now < begin + 6s) {
        retry.call_started(now);
        ++calls;
        now += 2ms;
        now += retry.pause_after_failure(now);
    }
    cr_assert(calls <= 13);
    retry.succeeded();
    cr_assert(retry.pause_after_failure(now) == 100ms);
}

// The store is slow. Failure: every call times out before its reply arrives.
Test(store_retry, timeout_grows_beyond_the_latency_of_a_slow_store)
{
    store_retry retry;
    for (int it = 0; it < 3; ++it)
        static_cast<void>(retry.pause_after_failure(begin));
    cr_assert(retry.call_timeout() >= 900ms);
    for (int it = 0; it < 100; ++it)
        static_cast<void>(retry.pause_after_failure(begin));
    cr_assert(retry.call_timeout() == 1s);
}
