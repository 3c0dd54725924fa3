// Tests of the latency quantiles that hedge delays and cold-start detection use.
#include "base/latencywindow.h"

#include <criterion/criterion.h>

#include <initializer_list>

using namespace ebonywick;
using namespace std::chrono_literals;

// Failure: a quantile is off by more than a bucket, so that too many hedges are sent.
Test(latency_window, quantile_is_within_a_bucket)
{
    latency_window window{10000};
    for (int it = 1; it <= 1000; ++it)
        window.add(std::chrono::microseconds{it * 10});
    cr_assert_geq(window.quantile(0.5).count(), duration{4800us}.count());
    cr_assert_leq(window.quantile(0.5).count(), duration{5300us}.count());
}

// Failure: old samples keep their weight, so that the hedge delay does not follow a change of
// the latencies.
Test(latency_window, old_samples_decay)
{
    latency_window window{64};
    for (int it = 0; it < 64; ++it)
        window.add(100ms);
    for (int it = 0; it < 640; ++it)
        window.add(1ms);
    cr_assert_lt(window.quantile(0.9).count(), duration{2ms}.count());
}

// Failure: the quantile of a window without samples is not zero.
Test(latency_window, quantile_of_an_empty_window_is_zero)
{
    cr_assert_eq(latency_window{}.quantile(0.5).count(), 0);
}
