// Registered hosts, their liveness, and the selection of the entry hosts that callers are told
// to use.
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

/// Registration of a host in the store.
struct host_record
{
    host_id id;
    // Increases with each start of the process.
    incarnation_number incarnation = 0;
    // Where the host accepts requests of callers.
    endpoint callers;
    // Where it receives heartbeats.
    endpoint heartbeats;
    // Where other hosts read its state.
    endpoint control;
    failure_domain_id domain;
    // Processor cores available to the host; may be fractional.
    double processor_share = 1.0;

    auto operator<=>(const host_record&) const = default;
};

/// Returns the JSON text of a record, without its id.
[[nodiscard]] std::string encode_host_record(const host_record& record);
/// Returns nothing if `content` is not a valid record. `name` becomes the id.
[[nodiscard]] std::optional<host_record> decode_host_record(const std::string& name,
                                                            std::string_view content);

/// Newest revision of each collection of the store that a host has applied.
struct applied_revisions
{
    std::uint64_t configuration = 0;
    std::uint64_t upstreams = 0;
    std::uint64_t domains = 0;

    auto operator<=>(const applied_revisions&) const = default;
};

/// State that a host sends to all other hosts in each heartbeat interval.
struct host_heartbeat
{
    host_id id;
    incarnation_number incarnation = 0;
    bool ready = false;
    bool leaving = false;
    // Overloaded: the event loop lags, so the host should not get more requests.
    bool strained = false;
    applied_revisions applied;

    auto operator<=>(const host_heartbeat&) const = default;
};

[[nodiscard]] std::string encode_heartbeat(const host_heartbeat& heartbeat);
/// Returns nothing if `bytes` are not a valid heartbeat.
[[nodiscard]] std::optional<host_heartbeat> decode_heartbeat(std::string_view bytes);

/// This host and all other registered hosts. Not thread-safe.
class peer_table
{
public:
    /// `self` is the registration of this host.
    explicit peer_table(host_record self) : self_(std::move(self)) {}

    /// Sets the state of this host for the selection of entry hosts.
    void set_own_state(bool ready, bool strained);

    /// Adds or updates a registered host; ignored for this host.
    void upsert(const host_record& record, time_point now);
    void remove(const host_id& id);
    /// Ignored if the host is not registered or the heartbeat is of an earlier incarnation.
    void record_heartbeat(const host_heartbeat& heartbeat, time_point now);

    /// Heartbeat addresses of all other registered hosts.
    [[nodiscard]] std::vector<endpoint> heartbeat_targets() const;
    /// Time between two heartbeats of a host. It is longer in large fleets, because each host
    /// sends to all others.
    [[nodiscard]] duration heartbeat_interval() const;

    /// Hosts that callers are told to use, possibly with this one: the strongest hosts that are
    /// alive, ready and not leaving, up to a number of cores. A few hosts with much traffic keep
    /// their connections to upstreams warm, and weak hosts are slow to merge answers.
    [[nodiscard]] std::vector<host_record> entry_hosts(time_point now);
    /// True if this host is one of the first `count` live hosts in the ranking, which is the same
    /// at all hosts.
    [[nodiscard]] bool ranks_among_first(std::size_t count, time_point now) const;
    /// Number of hosts among which the limits of the fleet are divided, with this one: the entry
    /// hosts and a margin for changes of their selection. At least 1.
    [[nodiscard]] std::size_t limit_divisor(time_point now);
    /// Ids of all other registered hosts.
    [[nodiscard]] std::vector<host_id> ids() const;
    /// Control addresses of live hosts that have applied a newer revision than `own` of some
    /// collection.
    [[nodiscard]] std::vector<endpoint> hosts_ahead_of(const applied_revisions& own,
                                                       time_point now) const;
    /// Newest revision of each collection that any other host has applied.
    [[nodiscard]] applied_revisions newest_applied() const;

private:
    // Another registered host.
    struct peer
    {
        host_record record;
        std::optional<host_heartbeat> last_heartbeat;
        time_point last_heartbeat_at{};
        time_point registered_at{};
    };

    [[nodiscard]] bool is_alive(const peer& it, time_point now) const;
    // This host and all live ones, strongest first; hosts of equal strength alternate between
    // the failure domains.
    [[nodiscard]] std::vector<const host_record*> ranked_hosts(time_point now,
                                                               bool ready_only) const;

    host_record self_;
    bool own_ready_ = false;
    bool own_strained_ = false;
    // Until then more entry hosts are selected, because most of them were overloaded.
    time_point extended_until_{};
    std::map<host_id, peer> peers_;
};

} // namespace ebonywick
