// Runs the membership agents of a whole fleet in one process to measure their cost.
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

/// Processor time and traffic of all agents since the last reset.
struct control_statistics
{
    double agent_cpu_s = 0;
    std::size_t messages = 0;
    std::size_t bytes = 0;
    std::size_t heartbeats = 0;
    std::size_t replies = 0;
    std::size_t fence_messages = 0;
    std::size_t tokens = 0;
    /// Member updates in heartbeats and replies about the sender itself.
    std::size_t own_updates = 0;
    /// Member updates in heartbeats and replies about other hosts.
    std::size_t other_updates = 0;
    /// Updates in heartbeats beyond the sender's own state, which are still being spread.
    std::size_t gossip_updates = 0;
};

/// Every host is a real membership agent; time is simulated. Time advances in steps, and a
/// message arrives in the step after the one in which it was sent.
class control_fleet
{
public:
    explicit control_fleet(std::size_t hosts);

    /// Creates the agents and gives them the configuration and the roster.
    void start();
    /// Advances the simulated time by `length`.
    void run(duration length);
    /// True if every host knows that all hosts serve, every upstream has exactly one holder,
    /// and no fence messages or gossip updates were sent since the last reset_statistics().
    [[nodiscard]] bool settled() const;
    /// Mean processor time in milliseconds in which an agent adopts a new version of the
    /// object. Don't run the fleet afterwards: only some agents have the new version, and
    /// the messages that they sent are lost.
    [[nodiscard]] double measure_adoption_ms(object_kind kind);

    [[nodiscard]] const control_statistics& statistics() const { return statistics_; }
    /// Whether run() encodes the messages to count their bytes; off by default.
    void count_bytes(bool on) { counts_bytes_ = on; }
    void reset_statistics() { statistics_ = {}; }

private:
    struct delivery
    {
        std::size_t to = 0;
        control_message message;
    };

    void step();
    void queue_messages(std::size_t from, std::vector<membership_action> actions);
    void count_message(std::size_t from, const control_message& message);
    [[nodiscard]] object_received make_roster(object_version version, std::size_t first_host) const;
    [[nodiscard]] object_received make_config(object_version version) const;

    std::size_t host_count_;
    time_point now_;
    std::uint64_t steps_ = 0;
    std::vector<host_id> ids_;
    std::unordered_map<host_id, std::size_t> host_index_;
    std::vector<upstream_id> upstreams_;
    std::vector<std::unique_ptr<membership_agent>> agents_;
    std::vector<delivery> delivered_;
    std::vector<delivery> sent_;
    control_statistics statistics_;
    bool counts_bytes_ = false;
};

/// Processor time of the calling thread, in seconds.
[[nodiscard]] double thread_cpu_s();

} // namespace ebonywick
