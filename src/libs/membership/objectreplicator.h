// Replication of the store objects between hosts: fetches a newer version from the
// peers that announce it, or else from the store.
#pragma once

#include "membership/membershipagent.h"

#include <array>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ebonywick {

/// Newest version and content of each store object. Versions never go back.
/// Not thread-safe.
class object_replicator
{
public:
    object_replicator(host_id self, std::uint64_t seed) : self_(std::move(self)), random_(seed) {}

    /// Takes in an object. Returns false if its version is not newer than the present
    /// one.
    bool adopt(object_kind kind, object_version version, const std::string& content);
    /// `from` announced this version, or confirmed it as a witness.
    void note_version(object_kind kind, object_version version, const host_id& from);
    /// Returns the fetches and store reads that are due.
    std::vector<membership_action> advance(time_point now);

    [[nodiscard]] object_version version(object_kind kind) const { return at(kind).version; }
    [[nodiscard]] const std::string& content(object_kind kind) const { return at(kind).content; }

private:
    struct slot
    {
        object_version version = 0;
        std::string content;
        // Newest version that a host has announced.
        object_version newest_seen = 0;
        // Hosts that announced `newest_seen` and have not been asked for it yet.
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
