// The clock and its types. Decision logic receives a time_point as a parameter; only adapters
// read the clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace ebonywick {

/// Clock based on CLOCK_BOOTTIME. It is monotonic and also advances while the machine is
/// suspended, so that leases expire during a suspension.
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

/// Returns the current time. Passed to the constructors of adapters, so that tests can replace
/// the clock.
using now_function = std::function<time_point()>;

/// The duration in milliseconds, not rounded.
[[nodiscard]] constexpr double to_milliseconds(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

/// The duration, which must not be negative, in milliseconds, rounded down.
[[nodiscard]] constexpr std::uint64_t whole_milliseconds(duration d)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

} // namespace ebonywick
