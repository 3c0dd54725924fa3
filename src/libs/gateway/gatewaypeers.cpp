// Heartbeats and what depends on the other hosts: freshness of the watches, shares of limits,
// connections opened in advance, and snapshots read from other hosts.
#include "gateway/gateway.h"

#include "gateway/constants.h"
#include "gateway/storesnapshot.h"

#include <algorithm>
#include <iterator>

namespace ebonywick {

namespace {

// Delay of a heartbeat above which the event loop counts as strained. A request waits for the
// event loop several times, and each such wait would take a tenth of the shortest target
// latencies.
constexpr duration strained_heartbeat_delay = std::chrono::milliseconds{25};
// Time in which the datagrams that waited while the event loop stood still are read.
constexpr duration stalled_datagram_time = std::chrono::milliseconds{100};

} // namespace

void gateway::on_heartbeat_due()
{
    const time_point now = timers_.now();
    const duration interval = peers_.heartbeat_interval();
    const duration late = heartbeat_due_ != time_point{} ? now - heartbeat_due_ : duration::zero();
    strained_ = late > strained_heartbeat_delay;
    if (late > interval)
        ignore_datagrams_until_ = now + stalled_datagram_time;
    peers_.set_own_state(ready(), strained_);
    peers_.update_relays(now);
    sharing_hosts_ = peers_.limit_divisor(now);
    budget_.set_host_count(sharing_hosts_);
    divide_cold_rates();
    const auto entry_hosts = peers_.entry_hosts(now);
    // A leaving host still serves callers that got its address from the directory.
    const bool leaving = leaving_since_ != time_point::max();
    is_entry_host_ = (leaving && is_entry_host_) ||
                     std::any_of(entry_hosts.begin(), entry_hosts.end(),
                                 [&](const auto& it) { return it.id == settings_.host; });
    non_entry_hosts_exist_ = peers_.ids().size() + 1 > entry_hosts.size();
    heartbeat_link_.send({own_heartbeat(), 0, 0, {}}, peers_.heartbeat_targets(leaving));
    query_relays(now);
    update_watch_freshness(now);
    read_peer_snapshot(now);
    if (is_entry_host_)
        warm_connections();
    pool_.trim();
    heartbeat_due_ = now + interval;
    heartbeat_timer_.set(heartbeat_due_);
}

host_heartbeat gateway::own_heartbeat() const
{
    const bool leaving = leaving_since_ != time_point::max();
    return {settings_.host, incarnation_, ready(), leaving, strained_, applied()};
}

void gateway::query_relays(time_point now)
{
    if (peers_.small_fleet())
        return;
    const auto query = static_cast<std::uint64_t>(now.time_since_epoch().count());
    for (const host_record& it : queries_.next(peers_.relays(), now))
        heartbeat_link_.send({own_heartbeat(), query, 0, {}}, {it.heartbeats});
}

void gateway::on_peer_message(const peer_message& message, const endpoint& from)
{
    const time_point now = timers_.now();
    if (now < ignore_datagrams_until_ || now > heartbeat_due_ + peers_.heartbeat_interval())
        return;
    peers_.record_heartbeat(message.heartbeat, now);
    if (message.answered_query != 0) {
        const duration round_trip = now - time_point{duration{message.answered_query}};
        if (round_trip < duration::zero() || round_trip > peers_.heartbeat_interval())
            return;
        peers_.record_digest(message.digest, round_trip, now);
        queries_.answered(message.heartbeat.id, now);
    }
    if (message.query != 0)
        heartbeat_link_.send({own_heartbeat(), 0, message.query, peers_.digest(now)}, {from});
}

applied_revisions gateway::applied() const
{
    return {configuration_watch_.newest_change(), upstream_watch_.newest_change(),
            domain_watch_.newest_change(), host_watch_.newest_change()};
}

void gateway::update_watch_freshness(time_point now)
{
    // A few hosts read the newest state of the store. The others use stale reads, which are
    // cheaper, and read the newest state only when a heartbeat shows a change that they have
    // not got. The lists at the start read the newest state on every host (except those of
    // domains and hosts), so the watches may lag until heartbeats have arrived.
    const bool others_heard = now - started_at_ > gateway_constants::peer_discovery_time;
    const auto needed =
        others_heard && peers_.ranks_among_first(gateway_constants::newest_reader_count, now)
            ? platform::freshness::newest
            : platform::freshness::stale_ok;
    configuration_watch_.set_freshness(needed);
    upstream_watch_.set_freshness(needed);
    domain_watch_.set_freshness(needed);
    // Uses the changes that were known at the previous heartbeat, so that a change has one
    // heartbeat interval to arrive by the watch.
    configuration_watch_.catch_up(newest_peer_changes_.configuration);
    upstream_watch_.catch_up(newest_peer_changes_.upstreams);
    domain_watch_.catch_up(newest_peer_changes_.domains);
    newest_peer_changes_ = peers_.newest_applied();
}

void gateway::read_peer_snapshot(time_point now)
{
    const bool in_contact = configuration_watch_.in_contact() && upstream_watch_.in_contact() &&
                            domain_watch_.in_contact();
    if (in_contact || snapshot_channel_.busy() || now < next_snapshot_read_)
        return;
    std::vector<endpoint> sources;
    for (const host_record& it : peers_.hosts_ahead_of(applied(), now))
        sources.push_back(it.control);
    // A host that has just started knows no other hosts yet and asks the configured seeds.
    if (sources.empty() && !configuration_watch_.complete())
        std::copy_if(settings_.seeds.begin(), settings_.seeds.end(), std::back_inserter(sources),
                     [&](const endpoint& it) { return it != settings_.control; });
    if (sources.empty())
        return;
    next_snapshot_read_ = now + gateway_constants::snapshot_read_pause;
    const endpoint source = sources[random_.below(sources.size())];
    snapshot_channel_.set_server(source);
    snapshot_channel_.call(encode_snapshot_request(source),
                           gateway_constants::snapshot_read_timeout,
                           [this, source](const std::optional<http_message>& reply) {
                               adopt_snapshot(source, reply);
                           });
}

void gateway::adopt_snapshot(const endpoint& source, const std::optional<http_message>& reply)
{
    const auto snapshot = reply ? decode_snapshot(reply->body) : std::nullopt;
    log_.write(log_level::info, "state_read",
               {{"from", to_string(source)},
                {"outcome", snapshot ? "read" : "failed"},
                {"configuration", snapshot ? snapshot->configuration.revision : 0},
                {"upstreams", snapshot ? snapshot->upstreams.revision : 0}});
    if (!snapshot)
        return;
    configuration_watch_.adopt(snapshot->configuration);
    upstream_watch_.adopt(snapshot->upstreams);
    domain_watch_.adopt(snapshot->domains);
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
            if (opened < gateway_constants::max_connections_warmed_per_heartbeat && to->usable() &&
                !to->lapsing() && pool_.warm(to))
                ++opened;
        }
    }
}

std::size_t gateway::connection_limit(const upstream& to) const
{
    // A host that is not an entry host gets requests only from callers with an old list of
    // hosts, and a few test requests.
    if (!is_entry_host_)
        return 1;
    const service_policy* policy = routes_ ? routes_->policy(to.entry().service) : nullptr;
    const double all = policy != nullptr ? policy->connection_limit : 1.0;
    const double used = non_entry_hosts_exist_ ? gateway_constants::entry_hosts_connection_ratio
                                               : gateway_constants::known_hosts_connection_ratio;
    const double part = all * used / static_cast<double>(sharing_hosts_);
    return std::max<std::size_t>(1, static_cast<std::size_t>(part));
}

void gateway::divide_cold_rates()
{
    if (!routes_)
        return;
    for (const service_policy& it : routes_->configuration().services)
        upstreams_.set_cold_rate(it.name, it.cold_rate / static_cast<double>(sharing_hosts_));
}

} // namespace ebonywick
