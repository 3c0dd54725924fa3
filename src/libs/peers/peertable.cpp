// Liveness and ranking of hosts, and the encodings of host records and heartbeats.
#include "peers/peertable.h"

#include "base/hashing.h"
#include "wire/ebonywick.pb.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace ebonywick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Heartbeat interval in fleets of up to large_fleet_hosts, and in larger ones, where a weak
// host would spend 5 % of its processor on heartbeats every 500 ms.
constexpr duration normal_interval = milliseconds{500};
constexpr duration large_fleet_interval = milliseconds{1000};
constexpr std::size_t large_fleet_hosts = 40;
// Heartbeat timeout in intervals: three heartbeats may be lost or late.
constexpr double timeout_intervals = 3.4;
// Time since the last heartbeat or registration for which a host counts as a user of the
// fleet's limits. Their window is 10 s, so the calls of an earlier host have left it.
constexpr duration recent_host_window = seconds{12};
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

std::string encode_host_record(const host_record& record)
{
    return nlohmann::json{
        {"incarnation", record.incarnation},          {"callers", to_string(record.callers)},
        {"heartbeats", to_string(record.heartbeats)}, {"control", to_string(record.control)},
        {"failure_domain", record.domain.value()},    {"processor_share", record.processor_share}}
        .dump();
}

