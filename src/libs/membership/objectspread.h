// Spread of the store objects between hosts: newest known versions, and where a
// newer one can be had.
#pragma once

#include "membership/membershipagent.h"

#include <array>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ebonywick {

/// Versions never go back. Not thread-safe.
class object_spread
{
public:
    object_spread(host_id self, std::uint64_t seed) : self_(std::move(self)), random_(seed) {}

    /// Returns true if the version is newer than the known one.
    bool learn(object_kind kind, object_version version, const std::string& content);
    /// `from` has, or as a witness knows of, this version.
    void note_seen(object_kind kind, object_version version, const host_id& from);
    /// Fetches and store reads that are due.
    std::vector<membership_action> advance(time_point now);

    [[nodiscard]] object_version version(object_kind kind) const { return at(kind).version; }
    [[nodiscard]] const std::string& content(object_kind kind) const { return at(kind).content; }

private:
    struct slot
    {
        object_version version = 0;
        std::string content;
        // Newest version that another host has shown.
        object_version wanted = 0;
        // Hosts that showed `wanted` and were not asked yet.
        std::vector<host_id> sources;
        std::optional<time_point> fetch_sent;
        unsigned fetches = 0;
        time_point next_read{};
        duration read_interval = std::chrono::milliseconds{500};
    };

    [[nodiscard]] const slot& at(object_kind kind) const
    {
        return slots_[kind == object_kind::config ? 0 : 1];
    }
    slot& at(object_kind kind) { return slots_[kind == object_kind::config ? 0 : 1]; }

    host_id self_;
    random_source random_;
    std::array<slot, 2> slots_;
};

} // namespace ebonywick
