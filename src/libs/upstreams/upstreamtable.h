// Upstreams of each service and what each has stated about itself.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "base/randomsource.h"
#include "ratelimits/fleetshare.h"
#include "rollout/versionrule.h"
#include "upstreams/statedlimit.h"
#include "upstreams/upstream.h"
#include "upstreams/upstreamchoice.h"

#include <cstdint>
#include <deque>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace ebonywick {

/// Hash of an upstream's id and incarnation; the same on all hosts.
using lifetime_key = std::uint64_t;

/// All known upstreams. Not thread-safe.
class upstream_table
{
public:
    /// `own_host` and `own_domain` are those of this host, `seed` is that of the random choice.
    upstream_table(host_id own_host, failure_domain_id own_domain, std::uint64_t seed);

    /// Adds or updates an entry. Another incarnation, address or service under the same id
    /// discards what was observed before.
    void upsert(const upstream_entry& entry, time_point now);
    void remove(const upstream_id& id, time_point now);
    /// From now on, until the next upsert(), the upstream gets calls only if no other can
    /// take them.
    void set_lapsing(const upstream_id& id);
    void set_domains_out(const std::set<failure_domain_id>& domains);
    /// Sets the versions of `service` that may get calls.
    void set_version_rule(const service_name& service, const version_rule& rule);
    /// Calls per second that all hosts together may send to each upstream of `service` in its
    /// cold start; 0: no limit.
    void set_cold_rate(const service_name& service, double calls_per_second, time_point now);
    /// Sets the hosts that divide the limits of the fleet. Without this one, no calls to limited
    /// upstreams are sent.
    void set_sharing_hosts(sharing_hosts hosts, time_point now);
    [[nodiscard]] std::vector<upstream_id> ids() const;
    [[nodiscard]] upstream_pointer find(const upstream_id& id) const;
    [[nodiscard]] std::size_t size() const { return by_id_.size(); }
    /// Number of upstreams that state a limit.
    [[nodiscard]] std::size_t limited_count() const;
    /// Number of upstreams that have stated in a reply that they are leaving.
    [[nodiscard]] std::size_t leaving_count() const;
    /// Number of upstreams that have asked this host for a pause which has not ended.
    [[nodiscard]] std::size_t paused_count(time_point now) const;
    /// Calls started to upstreams that had stated that they are leaving.
    [[nodiscard]] std::uint64_t calls_to_leaving() const { return calls_to_leaving_; }
    /// Calls started to upstreams within a pause that they had asked for.
    [[nodiscard]] std::uint64_t calls_to_paused() const { return calls_to_paused_; }
    /// Calls started to upstreams that stated a limit at that time.
    [[nodiscard]] std::uint64_t calls_to_limited() const { return calls_to_limited_; }

    /// Chooses an upstream of `request.service` at random with a preference for lower cost. Null if
    /// none can take a call.
    [[nodiscard]] upstream_pointer choose(const choice_request& request);
    /// Estimated time that a call to the least loaded upstream of `service` waits for a slot;
    /// zero if nothing is known.
    [[nodiscard]] duration expected_wait(const service_name& service, time_point now) const;
    /// True if an upstream of `request.service` that is not excluded and not in backoff is
    /// estimated to have a free slot.
    [[nodiscard]] bool has_free_slot(const choice_request& request) const;
    [[nodiscard]] bool has_usable(const service_name& service) const;
    /// When the rate limits of its upstreams allow this host a call to `service`: `now`, later, or
    /// time_point::max() if no usable upstream gives it a part of its limit.
    [[nodiscard]] time_point next_call_at(const service_name& service, time_point now) const;
    /// All listed upstreams of `service`.
    [[nodiscard]] std::span<const upstream_pointer> of_service(const service_name& service) const;

    /// Each call_started() must be followed by one call_ended() for the same call.
    void call_started(upstream& it, time_point now);
    void call_ended(upstream& it, call_result result, call_time time, time_point now);
    void load_reported(upstream& it, reported_load load, time_point now);
    /// A reply to this or another host stated `limit` at `stated_at`. Ignored if a later statement
    /// is known.
    void limit_stated(upstream& it, stated_limit limit, time_point stated_at, time_point now);
    /// A reply has stated that `it` is leaving.
    void leaving_stated(upstream& it);
    /// A refusal has asked this host for a pause until `until`. A pause does not end earlier
    /// because another refusal asks for a shorter one.
    void pause_stated(upstream& it, time_point until);
    /// The limits that are in force and those that have ended recently, for other hosts.
    [[nodiscard]] std::vector<limit_report> limit_reports(time_point now);
    /// Lifetimes of upstreams that have stated that they are leaving, for other hosts.
    [[nodiscard]] std::vector<lifetime_key> leaving_reports(time_point now);
    /// Null if this host does not know the lifetime.
    [[nodiscard]] upstream_pointer find_lifetime(lifetime_key key) const;
    /// Name of an upstream and its incarnation among the hosts.
    [[nodiscard]] static lifetime_key key_of(const upstream_entry& entry);
    /// The same in limit reports, shortened.
    [[nodiscard]] static std::uint32_t report_key(const upstream_entry& entry);
    /// Null if this host does not know the upstream or knows another incarnation of it.
    [[nodiscard]] upstream_pointer find_reported(std::uint32_t key) const;
    /// Reports that a call to `it` takes much longer than usual, which starts a backoff.
    void call_late(upstream& it, time_point now);
    /// `remaining` is the rest of the cold start; zero ends it.
    void cold_reported(upstream& it, duration remaining, time_point now);

private:
    struct removed_upstream
    {
        upstream_pointer of;
        time_point removed_at;
    };

    struct service_state
    {
        std::vector<upstream_pointer> upstreams;
        // Moving average of the duration of calls that found a free slot; zero if unknown.
        duration run_time{};
    };

    void apply_version_rule(upstream& it) const;
    // Takes over what the same lifetime has stated before its entry was removed.
    void restore_statements(upstream& it, time_point now);
    // Remembers what `it` has stated, because its entry may return.
    void keep_statements(const upstream_pointer& it, time_point now);
    void divide_cold_rate(upstream& it, time_point now);
    void divide_limit(upstream& it, time_point now);
    void record_run_time(const upstream& it, duration elapsed);

    fleet_share share_;
    upstream_choice choice_;
    random_source random_;
    std::set<failure_domain_id> domains_out_;
    // Only rules with entries.
    std::unordered_map<service_name, version_rule> version_rules_;
    std::unordered_map<upstream_id, upstream_pointer> by_id_;
    // Upstreams of by_id_ by report_key().
    std::unordered_map<std::uint32_t, upstream_pointer> by_report_key_;
    // Same entries as by_id_.
    std::unordered_map<service_name, service_state> by_service_;
    // Upstreams without an entry that have stated something about themselves, oldest first.
    std::deque<removed_upstream> removed_;
    // Calls per second of all hosts to each cold upstream of a service; positive.
    std::unordered_map<service_name, double> cold_rates_;
    std::uint64_t calls_to_limited_ = 0;
    std::uint64_t calls_to_leaving_ = 0;
    std::uint64_t calls_to_paused_ = 0;
};

} // namespace ebonywick
