// Liveness and ranking of hosts, and the selection of relays and entry hosts.
#include "peers/peertable.h"

#include "base/hashing.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ebonywick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Heartbeat interval in fleets of up to large_fleet_hosts, and in larger ones, where a weak
// relay would spend too much of its processor on heartbeats every 500 ms.
constexpr duration normal_interval = milliseconds{500};
constexpr duration large_fleet_interval = milliseconds{1000};
constexpr std::size_t large_fleet_hosts = 40;
// Number of relays in a large fleet: as many as become entry hosts under strain, and enough that
// each answers few queries.
constexpr std::size_t relay_count = 32;
// Heartbeat timeout in intervals: three heartbeats may be lost or late.
constexpr double timeout_intervals = 3.4;
// Time since the last heartbeat or registration for which a host counts as a user of the
// fleet's limits. Their window is 10 s, so the calls of an earlier host have left it.
constexpr duration recent_host_window = seconds{12};
// Time for which a host that was an entry host still counts as sending calls. Most partitions and
// restarts are shorter; its part of the limits is not used meanwhile.
constexpr duration calling_host_retention = seconds{30};
// A host sends its first heartbeat within this time after this one has learned of it.
constexpr duration first_heartbeat_wait = seconds{3};
// Divisor of the fleet's limits while no other host is known, for example after a start without
// the store; larger than the expected fleets.
constexpr std::size_t default_limit_divisor = 20;
// Fraction by which the divisor exceeds the number of entry hosts.
constexpr double limit_divisor_margin = 0.2;
// Cores that the entry hosts should have together. A request over 36 shards takes about 3 ms of
// processor time, so 250 of them per second use three quarters of a core.
constexpr double target_cores = 4.0;
// Weak hosts are added only until the entry hosts have this many cores.
constexpr double min_cores = 2.0;
// A host with a smaller fraction of the cores of the strongest entry host counts as weak.
constexpr double weak_host_ratio = 0.5;
// With fewer entry hosts, too few would be left if two were lost at once.
constexpr std::size_t min_entry_hosts = 4;
// Factor on target_cores and min_cores while most entry hosts are overloaded, and the time for
// which it is kept afterwards.
constexpr double extension_factor = 3.0;
constexpr duration extension_time = seconds{10};

} // namespace

void peer_table::upsert(const host_record& record, time_point now)
{
    if (record.id == self_.id)
        return;
    peer& it = peers_[record.id];
    by_hash_[digest_hash(record.id)] = record.id;
    if (it.record != record) {
        it.record = record;
        it.registered_at = now;
        it.expected_since = {};
    }
    // Keeps a heartbeat of the new incarnation that came before its record.
    if (it.last_heartbeat && it.last_heartbeat->incarnation != record.incarnation)
        it.last_heartbeat.reset();
}

void peer_table::remove(const host_id& id)
{
    peers_.erase(id);
    by_hash_.erase(digest_hash(id));
}

void peer_table::update_state(peer& of, const host_heartbeat& heartbeat, time_point heard_at)
{
    // While the store is unavailable, heartbeats of a new incarnation may come before its record.
    // Those of an earlier incarnation are outdated.
    if (heartbeat.incarnation < of.record.incarnation)
        return;
    // Datagrams may be reordered, but a host that has announced to leave stays so until it
    // restarts.
    const bool left_before = of.last_heartbeat &&
                             of.last_heartbeat->incarnation == heartbeat.incarnation &&
                             of.last_heartbeat->leaving;
    of.last_heartbeat = heartbeat;
    of.last_heartbeat->leaving = heartbeat.leaving || left_before;
    of.last_heartbeat_at = heard_at;
}

void peer_table::record_heartbeat(const host_heartbeat& heartbeat, time_point now)
{
    const auto found = peers_.find(heartbeat.id);
    if (found != peers_.end())
        update_state(found->second, heartbeat, now);
}

void peer_table::record_clock(const host_id& id, time_point sent_at, time_point now)
{
    const auto found = peers_.find(id);
    if (found != peers_.end())
        found->second.clock_offset = sent_at - now;
}