std::optional<host_record> decode_host_record(const std::string& name, std::string_view content)
{
    const auto document = nlohmann::json::parse(content, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    try {
        const auto callers = parse_endpoint(document.at("callers").get<std::string>());
        const auto heartbeats = parse_endpoint(document.at("heartbeats").get<std::string>());
        const auto control = parse_endpoint(document.at("control").get<std::string>());
        if (!callers || !heartbeats || !control)
            return std::nullopt;
        return host_record{host_id{name},
                           document.at("incarnation").get<incarnation_number>(),
                           *callers,
                           *heartbeats,
                           *control,
                           failure_domain_id{document.at("failure_domain").get<std::string>()},
                           document.at("processor_share").get<double>()};
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::string encode_heartbeat(const host_heartbeat& heartbeat)
{
    wire::EntryHeartbeat out;
    out.set_host(heartbeat.id.value());
    out.set_incarnation(heartbeat.incarnation);
    out.set_ready(heartbeat.ready);
    out.set_leaving(heartbeat.leaving);
    out.set_strained(heartbeat.strained);
    out.set_config(heartbeat.applied.configuration);
    out.set_upstreams(heartbeat.applied.upstreams);
    out.set_domains(heartbeat.applied.domains);
    return out.SerializeAsString();
}

std::optional<host_heartbeat> decode_heartbeat(std::string_view bytes)
{
    wire::EntryHeartbeat in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.host().empty())
        return std::nullopt;
    return host_heartbeat{host_id{in.host()}, in.incarnation(),
                          in.ready(),         in.leaving(),
                          in.strained(),      {in.config(), in.upstreams(), in.domains()}};
}

void peer_table::upsert(const host_record& record, time_point now)
{
    if (record.id == self_.id)
        return;
    peer& it = peers_[record.id];
    if (it.record != record) {
        it.record = record;
        it.registered_at = now;
    }
    // Keeps a heartbeat of the new incarnation that came before its record.
    if (it.last_heartbeat && it.last_heartbeat->incarnation != record.incarnation)
        it.last_heartbeat.reset();
}

void peer_table::remove(const host_id& id)
{
    peers_.erase(id);
}

void peer_table::record_heartbeat(const host_heartbeat& heartbeat, time_point now)
{
    const auto found = peers_.find(heartbeat.id);
    if (found == peers_.end())
        return;
    peer& it = found->second;
    // While the store is unavailable, heartbeats of a new incarnation may come before its record.
    // Those of an earlier incarnation are outdated.
    if (heartbeat.incarnation < it.record.incarnation)
        return;
    // Datagrams may be reordered, but a host that has announced to leave stays so until it
    // restarts.
    const bool left_before = it.last_heartbeat &&
                             it.last_heartbeat->incarnation == heartbeat.incarnation &&
                             it.last_heartbeat->leaving;
    it.last_heartbeat = heartbeat;
    it.last_heartbeat->leaving = heartbeat.leaving || left_before;
    it.last_heartbeat_at = now;
}

std::vector<endpoint> peer_table::heartbeat_targets() const
{
    std::vector<endpoint> out;
    out.reserve(peers_.size());
    for (const auto& [id, it] : peers_)
        out.push_back(it.record.heartbeats);
    return out;
}

void peer_table::set_own_state(bool ready, bool strained)
{
    own_ready_ = ready;
    own_strained_ = strained;
}

duration peer_table::heartbeat_interval() const
{
    return peers_.size() < large_fleet_hosts ? normal_interval : large_fleet_interval;
}

bool peer_table::is_alive(const peer& it, time_point now) const
{
    const auto timeout =
        std::chrono::duration_cast<duration>(heartbeat_interval() * timeout_intervals);
    return it.last_heartbeat && !it.last_heartbeat->leaving && now - it.last_heartbeat_at < timeout;
}

std::vector<const host_record*> peer_table::ranked_hosts(time_point now, bool ready_only) const
{
    std::vector<const host_record*> out;
    if (own_ready_ || !ready_only)
        out.push_back(&self_);
    for (const auto& [id, it] : peers_) {
        if (is_alive(it, now) && (it.last_heartbeat->ready || !ready_only))
            out.push_back(&it.record);
    }
    const auto key = [](const host_record* it) {
        return std::tuple{-it->processor_share, stable_hash(it->id.value())};
    };
    std::sort(out.begin(), out.end(),
              [&](const auto* a, const auto* b) { return key(a) < key(b); });
    // Hosts of equal strength alternate between the failure domains.
    std::map<std::pair<double, failure_domain_id>, std::size_t> hosts_of_domain;
    std::vector<std::pair<std::size_t, const host_record*>> by_rank;
    by_rank.reserve(out.size());
    for (const host_record* it : out)
        by_rank.emplace_back(hosts_of_domain[{it->processor_share, it->domain}]++, it);
    std::stable_sort(by_rank.begin(), by_rank.end(), [](const auto& a, const auto& b) {
        return std::tuple{-a.second->processor_share, a.first} <
               std::tuple{-b.second->processor_share, b.first};
    });
    std::transform(by_rank.begin(), by_rank.end(), out.begin(),
                   [](const auto& it) { return it.second; });
    return out;
}

std::vector<host_record> peer_table::entry_hosts(time_point now)
{
    const double factor = now < extended_until_ ? extension_factor : 1.0;
    std::vector<host_record> out;
    double cores = 0;
    std::size_t strained = 0;
    for (const host_record* it : ranked_hosts(now, true)) {
        const bool weak =
            !out.empty() && it->processor_share < weak_host_ratio * out.front().processor_share;
        const double target = factor * (weak ? min_cores : target_cores);
        if (cores >= target && out.size() >= min_entry_hosts)
            break;
        out.push_back(*it);
        cores += it->processor_share;
        const auto found = peers_.find(it->id);
        strained += found == peers_.end() ? own_strained_ : found->second.last_heartbeat->strained;
    }
    if (strained * 2 > out.size())
        extended_until_ = now + extension_time;
    return out;
}

bool peer_table::ranks_among_first(std::size_t count, time_point now) const
{
    const auto all = ranked_hosts(now, false);
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(std::min(count, all.size()));
    return std::find(all.begin(), end, &self_) != end;
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

std::vector<host_id> peer_table::ids() const
{
    std::vector<host_id> out;
    for (const auto& [id, it] : peers_)
        out.push_back(id);
    return out;
}

std::vector<endpoint> peer_table::hosts_ahead_of(const applied_revisions& own, time_point now) const
{
    std::vector<endpoint> out;
    for (const auto& [id, it] : peers_) {
        if (!is_alive(it, now))
            continue;
        const applied_revisions& theirs = it.last_heartbeat->applied;
        if (theirs.configuration > own.configuration || theirs.upstreams > own.upstreams ||
            theirs.domains > own.domains)
            out.push_back(it.record.control);
    }
    return out;
}

applied_revisions peer_table::newest_applied() const
{
    applied_revisions out;
    for (const auto& [id, it] : peers_) {
        if (!it.last_heartbeat)
            continue;
        out.configuration = std::max(out.configuration, it.last_heartbeat->applied.configuration);
        out.upstreams = std::max(out.upstreams, it.last_heartbeat->applied.upstreams);
        out.domains = std::max(out.domains, it.last_heartbeat->applied.domains);
    }
    return out;
}

} // namespace ebonywick
