// Upstreams of each service, the load, latency and failures that this host has observed of
// them, and load balancing among them.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "base/randomsource.h"
#include "rollout/versionrule.h"
#include "settings/declaration.h"
#include "upstreams/fleetshare.h"
#include "upstreams/statedlimit.h"
#include "upstreams/tokenbucket.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <compare>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace ebonywick {

/// Registration of an upstream.
struct upstream_entry
{
    upstream_id id;
    service_name service;
    endpoint address;
    failure_domain_id domain;
    // Calls that the upstream runs at once.
    std::uint32_t slots = 1;
    bool leaving = false;
    // Rest of the cold start at the time of the entry; zero: warm.
    duration cold_remaining{};
    // Changes when the upstream restarts under the same id.
    std::uint64_t incarnation = 0;
    // Of its software; empty if it does not state one.
    std::string version = {};

    auto operator<=>(const upstream_entry&) const = default;
};

/// Load that an upstream reports with a reply, in calls.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    auto operator<=>(const reported_load&) const = default;
};

/// How a call ended, as far as it matters to load balancing.
enum class call_result : std::uint8_t {
    replied,
    // The upstream ran the call and replied with a failure.
    failed,
    // The upstream refused the call because its queue is full.
    shed,
    // Nothing listens at the address, or another process does.
    unreachable,
    // The connection broke or carried an invalid reply.
    lost,
    // This host stopped waiting.
    cancelled,
};

/// Duration of a call.
struct call_time
{
    duration elapsed{};
    // Ratio of `elapsed` to the median duration of the calls of the same route.
    double relative = 1.0;

    auto operator<=>(const call_time&) const = default;
};

/// State of one upstream. Shared by the table and the calls in progress, which may outlive the
/// entry in the table.
class upstream : public boost::intrusive_ref_counter<upstream, boost::thread_unsafe_counter>
{
public:
    explicit upstream(upstream_entry entry) : entry_(std::move(entry)) {}

    [[nodiscard]] const upstream_entry& entry() const { return entry_; }
    /// False after the entry was removed, or replaced after a restart of the upstream.
    [[nodiscard]] bool listed() const { return listed_; }
    /// May get calls at all.
    [[nodiscard]] bool usable() const
    {
        return listed_ && !entry_.leaving && !stated_leaving_ && !domain_out_ && !version_out_;
    }
    /// May get calls now.
    [[nodiscard]] bool accepts_calls(time_point now) const
    {
        return usable() && paused_until_ <= now;
    }
    /// The registration has disappeared and may come back soon.
    [[nodiscard]] bool lapsing() const { return lapsing_; }
    /// Gets calls only as trials of its version.
    [[nodiscard]] bool on_trial() const { return on_trial_; }
    /// Neither cold nor known to this host for a moment only, so that its times show its version.
    [[nodiscard]] bool warm(time_point now) const
    {
        return now >= cold_until_ && now - listed_since_ >= warm_up_time;
    }
    /// Calls of this host in progress.
    [[nodiscard]] std::uint32_t calls() const { return calls_; }
    /// What the upstream stated last.
    [[nodiscard]] const stated_limit& limit() const { return limit_; }
    /// A reply has stated that the upstream is leaving. Holds until the end of its lifetime,
    /// whatever its entry says.
    [[nodiscard]] bool stated_leaving() const { return stated_leaving_; }
    /// A refusal has asked this host for a pause until then.
    [[nodiscard]] time_point paused_until() const { return paused_until_; }

private:
    friend class upstream_table;

    // Upstreams are slow for some seconds after their start.
    static constexpr duration warm_up_time = std::chrono::seconds{3};

