// The entry hosts of the system: who is registered, who lives, and which of them callers
// are told to use.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "settings/declaration.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonywick {

/// What a host registers about itself in the store.
struct host_record
{
    host_id id;
    // Later for each start of the process.
    incarnation_number incarnation = 0;
    endpoint callers;
    endpoint heartbeats;
    // Where other hosts read the state of this one.
    endpoint control;
    failure_domain_id domain;
    // Cores that the host has, a fraction as a rule.
    double processor_share = 1.0;

    auto operator<=>(const host_record&) const = default;
};

/// JSON text of a record, without its id.
[[nodiscard]] std::string encode_host_record(const host_record& record);
/// Empty if the text is not a record.
[[nodiscard]] std::optional<host_record> decode_host_record(const std::string& name,
                                                            std::string_view content);

/// The newest changes that a host has applied, as revisions of the store.
struct applied_revisions
{
    std::uint64_t configuration = 0;
    std::uint64_t upstreams = 0;
    std::uint64_t domains = 0;

    auto operator<=>(const applied_revisions&) const = default;
};

/// What a host tells the others about itself several times a second.
struct host_heartbeat
{
    host_id id;
    incarnation_number incarnation = 0;
    bool ready = false;
    bool leaving = false;
    // The event loop is late, so the host should not get more requests.
    bool strained = false;
    // What the host has applied.
    applied_revisions applied;

    auto operator<=>(const host_heartbeat&) const = default;
};

[[nodiscard]] std::string encode_heartbeat(const host_heartbeat& beat);
[[nodiscard]] std::optional<host_heartbeat> decode_heartbeat(std::string_view bytes);

/// Not thread-safe.
class peer_table
{
public:
    /// `self` is what this host registers.
    explicit peer_table(host_record self) : self_(std::move(self)) {}

    /// State of this host for the choice of entry hosts.
    void set_own_state(bool ready, bool strained);

    /// Adds or replaces a registered host.
    void upsert(const host_record& record, time_point now);
    void remove(const host_id& id);
    void record_heartbeat(const host_heartbeat& beat, time_point now);

    /// Addresses for heartbeats of all registered hosts but this one.
    [[nodiscard]] std::vector<endpoint> heartbeat_targets() const;
    /// Time between two heartbeats of a host; longer in large fleets, where each host
    /// sends to all others.
    [[nodiscard]] duration heartbeat_interval() const;

    /// Hosts that callers are told to use, this one among them: the strongest ones that
    /// live, are ready and do not leave, as many as the load needs. Few hosts with much
    /// traffic keep their connections to upstreams warm; weak hosts merge slowly.
    [[nodiscard]] std::vector<host_record> entry_hosts(time_point now);
    /// This host is among the first `count` living hosts in the order that all hosts
    /// share.
    [[nodiscard]] bool ranks_among_first(std::size_t count, time_point now) const;
    /// Hosts among which limits of the fleet are divided, with this one: the entry hosts,
    /// and a margin for those that were or will be.
    [[nodiscard]] std::size_t limit_divisor(time_point now);
    [[nodiscard]] std::vector<host_id> ids() const;
    /// Control addresses of living hosts that have applied newer changes than `own`.
    [[nodiscard]] std::vector<endpoint> hosts_ahead_of(const applied_revisions& own,
                                                       time_point now) const;
    /// Newest changes that any other host has applied.
    [[nodiscard]] applied_revisions newest_applied() const;

private:
    struct peer
    {
        host_record record;
        std::optional<host_heartbeat> last;
        time_point last_at{};
        time_point registered_at{};
    };

    [[nodiscard]] bool lives(const peer& it, time_point now) const;
    // Living hosts and this one, strongest first, failure domains in turn.
    [[nodiscard]] std::vector<const host_record*> ordered(time_point now, bool ready_only) const;

    host_record self_;
    bool own_ready_ = false;
    bool own_strained_ = false;
    // More hosts are named than an ordinary load needs, until then.
    time_point widened_until_{};
    std::map<host_id, peer> peers_;
};

} // namespace ebonywick
