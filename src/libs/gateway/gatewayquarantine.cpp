// Requests that crash upstreams: what calls show about their upstreams, rejections, and messages.
#include "gateway/gateway.h"

#include <algorithm>

namespace ebonywick {

namespace {

constexpr int status_unavailable = 503;
// The calls that an upstream loses with its end are read one after the other; one message tells
// all of them.
constexpr duration crash_message_delay = std::chrono::milliseconds{5};

// The end of an upstream that was announced, or whose entry was removed, is no crash.
bool ends_as_planned(const upstream& it)
{
    return it.entry().leaving || it.stated_leaving() || !it.listed();
}

} // namespace

bool gateway::outside_quarantine(http_exchange& exchange, request_name& name, fan_out_plan& plan)
{
    const quarantine_decision decision = quarantine_.decide(name.key, timers_.now());
    if (const auto* rejected = std::get_if<reject_request>(&decision)) {
        metrics_.request_quarantined();
        refuse(exchange, status_unavailable, "crashes_upstreams", name.id, rejected->retry_after);
        return false;
    }
    if (const auto* once = std::get_if<pass_request_once>(&decision)) {
        plan.runs_once = true;
        name.trial = once->trial;
    }
    return true;
}

void gateway::on_call_ended(const upstream_pointer& of, const request_run& run,
                            call_evidence evidence)
{
    const time_point now = timers_.now();
    const lifetime_key lifetime = upstream_table::key_of(of->entry());
    switch (evidence) {
    case call_evidence::ran: {
        attribution_.upstream_replied(lifetime);
        std::vector<quarantine_change> changes;
        quarantine_.replied(run, now, changes);
        log_quarantine(changes, "own");
        return;
    }
    case call_evidence::answered:
        attribution_.upstream_replied(lifetime);
        return;
    case call_evidence::lost: {
        if (ends_as_planned(*of))
            return;
        const auto result = attribution_.call_lost(lifetime, run, now);
        on_crash(of, result.crashes);
        if (result.check)
            pool_.check(of);
        return;
    }
    case call_evidence::replaced:
        on_crash(of, attribution_.upstream_ended(lifetime, now));
        return;
    case call_evidence::abandoned:
        if (!ends_as_planned(*of))
            attribution_.call_abandoned(lifetime, run, now);
        return;
    }
}

void gateway::on_crash(const upstream_pointer& of, const std::vector<crash_record>& records)
{
    if (records.empty() || ends_as_planned(*of))
        return;
    metrics_.upstream_crashed();
    log_.write(log_level::warning, "upstream_crashed",
               {{"upstream", of->entry().id.value()},
                {"service", of->entry().service.value()},
                {"incarnation", of->entry().incarnation},
                {"calls", static_cast<std::uint64_t>(records.size())},
                {"request", key_text(records.front().run.key.request)}});
    std::vector<quarantine_change> changes;
    quarantine_.crashed(records, timers_.now(), changes);
    crash_timer_.set_after(crash_message_delay);
    log_quarantine(changes, "own");
}

void gateway::log_quarantine(const std::vector<quarantine_change>& changes, std::string_view source)
{
    for (const quarantine_change& it : changes) {
        log_.write(log_level::warning,
                   it.what == quarantine_change::kind::blocked ? "request_blocked"
                                                               : "request_released",
                   {{it.resource ? "resource" : "request", key_text(it.key)},
                    {"strikes", it.strikes},
                    {"crashes", static_cast<std::uint64_t>(it.crashes)},
                    {"block_s", whole_milliseconds(quarantine::block_time(it.strikes)) / 1000},
                    {"source", source}});
    }
    if (!changes.empty() && source == "own")
        crash_timer_.set_after(crash_message_delay);
}

void gateway::tell_crashes()
{
    const time_point now = timers_.now();
    const peer_message message{.heartbeat = own_heartbeat(), .quarantine = quarantine_.report(now)};
    std::vector<endpoint> to = peers_.heartbeat_addresses(peers_.calling_hosts(now).known);
    for (const endpoint& it : peers_.heartbeat_targets(leaving_since_ != time_point::max())) {
        if (std::find(to.begin(), to.end(), it) == to.end())
            to.push_back(it);
    }
    heartbeat_link_.send(message, to);
}

} // namespace ebonywick
