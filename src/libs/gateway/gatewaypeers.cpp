// Heartbeats and what depends on the other hosts: freshness of the watches, shares of limits,
// connections opened in advance, and snapshots read from other hosts.
#include "gateway/gateway.h"

#include "gateway/constants.h"
#include "gateway/storesnapshot.h"

#include <algorithm>
#include <array>
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
    const duration interval = configuration_watch_.complete()
                                  ? peers_.heartbeat_interval()
                                  : gateway_constants::starting_heartbeat_interval;
    const duration late = heartbeat_due_ != time_point{} ? now - heartbeat_due_ : duration::zero();
    strained_ = late > strained_heartbeat_delay;
    if (late > peers_.heartbeat_interval())
        ignore_datagrams_until_ = now + stalled_datagram_time;
    peers_.set_own_state(ready(), strained_, reads_store());
    peers_.update_relays(now);
    sharing_hosts_ = peers_.limit_divisor(now);
    const sharing_hosts sharing = peers_.calling_hosts(now);
    // Connections are given back when a host is gone, extra calls of the window are not.
    budget_.set_host_count(std::max(sharing_hosts_, sharing.count()));
    upstreams_.set_sharing_hosts(sharing, now);
    share_quotas(sharing, now);
    quarantine_.set_sharing_hosts(sharing);
    const bool calls = std::find(sharing.known.begin(), sharing.known.end(), settings_.host) !=
                       sharing.known.end();
    rollouts_.set_sharing_hosts(calls ? sharing.count() : 0);
    const auto entry_hosts = peers_.entry_hosts(now);
    // A leaving host still serves callers that got its address from the directory.
    const bool leaving = leaving_since_ != time_point::max();
    is_entry_host_ = (leaving && is_entry_host_) ||
                     std::any_of(entry_hosts.begin(), entry_hosts.end(),
                                 [&](const auto& it) { return it.id == settings_.host; });
    non_entry_hosts_ =
        peers_.ids().size() + 1 - std::min(entry_hosts.size(), peers_.ids().size() + 1);
    heartbeat_link_.send(own_message(), peers_.heartbeat_targets(leaving));
    query_relays(now);
    update_watch_freshness(now);
    confirm_keys(now);
    follow_peers(now);
    if (is_entry_host_)
        warm_connections();
    // A leaving host gets fewer and fewer requests.
    pool_.trim(is_entry_host_ && !leaving ? gateway_constants::max_upstream_idle_time
                                          : gateway_constants::max_rare_idle_time);
    heartbeat_due_ = now + interval;
    heartbeat_timer_.set(heartbeat_due_);
}

host_heartbeat gateway::own_heartbeat() const
{
    const bool leaving = leaving_since_ != time_point::max();
    const bool retains =
        configuration_watch_.copy().retained_count() + upstream_watch_.copy().retained_count() +
            domain_watch_.copy().retained_count() + host_watch_.copy().retained_count() +
            rollout_watch_.copy().retained_count() !=
        0;
    return {settings_.host, incarnation_, ready(),       leaving,
            strained_,      applied(),    reads_store(), retains};
}

peer_message gateway::own_message()
{
    const time_point now = timers_.now();
    return {.heartbeat = own_heartbeat(),
            .limits = upstreams_.limit_reports(now),
            .leaving_upstreams = upstreams_.leaving_reports(now),
            .sent_at = reads_newest_ ? now : time_point{},
            .quarantine = quarantine_.report(now)};
}

void gateway::announce_change()
{
    // In a large fleet, hosts that have the change already may not have passed it on.
    const bool announces_all = reads_newest_ && !peers_.small_fleet();
    if (!announces_all && !applied().is_ahead_of(peers_.newest_applied()))
        return;
    send_announcement(peers_.heartbeat_targets(false));
    pass_on_announcement();
}

void gateway::pass_on_announcement()
{
    if (!applied().is_ahead_of(passed_on_))
        return;
    passed_on_ = applied();
    send_announcement(peers_.announcement_targets());
}

void gateway::send_announcement(const std::vector<endpoint>& to)
{
    if (to.empty())
        return;
    peer_message message = own_message();
    message.announces_change = true;
    heartbeat_link_.send(message, to);
}

void gateway::query_relays(time_point now)
{
    if (peers_.small_fleet())
        return;
    peer_message message = own_message();
    message.query = static_cast<std::uint64_t>(now.time_since_epoch().count());
    for (const host_record& it : queries_.next(peers_.relays(), now))
        heartbeat_link_.send(message, {it.heartbeats});
}

