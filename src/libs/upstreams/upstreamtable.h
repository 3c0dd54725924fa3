// Known upstreams of each service, what this host observed of them, and the choice of
// the one that gets a call.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "base/randomsource.h"
#include "settings/declaration.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace ebonywick {

/// What an upstream registered about itself.
struct upstream_entry
{
    upstream_id id;
    service_name service;
    endpoint address;
    failure_domain_id domain;
    std::uint32_t slots = 1;
    bool leaving = false;
    duration cold_remaining{};
    // Differs between two lives under one id.
    std::uint64_t incarnation = 0;

    auto operator<=>(const upstream_entry&) const = default;
};

/// Load that an upstream reports with a reply.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    auto operator<=>(const reported_load&) const = default;
};

/// How a call ended, as far as the choice of upstreams needs to know.
enum class call_result : std::uint8_t {
    replied,
    // The upstream answered with a failure after it ran the call.
    failed,
    // The upstream refused the call for want of room.
    shed,
    // Another process has the address, or nothing listens there.
    unreachable,
    // The connection broke or carried wrong bytes.
    lost,
    // This host gave up waiting.
    cancelled,
};

/// Duration of a call.
struct call_time
{
    duration took{};
    // `took` over the usual duration of the calls of the same route; 1 is usual.
    double relative = 1.0;

    auto operator<=>(const call_time&) const = default;
};

/// State of one upstream. Shared by the table and by calls in progress, which may
/// outlive the entry.
class upstream : public boost::intrusive_ref_counter<upstream, boost::thread_unsafe_counter>
{
public:
    explicit upstream(upstream_entry entry) : entry_(std::move(entry)) {}

    [[nodiscard]] const upstream_entry& entry() const { return entry_; }
    /// False after the entry was removed or replaced by another life.
    [[nodiscard]] bool listed() const { return listed_; }
    [[nodiscard]] bool usable() const { return listed_ && !entry_.leaving && !domain_out_; }
    /// The entry vanished and may be back soon.
    [[nodiscard]] bool lapsing() const { return lapsing_; }
    [[nodiscard]] std::uint32_t calls() const { return calls_; }

private:
    friend class upstream_table;

    upstream_entry entry_;
    bool listed_ = true;
    bool lapsing_ = false;
    bool domain_out_ = false;
    // Calls of this host in progress.
    std::uint32_t calls_ = 0;
    // Call time relative to the usual call time of the same route; 1 is usual.
    double slowness_ = 1.0;
    time_point slowness_at_{};
    // Share of the recent calls without a usable reply, 0 to 1.
    double failure_share_ = 0.0;
    time_point failure_share_at_{};
    reported_load load_;
    time_point load_at_{};
    // Calls of this host in progress at that time.
    std::uint32_t calls_at_load_ = 0;
    // Moving average of the reported calls, as of load_at_.
    double usual_load_ = 0.0;
    // Until then the upstream gets calls only if no other can take them.
    time_point avoided_until_{};
    // Failures and late calls since the last reply.
    std::uint32_t failures_ = 0;
    time_point cold_until_{};
    // Calls that may be sent while the upstream is cold; at most 1, so that the hosts
    // together send no burst.
    double cold_calls_ = 0;
    time_point cold_calls_at_{};
};

using upstream_pointer = boost::intrusive_ptr<upstream>;

/// Not thread-safe.
class upstream_table
{
public:
    upstream_table(failure_domain_id own_domain, std::uint64_t seed);

    /// Adds or changes an entry. A new life under the same id, or another address,
    /// starts without observations.
    void upsert(const upstream_entry& entry, time_point now);
    void remove(const upstream_id& id);
    /// From now on the upstream gets calls only if no other can take them.
    void set_lapsing(const upstream_id& id);
    void set_domains_out(const std::set<failure_domain_id>& domains);
    /// Calls a second that this host may send to each cold upstream of `service`; 0: no
    /// limit.
    void set_cold_rate(const service_name& service, double calls_per_second);
    [[nodiscard]] std::vector<upstream_id> ids() const;
    [[nodiscard]] upstream_pointer find(const upstream_id& id) const;
    [[nodiscard]] std::size_t size() const { return by_id_.size(); }

    /// An upstream of `service` other than `excluded`; null if none is usable.
    [[nodiscard]] upstream_pointer
    choose(const service_name& service, std::span<const upstream_pointer> excluded, time_point now);
    /// Time that a call to the least loaded upstream of `service` would wait for a slot,
    /// as far as recent reports tell.
    [[nodiscard]] duration expected_wait(const service_name& service, time_point now) const;
    /// An upstream of `service` other than `excluded` has a free slot, as far as recent
    /// reports tell.
    [[nodiscard]] bool has_free_slot(const service_name& service,
                                     std::span<const upstream_pointer> excluded,
                                     time_point now) const;
    [[nodiscard]] bool has_usable(const service_name& service) const;
    /// All listed upstreams of `service`.
    [[nodiscard]] std::span<const upstream_pointer> of_service(const service_name& service) const;

    void call_started(upstream& it, time_point now);
    void call_ended(upstream& it, call_result result, call_time took, time_point now);
    void load_reported(upstream& it, reported_load load, time_point now);
    /// A call to `it` takes much longer than usual; the upstream is avoided for a while.
    void call_late(upstream& it, time_point now);
    void cold_reported(upstream& it, duration remaining, time_point now);

private:
    struct service_state
    {
        std::vector<upstream_pointer> upstreams;
        // 0: no limit.
        double cold_rate = 0;
        // Average duration of calls that found a free slot; zero if unknown.
        duration work{};
    };

    // Slowness as far as its observation still counts.
    [[nodiscard]] static double current_slowness(const upstream& it, time_point now);
    // Average of the reported calls, as far as it still counts.
    [[nodiscard]] static double usual_load(const upstream& it, time_point now);
    // Calls in progress from all hosts: the last report, moved towards the usual load as
    // it ages, and the calls of this host since.
    [[nodiscard]] static double busy_calls(const upstream& it, time_point now);
    [[nodiscard]] double cost(const upstream& it, time_point now) const;
    // Calls that a cold upstream may get now; 1 or more for a warm one.
    [[nodiscard]] double cold_calls(const upstream& it, time_point now) const;
    void avoid(upstream& it, time_point now);
    static void note_failure(upstream& it, bool failed, time_point now);
    void work_done(const upstream& it, duration took);

    failure_domain_id own_domain_;
    random_source random_;
    std::set<failure_domain_id> domains_out_;
    std::unordered_map<upstream_id, upstream_pointer> by_id_;
    // Same entries as by_id_.
    std::unordered_map<service_name, service_state> by_service_;
};

} // namespace ebonywick
