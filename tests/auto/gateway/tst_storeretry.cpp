// Guards the schedule of repeated calls to the store.
#include "gateway/storeretry.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

constexpr time_point begin{1000s};

// Time from the store's return after `outage` until the first call that it answers.
// Calls that were sent before get no answer.
duration noticed_after(duration outage)
{
    store_retry retry;
    time_point now = begin;
    while (now < begin + outage) {
        retry.call_started(now);
        now += retry.time_limit();
        now += retry.pause_after_failure(now);
    }
    return now - (begin + outage);
}

} // namespace

// Pattern: all hosts start while the store is silent. Failure: they wait for calls that
// were lost, long after the store has returned.
Test(store_retry, return_of_a_silent_store_is_noticed_soon)
{
    for (duration outage = 0ms; outage < 1s; outage += 10ms)
        cr_assert(noticed_after(outage) <= 700ms);
    for (duration outage = 1s; outage < 20s; outage += 10ms)
        cr_assert(noticed_after(outage) <= 1200ms);
}

// Pattern: the store answers at once with refusals. Failure: all hosts repeat their calls
// faster than it bears.
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

// Pattern: a slow store. Failure: every call is given up before its answer comes.
Test(store_retry, limit_grows_beyond_the_time_of_a_slow_store)
{
    store_retry retry;
    for (int it = 0; it < 3; ++it)
        static_cast<void>(retry.pause_after_failure(begin));
    cr_assert(retry.time_limit() >= 900ms);
    for (int it = 0; it < 100; ++it)
        static_cast<void>(retry.pause_after_failure(begin));
    cr_assert(retry.time_limit() == 1s);
}
