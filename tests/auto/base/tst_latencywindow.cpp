// Guards the latency quantiles that hedge delays and cold-start detection use.
#include "base/latencywindow.h"

#include <criterion/criterion.h>

#include <initializer_list>

using namespace ebonywick;
using namespace std::chrono_literals;

// Failure: a quantile that is off by more than a bucket hedges too often.
Test(latency_window, quantile_is_within_a_bucket)
{
    latency_window window{10000};
    for (int it = 1; it <= 1000; ++it)
        window.add(std::chrono::microseconds{it * 10});
    cr_assert_geq(window.quantile(0.5).count(), duration{4800us}.count());
    cr_assert_leq(window.quantile(0.5).count(), duration{5300us}.count());
}

// Failure: old samples that never fade keep a former hedge delay for ever.
Test(latency_window, old_samples_fade)
{
    latency_window window{64};
    for (int it = 0; it < 64; ++it)
        window.add(100ms);
    for (int it = 0; it < 640; ++it)
        window.add(1ms);
    cr_assert_lt(window.quantile(0.9).count(), duration{2ms}.count());
}

Test(latency_window, empty_window_has_no_quantile)
{
    cr_assert_eq(latency_window{}.quantile(0.5).count(), 0);
}
