// Registered hosts, their liveness, and the selection of the entry hosts that callers are told
// to use.
#pragma once

#include "base/clock.h"
#include "peers/hostrecord.h"
#include "peers/readerturn.h"
#include "ratelimits/fleetshare.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace ebonywick {

/// This host and all other registered hosts.
///
/// In a small fleet all hosts send heartbeats to each other. In a large one only the relays do,
/// the first hosts in a ranking by processor share that every host computes alike; each host
/// asks two of them for a digest in every interval. What a host sends and receives then does not
/// grow with the number of hosts. Entry hosts are relays. Not thread-safe.
class peer_table
{
public:
    /// `self` is the registration of this host.
    explicit peer_table(host_record self) : self_(std::move(self)) {}

    /// Sets the state of this host for the selection of entry hosts and readers.
    void set_own_state(bool ready, bool strained, bool reads_store);

    /// Adds or updates a registered host; ignored for this host.
    void upsert(const host_record& record, time_point now);
    void remove(const host_id& id);
    /// Ignored if the host is not registered or the heartbeat is of an earlier incarnation.
    void record_heartbeat(const host_heartbeat& heartbeat, time_point now);
    /// Notes the steady time at which a host has sent a message. Ignored if the host is not
    /// registered.
    void record_clock(const host_id& id, time_point sent_at, time_point now);
    /// Adds what another host knows. `round_trip` is the time since the query, which the ages do
    /// not contain. Entries of unknown hosts and entries older than the own knowledge have no
    /// effect.
    void record_digest(std::span<const digest_entry> digest, duration round_trip, time_point now);
    /// What this host knows of the relays, and of other hosts that are leaving.
    [[nodiscard]] std::vector<digest_entry> digest(time_point now) const;

    /// Selects the relays; to be called once in each heartbeat interval.
    void update_relays(time_point now);
    /// The relays other than this host. In a small fleet these are all other hosts.
    [[nodiscard]] std::vector<host_record> relays() const;
    /// Whether this host is a relay.
    [[nodiscard]] bool is_relay() const { return is_relay(self_.id); }
    /// All hosts are relays.
    [[nodiscard]] bool small_fleet() const;
    /// Heartbeat addresses of the hosts that get the heartbeats of this one. A leaving host
    /// tells all registered hosts.
    [[nodiscard]] std::vector<endpoint> heartbeat_targets(bool leaving) const;
    /// Heartbeat addresses of the hosts to which this one passes on changes that are announced to
    /// the relays: those of its failure domain that are no relays, divided among the relays of the
    /// domain, or among all if it has none. Empty in a small fleet and on hosts that are no relays.
    [[nodiscard]] std::vector<endpoint> announcement_targets() const;
    /// Time between two heartbeats of a host; longer in large fleets.
    [[nodiscard]] duration heartbeat_interval() const;