void peer_table::record_digest(std::span<const digest_entry> digest, duration round_trip,
                               time_point now)
{
    for (const digest_entry& it : digest) {
        const auto id = by_hash_.find(it.host);
        if (id == by_hash_.end())
            continue;
        peer& of = peers_.at(id->second);
        const time_point heard_at = now - round_trip - it.age;
        if (of.last_heartbeat && heard_at <= of.last_heartbeat_at)
            continue;
        // The entry has the lower half of the incarnation, which may have wrapped.
        const auto ahead = static_cast<std::int32_t>(
            it.incarnation - static_cast<std::uint32_t>(of.record.incarnation));
        if (ahead < 0)
            continue;
        host_heartbeat heartbeat{.id = id->second,
                                 .incarnation =
                                     of.record.incarnation + static_cast<std::uint64_t>(ahead),
                                 .ready = it.ready,
                                 .leaving = it.leaving,
                                 .strained = it.strained,
                                 .applied = {},
                                 .reads_store = it.reads_store};
        if (of.last_heartbeat && of.last_heartbeat->incarnation == heartbeat.incarnation) {
            heartbeat.applied = of.last_heartbeat->applied;
            heartbeat.retains = of.last_heartbeat->retains;
        }
        update_state(of, heartbeat, heard_at);
    }
}

std::vector<digest_entry> peer_table::digest(time_point now) const
{
    std::vector<digest_entry> out;
    for (const auto& [id, it] : peers_) {
        if (!it.last_heartbeat || now - it.last_heartbeat_at >= heartbeat_timeout() ||
            (!is_relay(id) && !it.last_heartbeat->leaving))
            continue;
        const host_heartbeat& last = *it.last_heartbeat;
        out.push_back({digest_hash(id), static_cast<std::uint32_t>(last.incarnation),
                       now - it.last_heartbeat_at, last.ready, last.leaving, last.strained,
                       last.reads_store});
    }
    return out;
}

bool peer_table::small_fleet() const
{
    return peers_.size() < large_fleet_hosts;
}

bool peer_table::is_silent(const peer& it, time_point now) const
{
    const time_point since = std::max(it.last_heartbeat_at, it.expected_since);
    return it.expected_since != time_point{} && now - since >= heartbeat_timeout();
}

void peer_table::update_relays(time_point now)
{
    relays_.clear();
    if (small_fleet())
        return;
    std::vector<const host_record*> ranked{&self_};
    for (const auto& [id, it] : peers_)
        ranked.push_back(&it.record);
    sort_by_rank(ranked);
    std::vector<host_id> silent;
    for (const host_record* record : ranked) {
        const auto found = peers_.find(record->id);
        const bool full = relays_.size() >= relay_count;
        if (found == peers_.end()) {
            if (!full)
                relays_.insert(record->id);
            continue;
        }
        peer& it = found->second;
        if (full || (it.last_heartbeat && it.last_heartbeat->leaving)) {
            it.expected_since = {};
            continue;
        }
        if (is_silent(it, now)) {
            silent.push_back(record->id);
            continue;
        }
        if (it.expected_since == time_point{})
            it.expected_since = now;
        relays_.insert(record->id);
    }
    // A host that hears nobody keeps trying the strongest hosts.
    for (const host_id& it : silent) {
        if (relays_.size() < relay_count)
            relays_.insert(it);
    }
}

std::vector<host_record> peer_table::relays() const
{
    std::vector<host_record> out;
    for (const auto& [id, it] : peers_) {
        if (is_relay(id))
            out.push_back(it.record);
    }
    return out;
}

std::vector<endpoint> peer_table::heartbeat_targets(bool leaving) const
{
    std::vector<endpoint> out;
    for (const auto& [id, it] : peers_) {
        if (leaving || (is_relay() && is_relay(id)))
            out.push_back(it.record.heartbeats);
    }
    return out;
}

std::vector<endpoint> peer_table::announcement_targets() const
{
    if (small_fleet() || !is_relay())
        return {};
    std::map<failure_domain_id, std::vector<host_id>> relays_of;
    for (const host_id& id : relays_) {
        if (const auto found = peers_.find(id); found != peers_.end())
            relays_of[found->second.record.domain].push_back(id);
        else if (id == self_.id)
            relays_of[self_.domain].push_back(id);
    }
    const std::vector<host_id> all{relays_.begin(), relays_.end()};
    std::vector<endpoint> out;
    for (const auto& [id, it] : peers_) {
        if (is_relay(id))
            continue;
        const auto found = relays_of.find(it.record.domain);
        const std::vector<host_id>& candidates = found != relays_of.end() ? found->second : all;
        if (candidates[stable_hash(id.value()) % candidates.size()] == self_.id)
            out.push_back(it.record.heartbeats);
    }
    return out;
}