void gateway::on_peer_message(const peer_message& message, const endpoint& from)
{
    const time_point now = timers_.now();
    if (now < ignore_datagrams_until_ || now > heartbeat_due_ + peers_.heartbeat_interval())
        return;
    peers_.record_heartbeat(message.heartbeat, now);
    if (message.sent_at != time_point{})
        peers_.record_clock(message.heartbeat.id, message.sent_at, now);
    confirm_keys(message, now);
    quotas_.reported(message.heartbeat.id, message.customers, now);
    configuration_watch_.check_store_epoch(message.heartbeat.applied.epoch);
    if (message.announces_change) {
        if (message.heartbeat.applied.is_ahead_of(known())) {
            change_announced_ = true;
            follow_timer_.set_after(gateway_constants::announced_change_delay);
        } else {
            pass_on_announcement();
        }
    }
    std::vector<quarantine_change> changes;
    quarantine_.merge(message.quarantine, now, changes);
    log_quarantine(changes, "host");
    on_rollout_reports(message, now);
    for (const limit_report& it : message.limits) {
        if (const upstream_pointer of = upstreams_.find_reported(it.upstream))
            on_limit_stated(of, it.limit, now - it.age, "host");
    }
    for (const lifetime_key it : message.leaving_upstreams) {
        if (const upstream_pointer of = upstreams_.find_lifetime(it))
            on_leaving_stated(of, "host");
    }
    if (message.answered_query != 0) {
        const duration round_trip = now - time_point{duration{message.answered_query}};
        if (round_trip < duration::zero() || round_trip > peers_.heartbeat_interval())
            return;
        peers_.record_digest(message.digest, round_trip, now);
        queries_.answered(message.heartbeat.id, now);
        if (!reads_store())
            follow_peers(now);
    }
    if (message.query != 0) {
        peer_message answer = own_message();
        answer.answered_query = message.query;
        answer.digest = peers_.digest(now);
        heartbeat_link_.send(answer, {from});
    }
}

applied_revisions
gateway::revisions(const std::function<std::uint64_t(const collection_copy&)>& revision_of) const
{
    const std::array copies{&configuration_watch_.copy(), &upstream_watch_.copy(),
                            &domain_watch_.copy(), &host_watch_.copy(), &rollout_watch_.copy()};
    std::uint64_t epoch = 0;
    for (const collection_copy* it : copies)
        epoch = std::max(epoch, it->epoch());
    const auto in_epoch = [&](const collection_copy& it) {
        return it.epoch() == epoch ? revision_of(it) : 0;
    };
    return {in_epoch(*copies[0]),
            in_epoch(*copies[1]),
            in_epoch(*copies[2]),
            in_epoch(*copies[3]),
            epoch,
            in_epoch(*copies[4])};
}

applied_revisions gateway::applied() const
{
    return revisions([](const collection_copy& it) { return it.newest_change(); });
}

applied_revisions gateway::known() const
{
    return revisions([](const collection_copy& it) { return it.revision(); });
}

bool gateway::reads_store() const
{
    return !follows_ && configuration_watch_.store_reachable() &&
           upstream_watch_.store_reachable() && domain_watch_.store_reachable();
}

void gateway::update_watch_freshness(time_point now)
{
    // A few hosts read the newest state of the store. The other relays use stale reads, which
    // are cheaper, and get a change that is late from a host that has it. All other hosts get
    // all changes from relays, as long as these answer and one of them reads the store. The
    // lists at the start read the newest state, so the watches may lag until heartbeats have
    // arrived.
    const bool others_heard = now - started_at_ > gateway_constants::peer_discovery_time;
    const auto position =
        others_heard ? peers_.newest_reader_position(gateway_constants::newest_reader_count, now)
                     : std::nullopt;
    reads_newest_ = position.has_value();
    const auto needed = position ? platform::freshness::newest : platform::freshness::stale_ok;
    const bool other_readers = peers_.other_readers(now);
    if (other_readers)
        other_reader_seen_ = now;
    const bool follows = !peers_.is_relay() &&
                         now - other_reader_seen_ < gateway_constants::readerless_follow_time &&
                         now - queries_.last_answer() < gateway_constants::relay_answer_timeout;
    const bool probes = peers_.ranks_among_first(gateway_constants::outage_prober_count, now);
    if (follows != follows_)
        log_.write(log_level::info, "state_source", {{"source", follows ? "relays" : "store"}});
    follows_ = follows;
    const auto source = follows ? change_source::other_hosts : change_source::store;
    for (collection_watch* it : watches()) {
        it->set_other_readers(other_readers);
        it->set_source(source);
        it->set_position(position.value_or(reader_position{}));
        it->set_freshness(needed);
        it->set_max_retry_pause(probes ? gateway_constants::max_store_retry_pause
                                       : gateway_constants::max_idle_store_retry_pause);
    }
    // Uses the changes that were known at the previous heartbeat, so that a change has one
    // heartbeat interval to arrive by the watch.
    const std::uint64_t epoch = newest_peer_changes_.epoch;
    configuration_watch_.catch_up(epoch, newest_peer_changes_.configuration);
    upstream_watch_.catch_up(epoch, newest_peer_changes_.upstreams);
    domain_watch_.catch_up(epoch, newest_peer_changes_.domains);
    if (rollouts_.enabled())
        rollout_watch_.catch_up(epoch, newest_peer_changes_.rollouts);
    if (configuration_watch_.list_missing_change(epoch, newest_peer_changes_.configuration))
        log_.write(log_level::warning, "change_missing",
                   {{"collection", to_string(platform::store_collection::configuration)},
                    {"revision", newest_peer_changes_.configuration},
                    {"known", configuration_watch_.copy().revision()}});
    newest_peer_changes_ = peers_.newest_applied();
}

