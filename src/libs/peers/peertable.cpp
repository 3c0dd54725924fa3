// Liveness rules and the encodings of records and heartbeats.
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

// Interval in fleets of ordinary size, and in large ones, where a weak host would spend a
// twentieth of its processor on heartbeats every 500 ms.
constexpr duration short_interval = milliseconds{500};
constexpr duration long_interval = milliseconds{1000};
constexpr std::size_t large_fleet = 40;
// Heartbeats that may be lost or late, and a part of the next.
constexpr double missed_heartbeats = 3.4;
// A host that was silent for longer sends no more calls that count against the limits:
// their window is 10 s.
constexpr duration sharing_timeout = seconds{12};
// Divisor of the fleet's limits while no host is registered, as after a start without
// the store; above the size of today's fleets.
constexpr std::size_t assumed_hosts = 20;
// Part of the hosts by which the divisor exceeds the entry hosts.
constexpr double sharing_margin = 0.2;
// Cores of the entry hosts together. A request over 36 shards takes about 3 ms of a core,
// so that 250 of them a second take three quarters of one core.
constexpr double wanted_cores = 4.0;
// Weak hosts are named only below this sum.
constexpr double least_cores = 2.0;
// A host with a smaller part of the strongest host's cores counts as weak.
constexpr double weak_part = 0.5;
// Fewer entry hosts than this would leave too few when two are lost at once.
constexpr std::size_t least_hosts = 4;
// Factor on the sums while entry hosts are strained, and how long it stays.
constexpr double widening = 3.0;
constexpr duration widened_time = seconds{10};

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

std::string encode_heartbeat(const host_heartbeat& beat)
{
    wire::EntryHeartbeat out;
    out.set_host(beat.id.value());
    out.set_incarnation(beat.incarnation);
    out.set_ready(beat.ready);
    out.set_leaving(beat.leaving);
    out.set_strained(beat.strained);
    out.set_config(beat.applied.configuration);
    out.set_upstreams(beat.applied.upstreams);
    out.set_domains(beat.applied.domains);
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
    // A heartbeat of the new life may have come before its record.
    if (it.last && it.last->incarnation != record.incarnation)
        it.last.reset();
}

void peer_table::remove(const host_id& id)
{
    peers_.erase(id);
}

void peer_table::record_heartbeat(const host_heartbeat& beat, time_point now)
{
    const auto found = peers_.find(beat.id);
    if (found == peers_.end())
        return;
    peer& it = found->second;
    // While the store is down a new life may be heard of before its record is known; an
    // earlier one is over.
    if (beat.incarnation < it.record.incarnation)
        return;
    // A datagram may arrive after a later one; a host that leaves does not return in the
    // same life.
    const bool left = it.last && it.last->incarnation == beat.incarnation && it.last->leaving;
    it.last = beat;
    it.last->leaving = beat.leaving || left;
    it.last_at = now;
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
    return peers_.size() < large_fleet ? short_interval : long_interval;
}

bool peer_table::lives(const peer& it, time_point now) const
{
    const auto timeout =
        std::chrono::duration_cast<duration>(heartbeat_interval() * missed_heartbeats);
    return it.last && !it.last->leaving && now - it.last_at < timeout;
}

std::vector<const host_record*> peer_table::ordered(time_point now, bool ready_only) const
{
    std::vector<const host_record*> out;
    if (own_ready_ || !ready_only)
        out.push_back(&self_);
    for (const auto& [id, it] : peers_) {
        if (lives(it, now) && (it.last->ready || !ready_only))
            out.push_back(&it.record);
    }
    const auto key = [](const host_record* it) {
        return std::tuple{-it->processor_share, stable_hash(it->id.value())};
    };
    std::sort(out.begin(), out.end(),
              [&](const auto* a, const auto* b) { return key(a) < key(b); });
    // Within equal strength the failure domains take turns.
    std::map<std::pair<double, failure_domain_id>, std::size_t> turns;
    std::vector<std::pair<std::size_t, const host_record*>> dealt;
    dealt.reserve(out.size());
    for (const host_record* it : out)
        dealt.emplace_back(turns[{it->processor_share, it->domain}]++, it);
    std::stable_sort(dealt.begin(), dealt.end(), [](const auto& a, const auto& b) {
        return std::tuple{-a.second->processor_share, a.first} <
               std::tuple{-b.second->processor_share, b.first};
    });
    std::transform(dealt.begin(), dealt.end(), out.begin(),
                   [](const auto& it) { return it.second; });
    return out;
}

std::vector<host_record> peer_table::entry_hosts(time_point now)
{
    const double factor = now < widened_until_ ? widening : 1.0;
    std::vector<host_record> out;
    double cores = 0;
    std::size_t strained = 0;
    for (const host_record* it : ordered(now, true)) {
        const bool weak =
            !out.empty() && it->processor_share < weak_part * out.front().processor_share;
        const double wanted = factor * (weak ? least_cores : wanted_cores);
        if (cores >= wanted && out.size() >= least_hosts)
            break;
        out.push_back(*it);
        cores += it->processor_share;
        const auto found = peers_.find(it->id);
        strained += found == peers_.end() ? own_strained_ : found->second.last->strained;
    }
    if (strained * 2 > out.size())
        widened_until_ = now + widened_time;
    return out;
}

bool peer_table::ranks_among_first(std::size_t count, time_point now) const
{
    const auto all = ordered(now, false);
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(std::min(count, all.size()));
    return std::find(all.begin(), end, &self_) != end;
}

std::size_t peer_table::limit_divisor(time_point now)
{
    if (peers_.empty())
        return assumed_hosts;
    // Hosts that were heard of in the window, or have just registered, may have sent calls.
    const auto recent = std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const peer& it = entry.second;
        return now - std::max(it.last_at, it.registered_at) < sharing_timeout;
    });
    const auto named = static_cast<double>(entry_hosts(now).size()) * (1.0 + sharing_margin);
    const auto all = static_cast<std::size_t>(recent) + 1;
    return std::clamp<std::size_t>(static_cast<std::size_t>(named) + 1, 1, all);
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
        if (!lives(it, now))
            continue;
        const applied_revisions& theirs = it.last->applied;
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
        if (!it.last)
            continue;
        out.configuration = std::max(out.configuration, it.last->applied.configuration);
        out.upstreams = std::max(out.upstreams, it.last->applied.upstreams);
        out.domains = std::max(out.domains, it.last->applied.domains);
    }
    return out;
}

} // namespace ebonywick