void peer_table::set_own_state(bool ready, bool strained, bool reads_store)
{
    own_ready_ = ready;
    own_strained_ = strained;
    own_reads_store_ = reads_store;
}

duration peer_table::heartbeat_interval() const
{
    return small_fleet() ? normal_interval : large_fleet_interval;
}

duration peer_table::heartbeat_timeout() const
{
    return std::chrono::duration_cast<duration>(heartbeat_interval() * timeout_intervals);
}

bool peer_table::is_alive(const peer& it, time_point now) const
{
    const duration timeout = heartbeat_timeout();
    return it.last_heartbeat && !it.last_heartbeat->leaving && now - it.last_heartbeat_at < timeout;
}

void peer_table::sort_by_rank(std::vector<const host_record*>& hosts)
{
    const auto key = [](const host_record* it) {
        return std::tuple{-it->processor_share, stable_hash(it->id.value())};
    };
    std::sort(hosts.begin(), hosts.end(),
              [&](const auto* a, const auto* b) { return key(a) < key(b); });
    // Hosts of equal strength alternate between the failure domains.
    std::map<std::pair<double, failure_domain_id>, std::size_t> hosts_of_domain;
    std::vector<std::pair<std::size_t, const host_record*>> by_rank;
    by_rank.reserve(hosts.size());
    for (const host_record* it : hosts)
        by_rank.emplace_back(hosts_of_domain[{it->processor_share, it->domain}]++, it);
    std::stable_sort(by_rank.begin(), by_rank.end(), [](const auto& a, const auto& b) {
        return std::tuple{-a.second->processor_share, a.first} <
               std::tuple{-b.second->processor_share, b.first};
    });
    std::transform(by_rank.begin(), by_rank.end(), hosts.begin(),
                   [](const auto& it) { return it.second; });
}

std::vector<const host_record*> peer_table::ranked_hosts(time_point now, rank_filter filter) const
{
    std::vector<const host_record*> out;
    if (is_relay() && (own_ready_ || filter == rank_filter::alive))
        out.push_back(&self_);
    for (const auto& [id, it] : peers_) {
        if (!is_relay(id))
            continue;
        const bool may_start = filter == rank_filter::possibly_ready && !it.last_heartbeat &&
                               now - it.registered_at < first_heartbeat_wait;
        const bool passes =
            is_alive(it, now) && (it.last_heartbeat->ready || filter == rank_filter::alive);
        if (passes || may_start)
            out.push_back(&it.record);
    }
    sort_by_rank(out);
    return out;
}

std::vector<const host_record*> peer_table::strongest(const std::vector<const host_record*>& ranked,
                                                      time_point now) const
{
    const double factor = now < extended_until_ ? extension_factor : 1.0;
    std::vector<const host_record*> out;
    double cores = 0;
    for (const host_record* it : ranked) {
        const bool weak =
            !out.empty() && it->processor_share < weak_host_ratio * out.front()->processor_share;
        const double target = factor * (weak ? min_cores : target_cores);
        if (cores >= target && out.size() >= min_entry_hosts)
            break;
        out.push_back(it);
        cores += it->processor_share;
    }
    return out;
}

std::vector<host_record> peer_table::entry_hosts(time_point now)
{
    std::vector<host_record> out;
    std::size_t strained = 0;
    for (const host_record* it : strongest(ranked_hosts(now, rank_filter::ready), now)) {
        out.push_back(*it);
        const auto found = peers_.find(it->id);
        strained += found == peers_.end() ? own_strained_ : found->second.last_heartbeat->strained;
    }
    if (strained * 2 > out.size())
        extended_until_ = now + extension_time;
    return out;
}

bool peer_table::ranks_among_first(std::size_t count, time_point now) const
{
    const auto all = ranked_hosts(now, rank_filter::alive);
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(std::min(count, all.size()));
    return std::find(all.begin(), end, &self_) != end;
}

