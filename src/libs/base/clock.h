// Time as the decision libraries see it. Decisions receive a time_point; only
// adapters read the clock.
#pragma once

#include <chrono>
#include <functional>

namespace ebonywick {

/// CLOCK_BOOTTIME: monotonic, and it also counts while the machine is
/// suspended, so that a pause cannot hide elapsed time from a lease.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

/// Source of the current time, given to adapters through their constructor.
using now_function = std::function<time_point()>;

[[nodiscard]] constexpr double to_milliseconds(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

} // namespace ebonywick
