// Registration of a host in the store, and the datagrams that hosts exchange.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "quarantine/crashrecord.h"
#include "rollout/rolloutreport.h"
#include "settings/declaration.h"
#include "upstreams/statedlimit.h"

#include <compare>
#include <cstdint>
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

/// Revision of the newest change of each collection of the store that a host has applied; 0 for
/// collections that it has not read in this epoch.
struct applied_revisions
{
    std::uint64_t configuration = 0;
    std::uint64_t upstreams = 0;
    std::uint64_t domains = 0;
    std::uint64_t hosts = 0;
    // Epoch of the store to which the revisions belong; it rises when the store is restored from an
    // older copy.
    std::uint64_t epoch = 0;
    std::uint64_t rollouts = 0;

    /// True if some revision is newer than the one in `other`.
    [[nodiscard]] bool is_ahead_of(const applied_revisions& other) const;
    /// Takes over the revisions that are newer.
    void merge(const applied_revisions& other);

    auto operator<=>(const applied_revisions&) const = default;
};

/// State that a host reports about itself.
struct host_heartbeat
{
    host_id id;
    incarnation_number incarnation = 0;
    bool ready = false;
    bool leaving = false;
    // Overloaded: the event loop lags, so the host should not get more requests.
    bool strained = false;
    applied_revisions applied;
    // Watches the store and is in contact with it.
    bool reads_store = false;
    // Knows changes that the store has lost.
    bool retains = false;

    auto operator<=>(const host_heartbeat&) const = default;
};

/// What the sender of a digest knows about another host.
struct digest_entry
{
    // digest_hash() of the id.
    std::uint32_t host = 0;
    // Lower half of the incarnation.
    std::uint32_t incarnation = 0;
    // Since the host's last heartbeat, in whole milliseconds.
    duration age{};
    bool ready = false;
    bool leaving = false;
    bool strained = false;
    bool reads_store = false;

    auto operator<=>(const digest_entry&) const = default;
};

/// Demand for one customer at the sender of a message.
struct customer_demand
{
    // quota_shares::key_of() the customer.
    std::uint32_t customer = 0;
    // Requests that arrived, each weighted by its age, in sixteenths.
    std::uint32_t weight = 0;

    auto operator<=>(const customer_demand&) const = default;
};

/// A datagram: always a heartbeat of the sender, and possibly what upstreams have stated, a query
/// for a digest or the digest that answers one.
struct peer_message
{
    host_heartbeat heartbeat;
    // Asks for a digest: the steady time of the sender in ns, which the answer repeats. 0 if the
    // sender does not ask.
    std::uint64_t query = 0;
    // The query that this message answers. 0 if it is not an answer; `digest` is empty then.
    std::uint64_t answered_query = 0;
    std::vector<digest_entry> digest = {};
    // Limits of upstreams that the sender knows.
    std::vector<limit_report> limits = {};
    // upstream_table::key_of() of upstreams that have stated that they are leaving.
    std::vector<std::uint64_t> leaving_upstreams = {};
    // The sender has read a change from the store that other hosts may not get by themselves.
    bool announces_change = false;
    // Steady time of a sender that reads the newest state of the store; the epoch of the clock if
    // it does not.
    time_point sent_at{};
    // Demand of customers with a quota at the sender.
    std::vector<customer_demand> customers = {};
    // Counts and verdicts of open roll-outs; some of them, in turn.
    std::vector<rollout_report> rollouts = {};
    // Requests that crash upstreams.
    quarantine_report quarantine = {};

    auto operator<=>(const peer_message&) const = default;
};

/// Short name of a host in digests. Entries also carry a part of the incarnation, so that two
/// hosts with the same hash are not mistaken for each other.
[[nodiscard]] std::uint32_t digest_hash(const host_id& id);

[[nodiscard]] std::string encode_peer_message(const peer_message& message);
/// Returns nothing if `bytes` are not a valid message.
[[nodiscard]] std::optional<peer_message> decode_peer_message(std::string_view bytes);

} // namespace ebonywick