    /// Hosts that callers are told to use, possibly with this one: the strongest hosts that are
    /// alive, ready and not leaving, up to a number of cores. A few hosts with much traffic keep
    /// their connections to upstreams warm, and weak hosts are slow to merge answers.
    [[nodiscard]] std::vector<host_record> entry_hosts(time_point now);
    /// True if this host is one of the first `count` live hosts in the ranking, which is the same
    /// at all hosts.
    [[nodiscard]] bool ranks_among_first(std::size_t count, time_point now) const;
    /// Position of this host among the first `max_count` live hosts in contact with the store,
    /// which read its newest state; nothing if it is not one of them.
    [[nodiscard]] std::optional<reader_position> newest_reader_position(std::size_t max_count,
                                                                        time_point now) const;
    [[nodiscard]] bool is_newest_reader(std::size_t max_count, time_point now) const
    {
        return newest_reader_position(max_count, now).has_value();
    }
    /// True if another live host is in contact with the store.
    [[nodiscard]] bool other_readers(time_point now) const;
    /// Number of hosts among which the limits of the fleet are divided, with this one: the entry
    /// hosts and a margin for changes of their selection. At least 1.
    [[nodiscard]] std::size_t limit_divisor(time_point now);
    /// Hosts that divide the rate limits of the fleet, possibly with this one: those that callers
    /// are told to use, or were told recently. A host that has fallen silent may still send calls,
    /// so it stays among them for a while. To be called at least once in each heartbeat interval.
    [[nodiscard]] sharing_hosts calling_hosts(time_point now);
    /// Heartbeat addresses of those of `hosts` that are registered, without this one.
    [[nodiscard]] std::vector<endpoint> heartbeat_addresses(std::span<const host_id> hosts) const;
    /// Ids of all other registered hosts.
    [[nodiscard]] std::vector<host_id> ids() const;
    /// Live hosts that have applied a newer revision than `own` of some collection, those of
    /// this host's failure domain first.
    [[nodiscard]] std::vector<host_record> hosts_ahead_of(const applied_revisions& own,
                                                          time_point now) const;
    /// Live hosts that know changes which the store has lost, and have read it in this epoch.
    [[nodiscard]] std::vector<host_record> retaining_hosts(std::uint64_t epoch,
                                                           time_point now) const;
    /// Newest revision of each collection that any other host has applied in the newest epoch.
    [[nodiscard]] applied_revisions newest_applied() const;

private:
    // Another registered host.
    struct peer
    {
        host_record record;
        // Received from the host, or from a digest; the latter has no applied revisions.
        std::optional<host_heartbeat> last_heartbeat;
        time_point last_heartbeat_at{};
        // Time of the host minus that of this one, less the delay of its last message. Zero until
        // it has sent one.
        duration clock_offset{};
        time_point registered_at{};
        // Since when the host has been expected to send heartbeats as a relay; the epoch of the
        // clock if it is not.
        time_point expected_since{};
        // When the host last was an entry host, as seen from here; the epoch of the clock if never.
        time_point last_entry_at{};
    };

    [[nodiscard]] bool is_alive(const peer& it, time_point now) const;
    [[nodiscard]] bool is_relay(const host_id& id) const
    {
        return small_fleet() || relays_.contains(id);
    }
    // Accepts a heartbeat unless it belongs to an earlier incarnation.
    static void update_state(peer& of, const host_heartbeat& heartbeat, time_point heard_at);
    [[nodiscard]] duration heartbeat_timeout() const;
    // `it` is this host or one with a heartbeat.
    [[nodiscard]] bool reads_store(const host_record& it) const;
    // A host that was expected to send heartbeats and has not for the timeout.
    [[nodiscard]] bool is_silent(const peer& it, time_point now) const;
    // Sorts by processor share, strongest first; hosts of equal strength alternate between the
    // failure domains.
    static void sort_by_rank(std::vector<const host_record*>& hosts);
    // Which of the relays are ranked.
    enum class rank_filter : std::uint8_t {
        alive,
        // Alive and ready.
        ready,
        // As `ready`, and those that have just been registered and may be.
        possibly_ready,
    };
    // This host and the relays that pass `filter` in the order of the ranking.
    [[nodiscard]] std::vector<const host_record*> ranked_hosts(time_point now,
                                                               rank_filter filter) const;
    // The first hosts of `ranked`, up to a number of cores.
    [[nodiscard]] std::vector<const host_record*>
    strongest(const std::vector<const host_record*>& ranked, time_point now) const;

    host_record self_;
    bool own_ready_ = false;
    bool own_strained_ = false;
    bool own_reads_store_ = false;
    // Until then more entry hosts are selected, because most of them were overloaded.
    time_point extended_until_{};
    std::map<host_id, peer> peers_;
    // peer::last_entry_at of this host.
    time_point own_last_entry_at_{};
    // Hosts of peers_ by digest_hash().
    std::unordered_map<std::uint32_t, host_id> by_hash_;
    // As of the last update_relays(); may contain this host. Empty in a small fleet.
    std::set<host_id> relays_;
};

} // namespace ebonywick
