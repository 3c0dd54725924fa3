// Implements boot_clock with CLOCK_BOOTTIME.
#include "base/clock.h"

#include <ctime>

namespace ebonywick {

boot_clock::time_point boot_clock::now() noexcept
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point{std::chrono::seconds{ts.tv_sec} + std::chrono::nanoseconds{ts.tv_nsec}};
}

} // namespace ebonywick