void gateway::begin_registration()
{
    if (std::exchange(registration_begun_, true))
        return;
    const auto& hosts = host_watch_.copy().items();
    const auto own = hosts.find(settings_.host.value());
    const bool registered = own != hosts.end();
    registration_.start(registered ? decode_host_record(own->first, own->second.content)
                                   : std::nullopt);
    if (registered || !host_watch_.complete())
        begin_reading();
    else
        reading_timer_.set_after(gateway_constants::registration_wait);
}

void gateway::begin_reading()
{
    reading_begun_ = true;
    reading_since_ = timers_.now();
    on_heartbeat_due();
    if (peers_.is_relay())
        start_watches();
    else
        reading_timer_.set_after(gateway_constants::relayed_start_wait);
}

void gateway::start_watches()
{
    const time_point now = timers_.now();
    const time_point latest = reading_since_ + gateway_constants::answered_start_wait;
    if (!configuration_watch_.complete() && !peers_.is_relay() &&
        queries_.last_answer() != time_point{} && now < latest) {
        reading_timer_.set(latest);
        return;
    }
    configuration_watch_.start();
    upstream_watch_.start();
    domain_watch_.start();
    if (rollouts_.enabled())
        rollout_watch_.start();
}

void gateway::read_retained(time_point now)
{
    const std::uint64_t epoch = known().epoch;
    if (retained_epoch_ >= epoch || !configuration_watch_.complete() || snapshot_channel_.busy() ||
        now < next_snapshot_read_)
        return;
    const auto sources = peers_.retaining_hosts(epoch, now);
    if (sources.empty())
        return;
    read_snapshot(sources[random_.below(sources.size())].control, {}, epoch);
}

void gateway::read_snapshot(const endpoint& source, const applied_revisions& since,
                            std::uint64_t retained_epoch)
{
    snapshot_read_at_ = timers_.now();
    next_snapshot_read_ = snapshot_read_at_ + gateway_constants::snapshot_read_interval;
    snapshot_channel_.set_server(source);
    const bool kept = snapshot_channel_.has_kept_connection();
    snapshot_channel_.call(
        encode_snapshot_request(source, since),
        kept ? gateway_constants::kept_snapshot_read_timeout
             : gateway_constants::snapshot_read_timeout,
        [this, source, since, retained_epoch, kept](const std::optional<http_message>& reply) {
            if (!reply && kept) {
                log_snapshot_read(source, "repeated", "");
                read_snapshot(source, since, retained_epoch);
                return;
            }
            if (adopt_snapshot(source, reply))
                retained_epoch_ = std::max(retained_epoch_, retained_epoch);
        });
}

void gateway::note_behind(time_point now)
{
    const bool behind = now - behind_since_ >= gateway_constants::behind_log_delay;
    if (behind && !std::exchange(behind_logged_, true)) {
        const applied_revisions own = known();
        const applied_revisions newest = peers_.newest_applied();
        log_.write(log_level::warning, "state_behind",
                   {{"epoch", own.epoch},
                    {"newest_epoch", newest.epoch},
                    {"configuration", own.configuration},
                    {"newest_configuration", newest.configuration},
                    {"upstreams", own.upstreams},
                    {"newest_upstreams", newest.upstreams},
                    {"domains", own.domains},
                    {"newest_domains", newest.domains}});
    } else if (behind_since_ == time_point::max() && std::exchange(behind_logged_, false)) {
        log_.write(log_level::info, "state_caught_up", {});
    }
}

