// What a host tells the others of an open roll-out.
#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace ebonywick {

/// Stages are passed in this order; the last two are alternatives and final.
enum class rollout_stage : std::uint8_t { probing, switching, completed, rolled_back };

/// Judged answers of the upstreams of one side; each count includes the later ones.
struct answer_counts
{
    std::uint32_t answers = 0;
    // Failures, or connections that broke.
    std::uint32_t failed = 0;
    // Answers whose time was judged, and those of them that were slow.
    std::uint32_t timed = 0;
    std::uint32_t slow = 0;

    answer_counts& operator+=(const answer_counts& other)
    {
        answers += other.answers;
        failed += other.failed;
        timed += other.timed;
        slow += other.slow;
        return *this;
    }
    auto operator<=>(const answer_counts&) const = default;
};

/// Answers to the requests of one route.
struct route_answers
{
    // Hash of the route's name.
    std::uint32_t route = 0;
    answer_counts target;
    answer_counts others;

    auto operator<=>(const route_answers&) const = default;
};

/// Counts since the start of the host.
struct rollout_report
{
    // See rollout_order::key.
    std::uint64_t order = 0;
    rollout_stage stage = rollout_stage::probing;
    // Since a host first saw the order.
    duration age{};
    // Sends nothing to the other versions and waits for no answer of them.
    bool clear = false;
    // Requests for the service, and calls to the target version.
    std::uint32_t requests = 0;
    std::uint32_t target_calls = 0;
    std::vector<route_answers> routes;

    auto operator<=>(const rollout_report&) const = default;
};

} // namespace ebonywick
