// Fetching of newer object versions from peers, then from the store.
#include "membership/objectreplicator.h"

#include <algorithm>

namespace ebonywick {

namespace {

using namespace std::chrono_literals;

// Time after which the next peer is asked.
constexpr duration fetch_timeout = 300ms;
// Peers to ask before the store is read.
constexpr unsigned fetches_before_read = 2;
constexpr std::size_t max_sources = 4;
constexpr duration first_read_interval = 500ms;
// Upper bound of the exponential backoff between store reads. The store's throughput
// does not grow with the fleet.
constexpr duration max_read_interval = 8s;

} // namespace

bool object_replicator::adopt(object_kind kind, object_version version, const std::string& content)
{
    slot& it = at(kind);
    if (version <= it.version)
        return false;
    it.version = version;
    it.content = content;
    if (it.newest_seen > version)
        return true;
    it.newest_seen = version;
    it.sources.clear();
    it.fetch_sent.reset();
    it.fetches = 0;
    it.read_interval = first_read_interval;
    return true;
}

void object_replicator::note_version(object_kind kind, object_version version, const host_id& from)
{
    slot& it = at(kind);
    if (version <= it.version || version < it.newest_seen || from == self_)
        return;
    if (version > it.newest_seen) {
        it.newest_seen = version;
        it.sources.clear();
        it.fetches = 0;
        it.fetch_sent.reset();
    }
    if (it.sources.size() < max_sources &&
        std::find(it.sources.begin(), it.sources.end(), from) == it.sources.end())
        it.sources.push_back(from);
}

std::vector<membership_action> object_replicator::advance(time_point now)
{
    std::vector<membership_action> actions;
    for (const object_kind kind : {object_kind::config, object_kind::roster}) {
        slot& it = at(kind);
        if (it.newest_seen <= it.version && it.version != 0)
            continue;
        const bool waiting = it.fetch_sent && now - *it.fetch_sent < fetch_timeout;
        if (!waiting && !it.sources.empty()) {
            actions.emplace_back(send_control{it.sources.front(), object_fetch{self_, kind}});
            it.sources.erase(it.sources.begin());
            it.fetch_sent = now;
            ++it.fetches;
            continue;
        }
        const bool peers_failed = it.newest_seen <= it.version ||
                                  it.fetches >= fetches_before_read ||
                                  (it.sources.empty() && it.fetches > 0);
        if (waiting || !peers_failed || now < it.next_read)
            continue;
        actions.emplace_back(read_store{kind});
        const auto jitter = static_cast<std::uint64_t>(it.read_interval.count() / 4);
        it.next_read = now + it.read_interval + duration{random_.below(jitter)};
        it.read_interval = std::min(2 * it.read_interval, max_read_interval);
    }
    return actions;
}

} // namespace ebonywick