void gateway::follow_peers(time_point now)
{
    read_retained(now);
    const auto ahead = peers_.hosts_ahead_of(known(), now);
    behind_since_ = ahead.empty() ? time_point::max() : std::min(behind_since_, now);
    note_behind(now);
    if (change_announced_ && ahead.empty()) {
        change_announced_ = false;
        pass_on_announcement();
    }
    if (snapshot_channel_.busy())
        return;
    if (now < next_snapshot_read_) {
        if (change_announced_)
            follow_timer_.set(next_snapshot_read_);
        return;
    }
    // A host that reads the store may still get the change from there, and a host that knows no
    // source in its failure domain may learn of one.
    const bool waits =
        reads_store() || (!ahead.empty() && ahead.front().domain != settings_.domain);
    if (waits && !change_announced_ &&
        (ahead.empty() || now - behind_since_ < gateway_constants::follow_delay))
        return;
    std::vector<endpoint> sources;
    // Hosts of the own failure domain come first, and are enough.
    for (const host_record& it : ahead) {
        if (it.domain != settings_.domain && !sources.empty())
            break;
        if (it.control != failed_snapshot_source_)
            sources.push_back(it.control);
    }
    // A host that has just started knows no other hosts yet and asks the configured seeds.
    if (sources.empty() && !configuration_watch_.complete())
        std::copy_if(settings_.seeds.begin(), settings_.seeds.end(), std::back_inserter(sources),
                     [&](const endpoint& it) { return it != settings_.control; });
    failed_snapshot_source_.reset();
    if (sources.empty())
        return;
    read_snapshot(sources[random_.below(sources.size())], known(), 0);
}

bool gateway::adopt_snapshot(const endpoint& source, const std::optional<http_message>& reply)
{
    const auto snapshot = reply ? decode_snapshot(reply->body) : std::nullopt;
    std::string adopted;
    const auto adopt = [&](collection_watch& into, const std::optional<collection_update>& update,
                           std::string_view name) {
        if (update && into.adopt(*update))
            adopted += (adopted.empty() ? "" : ",") + std::string{name};
    };
    if (snapshot) {
        // Hosts last: they decide how this host gets further changes.
        adopt(configuration_watch_, snapshot->configuration, "configuration");
        adopt(upstream_watch_, snapshot->upstreams, "upstreams");
        adopt(domain_watch_, snapshot->domains, "domains");
        adopt(rollout_watch_, snapshot->rollouts, "rollouts");
        adopt(host_watch_, snapshot->hosts, "hosts");
    } else {
        failed_snapshot_source_ = source;
        // Another host may have the change too. The seeds of a host that starts are few.
        if (!configuration_watch_.complete())
            next_snapshot_read_ = timers_.now() + gateway_constants::snapshot_read_pause;
        follow_timer_.set(next_snapshot_read_);
    }
    if (change_announced_) {
        follow_timer_.set(next_snapshot_read_);
        if (!adopted.empty())
            pass_on_announcement();
    }
    log_snapshot_read(source, snapshot ? "read" : "failed", adopted);
    return snapshot.has_value();
}

void gateway::log_snapshot_read(const endpoint& source, std::string_view outcome,
                                const std::string& adopted)
{
    log_.write(log_level::info, "state_read",
               {{"from", to_string(source)},
                {"outcome", outcome},
                {"took_ms", whole_milliseconds(timers_.now() - snapshot_read_at_)},
                {"adopted", adopted},
                {"epoch", known().epoch},
                {"configuration", configuration_watch_.copy().revision()},
                {"upstreams", upstream_watch_.copy().revision()}});
}

void gateway::warm_connections()
{
    if (!routes_)
        return;
    const time_point now = timers_.now();
    std::size_t opened = 0;
    for (const service_policy& it : routes_->configuration().services) {
        if (!routes_->references(it.name))
            continue;
        for (const upstream_pointer& to : upstreams_.of_service(it.name)) {
            if (opened < gateway_constants::max_connections_warmed_per_heartbeat &&
                to->accepts_calls(now) && !to->lapsing() && pool_.warm(to))
                ++opened;
        }
    }
}

std::size_t gateway::connection_limit(const upstream& to) const
{
    using gateway_constants::entry_hosts_connection_ratio;
    using gateway_constants::known_hosts_connection_ratio;
    const service_policy* policy = routes_ ? routes_->policy(to.entry().service) : nullptr;
    const double all = policy != nullptr ? policy->connection_limit : 1.0;
    double used =
        non_entry_hosts_ > 0 ? entry_hosts_connection_ratio : known_hosts_connection_ratio;
    std::size_t hosts = sharing_hosts_;
    if (!is_entry_host_) {
        // A host that is not an entry host gets requests from callers with an old list of hosts, a
        // few test requests, and the first ones after it has become ready.
        used = known_hosts_connection_ratio - entry_hosts_connection_ratio;
        hosts = std::max(hosts, non_entry_hosts_);
    }
    const double part = all * used / static_cast<double>(hosts);
    return std::max<std::size_t>(1, static_cast<std::size_t>(part));
}

} // namespace ebonywick
