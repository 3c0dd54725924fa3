// Heartbeats, the freshness of watches, and what follows from the other hosts: shares of
// limits, warm connections, state read from others.
#include "gateway/gateway.h"

#include "gateway/constants.h"
#include "gateway/sharedstate.h"

#include <algorithm>
#include <iterator>

namespace ebonywick {

namespace {

// Lateness of a heartbeat above which the event loop counts as strained: a tenth of the
// shortest target latencies would be lost in it several times a request.
constexpr duration strained_lag = std::chrono::milliseconds{25};

} // namespace

void gateway::beat()
{
    const time_point now = timers_.now();
    const duration interval = peers_.heartbeat_interval();
    const bool strained = beat_due_ != time_point{} && now - beat_due_ > strained_lag;
    peers_.set_own_state(ready(), strained);
    sharing_hosts_ = peers_.limit_divisor(now);
    budget_.set_host_count(sharing_hosts_);
    share_cold_rates();
    const auto entry_hosts = peers_.entry_hosts(now);
    // A leaving host still serves the callers that it was named to.
    const bool leaving = leaving_since_ != time_point::max();
    is_entry_host_ = (leaving && is_entry_host_) ||
                     std::any_of(entry_hosts.begin(), entry_hosts.end(),
                                 [&](const auto& it) { return it.id == settings_.host; });
    others_exist_ = peers_.ids().size() + 1 > entry_hosts.size();
    heartbeats_.send({settings_.host, incarnation_, ready(), leaving, strained, applied()},
                     peers_.heartbeat_targets());
    follow_newest(now);
    follow_others(now);
    if (is_entry_host_)
        warm_connections();
    pool_.trim();
    beat_due_ = now + interval;
    beat_timer_.set(beat_due_);
}

applied_revisions gateway::applied() const
{
    return {configuration_watch_.newest_change(), upstream_watch_.newest_change(),
            domain_watch_.newest_change()};
}

void gateway::follow_newest(time_point now)
{
    // Some hosts read the newest state; the others may lag, which is cheaper, and read the
    // newest state when a heartbeat tells of a change that they lack.
    // The lists at the start are of the newest state; the others are heard soon after.
    const bool others_heard = now - started_at_ > gateway_constants::hearing_time;
    const auto needed =
        others_heard && peers_.ranks_among_first(gateway_constants::newest_readers, now)
            ? platform::freshness::newest
            : platform::freshness::may_lag;
    configuration_watch_.set_freshness(needed);
    upstream_watch_.set_freshness(needed);
    domain_watch_.set_freshness(needed);
    // A change is given the time of one heartbeat to arrive by itself.
    configuration_watch_.catch_up(newest_seen_.configuration);
    upstream_watch_.catch_up(newest_seen_.upstreams);
    domain_watch_.catch_up(newest_seen_.domains);
    newest_seen_ = peers_.newest_applied();
}

void gateway::follow_others(time_point now)
{
    const bool in_contact = configuration_watch_.in_contact() && upstream_watch_.in_contact() &&
                            domain_watch_.in_contact();
    if (in_contact || state_channel_.busy() || now < next_state_read_)
        return;
    std::vector<endpoint> sources = peers_.hosts_ahead_of(applied(), now);
    // A host that has just started knows no others yet.
    if (sources.empty() && !configuration_watch_.complete())
        std::copy_if(settings_.seeds.begin(), settings_.seeds.end(), std::back_inserter(sources),
                     [&](const endpoint& it) { return it != settings_.control; });
    if (sources.empty())
        return;
    next_state_read_ = now + gateway_constants::state_read_pause;
    const endpoint source = sources[random_.below(sources.size())];
    state_channel_.set_server(source);
    state_channel_.call(
        encode_state_request(source), gateway_constants::state_read_timeout,
        [this, source](const std::optional<http_message>& reply) { adopt_state(source, reply); });
}

void gateway::adopt_state(const endpoint& source, const std::optional<http_message>& reply)
{
    const auto state = reply ? decode_shared_state(reply->body) : std::nullopt;
    log_.write(log_level::info, "state_read",
               {{"from", to_string(source)},
                {"outcome", state ? "read" : "failed"},
                {"configuration", state ? state->configuration.revision : 0},
                {"upstreams", state ? state->upstreams.revision : 0}});
    if (!state)
        return;
    configuration_watch_.adopt(state->configuration);
    upstream_watch_.adopt(state->upstreams);
    domain_watch_.adopt(state->domains);
}

void gateway::warm_connections()
{
    if (!routes_)
        return;
    std::size_t opened = 0;
    for (const service_policy& it : routes_->configuration().services) {
        if (!routes_->references(it.name))
            continue;
        for (const upstream_pointer& to : upstreams_.of_service(it.name)) {
            if (opened < gateway_constants::connections_warmed_at_once && to->usable() &&
                !to->lapsing() && pool_.warm(to))
                ++opened;
        }
    }
}

std::size_t gateway::connection_limit(const upstream& to) const
{
    // Other hosts get requests only while they are told of as entry hosts by an old list,
    // and a few that test them.
    if (!is_entry_host_)
        return 1;
    const service_policy* policy = routes_ ? routes_->policy(to.entry().service) : nullptr;
    const double all = policy != nullptr ? policy->connection_limit : 1.0;
    const double used = others_exist_ ? gateway_constants::entry_hosts_connection_part
                                      : gateway_constants::used_connection_part;
    const double part = all * used / static_cast<double>(sharing_hosts_);
    return std::max<std::size_t>(1, static_cast<std::size_t>(part));
}

void gateway::share_cold_rates()
{
    if (!routes_)
        return;
    for (const service_policy& it : routes_->configuration().services)
        upstreams_.set_cold_rate(it.name, it.cold_rate / static_cast<double>(sharing_hosts_));
}

} // namespace ebonywick