    upstream_entry entry_;
    bool listed_ = true;
    bool lapsing_ = false;
    bool domain_out_ = false;
    // See version_rule.
    bool version_out_ = false;
    bool on_trial_ = false;
    time_point listed_since_{};
    // Calls of this host in progress.
    std::uint32_t calls_ = 0;
    // Moving average of call_time::relative, as of relative_latency_at_.
    double relative_latency_ = 1.0;
    time_point relative_latency_at_{};
    // Moving average of the calls without a usable reply, 0 to 1, as of failure_ratio_at_.
    double failure_ratio_ = 0.0;
    time_point failure_ratio_at_{};
    reported_load last_load_report_;
    time_point load_reported_at_{};
    // calls_ at load_reported_at_.
    std::uint32_t calls_at_load_report_ = 0;
    // Moving average of the reported calls, running and waiting, as of load_reported_at_.
    double average_load_ = 0.0;
    // Until then the upstream is in backoff: it gets calls only if no other can take them.
    time_point backoff_until_{};
    // Failed and late calls since the last successful reply.
    std::uint32_t consecutive_failures_ = 0;
    bool stated_leaving_ = false;
    time_point paused_until_{};
    // As of limit_stated_at_.
    stated_limit limit_;
    time_point limit_stated_at_{};
    // When the last limit ended; the epoch of the clock if there was none.
    time_point limit_ended_at_{};
    // This host's part of limit_; not used while there is none.
    token_bucket limit_tokens_;
    time_point cold_until_{};
    // This host's part of the calls during a cold start. It holds at most one token, so that the
    // hosts together send no burst.
    token_bucket cold_tokens_;
};

using upstream_pointer = boost::intrusive_ptr<upstream>;

/// Which upstreams of a service a call may go to.
enum class version_choice : std::uint8_t {
    // All but those on trial.
    regular,
    // Those on trial.
    trial,
};

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

    /// Chooses an upstream of `service` that is not in `excluded`, at random with a preference
    /// for lower cost. Null if none can take a call. `excluded` is empty for the first call of a
    /// request.
    [[nodiscard]] upstream_pointer choose(const service_name& service,
                                          std::span<const upstream_pointer> excluded,
                                          time_point now,
                                          version_choice versions = version_choice::regular);
    /// Estimated time that a call to the least loaded upstream of `service` waits for a slot;
    /// zero if nothing is known.
    [[nodiscard]] duration expected_wait(const service_name& service, time_point now) const;
    /// True if an upstream of `service` that is not in `excluded` and not in backoff is
    /// estimated to have a free slot.
    [[nodiscard]] bool has_free_slot(const service_name& service,
                                     std::span<const upstream_pointer> excluded,
                                     time_point now) const;
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
    // Moving average of the relative latency, decayed towards 1.
    [[nodiscard]] static double decayed_relative_latency(const upstream& it, time_point now);
    // Moving average of the reported load, decayed towards 0.
    [[nodiscard]] static double decayed_average_load(const upstream& it, time_point now);
    // Estimate of the calls that all hosts have in progress: the last report, which approaches
    // the average load as it ages, and the calls of this host since that report.
    [[nodiscard]] static double estimated_load(const upstream& it, time_point now);
    // Relative cost of a call; 1 for an idle upstream of usual latency.
    [[nodiscard]] double cost(const upstream& it, time_point now) const;
    // Whether the rate of calls is limited because `it` is in its cold start.
    [[nodiscard]] bool cold_limited(const upstream& it, time_point now) const;
    // When its cold start and its limit allow a call: `now` or later.
    [[nodiscard]] time_point next_call_at(const upstream& it, time_point now) const;
    [[nodiscard]] bool may_call(const upstream& it, time_point now) const;
    // Whether first calls of requests leave the token that is there to a hedge or a retry. Only
    // limits that give this host more than one token are reserved.
    [[nodiscard]] static bool reserved(const upstream& it, time_point now);
    void divide_cold_rate(upstream& it, time_point now);
    void divide_limit(upstream& it, time_point now);
    // Starts or extends the backoff; it doubles with each failure.
    void back_off(upstream& it, time_point now);
    static void record_result(upstream& it, bool failed, time_point now);
    void record_run_time(const upstream& it, duration elapsed);

    fleet_share share_;
    failure_domain_id own_domain_;
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
