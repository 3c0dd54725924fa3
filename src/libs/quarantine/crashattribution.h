// Tells the end of an upstream's process from the loss of a connection, and names the calls of this
// host that ran when it ended.
#pragma once

#include "quarantine/constants.h"
#include "quarantine/crashrecord.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace ebonywick {

/// Upstreams are named by a hash of their id and incarnation. A call that is lost shows that a
/// connection has broken; only a refused connection, or another process at the address, shows that
/// the upstream has ended. An upstream that is planned to end is not to be reported. Time is passed
/// in and does not go back. Not thread-safe.
class crash_attribution
{
public:
    struct result
    {
        // Runs that have ended with the upstream.
        std::vector<crash_record> crashes;
        // Whether a connection to the upstream is to be opened, to see if it is refused.
        bool check = false;

        auto operator<=>(const result&) const = default;
    };

    /// A call was lost after it had been sent.
    [[nodiscard]] result call_lost(std::uint64_t upstream, const request_run& run, time_point now);
    /// A call was given up after it had been sent, for its deadline, its caller or another call.
    void call_abandoned(std::uint64_t upstream, const request_run& run, time_point now);
    /// The upstream has ended: a connection to it was refused, or another process has answered.
    [[nodiscard]] std::vector<crash_record> upstream_ended(std::uint64_t upstream, time_point now);
    /// The upstream has answered a call, so it has not ended. Calls that were abandoned may still
    /// run.
    void upstream_replied(std::uint64_t upstream);

    [[nodiscard]] std::size_t size() const { return suspects_.size(); }

private:
    struct ended_call
    {
        request_run run;
        time_point at;
    };
    struct suspect
    {
        // Each at most max_calls_of_upstream, oldest first; those that were abandoned are dropped
        // after abandoned_retention.
        std::vector<ended_call> lost;
        std::deque<ended_call> abandoned;
        time_point updated_at{};
        time_point checked_at{};
        // The process has ended; calls that are lost from now on ended with it.
        bool ended = false;
    };

    // The entry of the upstream; makes room by forgetting the one that was updated first.
    suspect& entry_of(std::uint64_t upstream, time_point now);

    std::map<std::uint64_t, suspect> suspects_;
};

} // namespace ebonywick
