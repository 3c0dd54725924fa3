// Checks the invariants I1 to I10 of the design page over the records of a run:
// I1   an answer merges replies of a single index version.
// I2   the reported coverage matches the calls that completed.
// I3   a cold upstream never runs more calls at once than it is declared for.
// I4   a failure domain that is out gets no new calls.
// I5   a caller gets the answer to its own request.
// I6   a request that is reported as not run has started no call.
// I7   an order runs at most once and has one outcome for each key.
// I8   an upstream that is leaving gets no new calls.
// I9   a host that is leaving completes its requests and exits with status 0.
// I10  accepted configuration changes are stored and reach every current host.
#pragma once

#include "history/record.h"

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace ebonywick::history {

/// A violated invariant and the records that prove the violation.
struct violation
{
    std::string invariant;
    std::string message;
    // The fewest records that show the violation, sorted by time.
    std::vector<record> evidence;

    auto operator<=>(const violation&) const = default;
};

/// Time within which a removal or a new configuration must take effect (I4, I8,
/// I10), in nanoseconds.
inline constexpr timestamp max_enforcement_delay = 3'000'000'000;

/// Returns the violations of all invariants. What the same upstream, host or key violates
/// repeatedly is reported once.
[[nodiscard]] std::vector<violation> check_history(std::vector<record> records);

// The checks of each subject; `records` must be sorted by time.
using record_list = std::vector<record>;

[[nodiscard]] std::vector<violation> check_requests(const record_list& records);
[[nodiscard]] std::vector<violation> check_upstreams(const record_list& records);
[[nodiscard]] std::vector<violation> check_orders(const record_list& records);
[[nodiscard]] std::vector<violation> check_hosts(const record_list& records);

} // namespace ebonywick::history
