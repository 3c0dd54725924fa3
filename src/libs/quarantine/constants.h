// Constants of the quarantine of requests that crash upstreams.
#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace ebonywick::quarantine_constants {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Crashes that are put down to a request before it is rejected. Each is of another attempt of the
// caller, another upstream and another moment. One crash proves nothing, since all requests that
// run on an upstream end with it; a retry often meets a second one.
inline constexpr std::size_t max_crashes = 3;
// The same for all requests of a customer to one resource, whose bodies or queries differ. More,
// because they have less in common.
inline constexpr std::size_t max_resource_crashes = 6;
// Crashes this close to each other count as one moment: processes that end together have a common
// cause, such as a failure domain or a faulty release.
inline constexpr duration same_moment = milliseconds{250};
// From this number of crashes on, a request is neither hedged nor repeated at another upstream.
inline constexpr std::size_t careful_from_crashes = 2;

// First rejection of a request; each further one lasts longer by the factor, because the request
// that ended it has crashed another upstream.
inline constexpr duration first_block = seconds{10};
inline constexpr std::int64_t block_growth = 12;
inline constexpr duration max_block = hours{24};
// After the end of a block one host tries the request, and if no request comes to it, the next host
// after this time, and so on.
inline constexpr duration trial_spacing = seconds{5};
// Retry-After while a trial runs at some host.
inline constexpr duration trial_retry_after = seconds{1};

// Time for which crashes, and releases after a reply, are remembered.
inline constexpr duration crash_retention = minutes{10};
// Requests that are remembered, and releases. Those with the fewest crashes are forgotten first.
inline constexpr std::size_t max_records = 2048;
inline constexpr std::size_t max_releases = 256;
// Upstreams that are remembered of a record.
inline constexpr std::size_t max_upstreams = 16;

// Time for which each message repeats what is new, since datagrams may be lost, and how much of
// each kind fits into one.
inline constexpr duration repeat_time = seconds{3};
inline constexpr std::size_t max_told = 32;
// Older blocks in each message, in turn, for hosts that have just started or were cut off. These
// hear many hosts, each of which begins elsewhere.
inline constexpr std::size_t old_blocks_told = 4;

// A refused connection shows that the loss of a call within this time before it was a crash.
inline constexpr duration loss_retention = seconds{10};
// A call that was abandoned this short before a crash may have caused it: the upstream may have
// begun to run it, and may not stop when its connection closes. Hosts of a large fleet open missing
// connections once a second, by which they see that it has ended.
inline constexpr duration abandoned_retention = milliseconds{1500};
// Upstreams with lost calls, and calls of each of them, that are remembered.
inline constexpr std::size_t max_suspicious_upstreams = 256;
inline constexpr std::size_t max_calls_of_upstream = 64;
// An upstream that loses calls is checked at most this often.
inline constexpr duration check_interval = milliseconds{100};

} // namespace ebonywick::quarantine_constants