bool peer_table::reads_store(const host_record& it) const
{
    const auto found = peers_.find(it.id);
    return found == peers_.end() ? own_reads_store_ : found->second.last_heartbeat->reads_store;
}

std::optional<reader_position> peer_table::newest_reader_position(std::size_t max_count,
                                                                  time_point now) const
{
    std::optional<std::size_t> own_index;
    std::size_t count = 0;
    duration clock_offset{};
    for (const host_record* it : ranked_hosts(now, rank_filter::alive)) {
        if (count == max_count)
            break;
        if (!reads_store(*it))
            continue;
        if (it == &self_)
            own_index = count;
        else if (count == 0)
            clock_offset = peers_.at(it->id).clock_offset;
        ++count;
    }
    if (!own_index)
        return std::nullopt;
    return reader_position{*own_index, count, clock_offset};
}

bool peer_table::other_readers(time_point now) const
{
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return is_alive(entry.second, now) && entry.second.last_heartbeat->reads_store;
    });
}

std::size_t peer_table::limit_divisor(time_point now)
{
    if (peers_.empty())
        return default_limit_divisor;
    // Only hosts with a recent heartbeat or registration may have calls in the window.
    const auto recent = std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const peer& it = entry.second;
        return now - std::max(it.last_heartbeat_at, it.registered_at) < recent_host_window;
    });
    const auto entry_count =
        static_cast<double>(entry_hosts(now).size()) * (1.0 + limit_divisor_margin);
    const auto all = static_cast<std::size_t>(recent) + 1;
    return std::clamp<std::size_t>(static_cast<std::size_t>(entry_count) + 1, 1, all);
}

sharing_hosts peer_table::calling_hosts(time_point now)
{
    for (const rank_filter filter : {rank_filter::ready, rank_filter::possibly_ready}) {
        for (const host_record* it : strongest(ranked_hosts(now, filter), now)) {
            const auto found = peers_.find(it->id);
            (found == peers_.end() ? own_last_entry_at_ : found->second.last_entry_at) = now;
        }
    }
    const auto recent = [&](time_point last) {
        return last != time_point{} && now - last < calling_host_retention;
    };
    sharing_hosts out;
    if (recent(own_last_entry_at_))
        out.known.push_back(self_.id);
    for (const auto& [id, it] : peers_) {
        if (recent(it.last_entry_at))
            out.known.push_back(id);
    }
    if (peers_.empty())
        out.unknown = default_limit_divisor - 1;
    return out;
}

std::vector<endpoint> peer_table::heartbeat_addresses(std::span<const host_id> hosts) const
{
    std::vector<endpoint> out;
    for (const host_id& it : hosts) {
        if (const auto found = peers_.find(it); found != peers_.end())
            out.push_back(found->second.record.heartbeats);
    }
    return out;
}

std::vector<host_id> peer_table::ids() const
{
    std::vector<host_id> out;
    for (const auto& [id, it] : peers_)
        out.push_back(id);
    return out;
}

std::vector<host_record> peer_table::hosts_ahead_of(const applied_revisions& own,
                                                    time_point now) const
{
    std::vector<host_record> out;
    for (const auto& [id, it] : peers_) {
        if (!is_alive(it, now))
            continue;
        if (it.last_heartbeat->applied.is_ahead_of(own))
            out.push_back(it.record);
    }
    std::stable_partition(out.begin(), out.end(),
                          [&](const host_record& it) { return it.domain == self_.domain; });
    return out;
}

std::vector<host_record> peer_table::retaining_hosts(std::uint64_t epoch, time_point now) const
{
    std::vector<host_record> out;
    for (const auto& [id, it] : peers_) {
        if (is_alive(it, now) && it.last_heartbeat->retains &&
            it.last_heartbeat->applied.epoch == epoch)
            out.push_back(it.record);
    }
    return out;
}

applied_revisions peer_table::newest_applied() const
{
    applied_revisions out;
    for (const auto& [id, it] : peers_) {
        if (it.last_heartbeat)
            out.merge(it.last_heartbeat->applied);
    }
    return out;
}

} // namespace ebonywick
