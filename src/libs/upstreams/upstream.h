// State of one upstream at this host: its entry, what it has stated and what was observed of it.
#pragma once

#include "base/clock.h"
#include "ratelimits/tokenbucket.h"
#include "upstreams/statedlimit.h"
#include "upstreams/upstreamentry.h"
#include "upstreams/upstreamobservation.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstdint>
#include <utility>

namespace ebonywick {

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
        return !cold(now) && now - listed_since_ >= warm_up_time;
    }
    /// Calls of this host in progress.
    [[nodiscard]] std::uint32_t calls() const { return observed_.calls(); }
    /// What the upstream stated last.
    [[nodiscard]] const stated_limit& limit() const { return limit_; }
    /// A reply has stated that the upstream is leaving. Holds until the end of its lifetime,
    /// whatever its entry says.
    [[nodiscard]] bool stated_leaving() const { return stated_leaving_; }
    /// A refusal has asked this host for a pause until then.
    [[nodiscard]] time_point paused_until() const { return paused_until_; }
    [[nodiscard]] const upstream_observation& observed() const { return observed_; }
    [[nodiscard]] bool cold(time_point now) const { return now < cold_until_; }
    /// When its cold start, its limit and its pause allow this host a call: `now` or later.
    [[nodiscard]] time_point next_call_at(time_point now) const;
    [[nodiscard]] bool may_call(time_point now) const { return next_call_at(now) <= now; }
    /// Whether first calls of requests leave the token that is there to a hedge or a retry. Only
    /// limits that give this host more than one token are reserved.
    [[nodiscard]] bool reserved(time_point now) const;

private:
    friend class upstream_table;

    // Upstreams are slow for some seconds after their start.
    static constexpr duration warm_up_time = std::chrono::seconds{3};

    // Whether the rate of calls is limited because of the cold start.
    [[nodiscard]] bool cold_limited(time_point now) const;

    upstream_entry entry_;
    bool listed_ = true;
    bool lapsing_ = false;
    bool domain_out_ = false;
    // See version_rule.
    bool version_out_ = false;
    bool on_trial_ = false;
    time_point listed_since_{};
    upstream_observation observed_;
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
    // The service limits the calls to upstreams in their cold start.
    bool has_cold_rate_ = false;
    // This host's part of the calls during a cold start. It holds at most one token, so that the
    // hosts together send no burst.
    token_bucket cold_tokens_;
};

using upstream_pointer = boost::intrusive_ptr<upstream>;

} // namespace ebonywick
