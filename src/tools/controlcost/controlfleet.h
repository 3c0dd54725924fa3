// A fleet of membership agents in one process, for measuring their cost.
#pragma once

#include "membership/membershipagent.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ebonywick {

/// Work and traffic of all agents together over some simulated time.
struct control_figures
{
    double agent_cpu_s = 0;
    std::size_t messages = 0;
    std::size_t bytes = 0;
    std::size_t heartbeats = 0;
    std::size_t replies = 0;
    std::size_t fence_messages = 0;
    std::size_t tokens = 0;
    /// Member updates: the sender's own state, and all others.
    std::size_t own_updates = 0;
    std::size_t other_updates = 0;
    /// Updates about other hosts in heartbeats, which still spread.
    std::size_t news = 0;
};

/// Every host is a real agent. Time advances in steps; a message arrives with
/// the step after the one in which it was sent.
class control_fleet
{
public:
    explicit control_fleet(std::size_t hosts);

    /// Creates the agents and gives them configuration and roster.
    void start();
    void run(duration length);
    /// Every host knows that all serve, every upstream has one holder, and since the
    /// last `reset_figures` no host asked for a fence or sent news.
    [[nodiscard]] bool settled() const;
    /// Mean processor time for one agent to take a new version in, in
    /// milliseconds. The agents do not work together afterwards.
    [[nodiscard]] double adoption_ms(object_kind kind);

    [[nodiscard]] const control_figures& figures() const { return figures_; }
    /// Figures of `run` only count the bytes of messages if this is set.
    void measure_bytes(bool on) { measures_bytes_ = on; }
    void reset_figures() { figures_ = {}; }

private:
    struct delivery
    {
        std::size_t to = 0;
        control_message message;
    };

    void step();
    void collect(std::size_t from, std::vector<membership_action> actions);
    void count(std::size_t from, const control_message& message);
    [[nodiscard]] object_received roster_value(object_version version,
                                               std::size_t first_host) const;
    [[nodiscard]] object_received config_value(object_version version) const;

    std::size_t size_;
    time_point now_;
    std::uint64_t steps_ = 0;
    std::vector<host_id> ids_;
    std::unordered_map<host_id, std::size_t> index_;
    std::vector<upstream_id> upstreams_;
    std::vector<std::unique_ptr<membership_agent>> agents_;
    std::vector<delivery> arriving_;
    std::vector<delivery> sent_;
    control_figures figures_;
    bool measures_bytes_ = false;
};

/// Processor time of the calling thread, in seconds.
[[nodiscard]] double thread_cpu_s();

} // namespace ebonywick
