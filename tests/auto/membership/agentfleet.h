// Delivers the messages of a few membership agents in memory, with a clock that
// is advanced by hand and seeded loss and delay.
#pragma once

#include "base/hashing.h"
#include "membership/membershipagent.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ebonywick {

using namespace std::chrono_literals;

/// The store is a versioned value that `store_up` makes readable.
struct agent_fleet
{
    struct member
    {
        std::unique_ptr<membership_agent> agent;
        time_point paused_until{};
        std::vector<control_message> inbox;
        std::size_t sent = 0;
        std::size_t largest_message = 0;
    };

    explicit agent_fleet(std::uint64_t seed) : random(seed) {}

    static host_id name(std::size_t it) { return host_id{"host" + std::to_string(it)}; }

    /// `n` hosts, `witnesses` of them witnesses, and `shards` shards of 3 replicas.
    void declare(std::size_t n, std::size_t witnesses, std::size_t shards)
    {
        object_received roster_value{object_kind::roster, 1, "r", {}, {}};
        for (std::size_t it = 0; it < n; ++it) {
            roster_value.hosts.hosts.push_back(roster_host{name(it), {}, {}, {}, {}});
            if (it < witnesses)
                roster_value.hosts.witnesses.push_back(name(it));
        }
        std::sort(roster_value.hosts.hosts.begin(), roster_value.hosts.hosts.end());
        object_received config_value{object_kind::config, 1, "c", {}, {}};
        service_declaration service;
        service.shard_maps.emplace_back();
        for (std::size_t it = 0; it < shards; ++it) {
            shard_declaration shard{shard_name{"shard" + std::to_string(it)}, {}};
            for (const char* replica : {"a", "b", "c"}) {
                const upstream_id id{shard.name.value() + replica};
                shard.replicas.push_back(upstream_declaration{id, {}, {}, 1, 64, 1});
                upstreams.push_back(id);
            }
            service.shard_maps[0].shards.push_back(shard);
        }
        config_value.config.services.push_back(service);
        publish(config_value);
        publish(roster_value);
    }

    void publish(const object_received& value)
    {
        history[{value.kind, value.version}] = value;
        newest[value.kind] = value.version;
    }

    void start(const host_id& host)
    {
        member& it = members[host];
        it.agent = std::make_unique<membership_agent>(host, ++incarnations, random.next(), now);
        it.inbox.clear();
        shown.erase(host);
    }

    void start_all(std::size_t n)
    {
        for (std::size_t it = 0; it < n; ++it)
            start(name(it));
    }

    void feed(const host_id& host, const membership_event& ev)
    {
        member& it = members.at(host);
        for (const membership_action& action : it.agent->handle(ev, now)) {
            if (const auto* sent = std::get_if<send_control>(&action))
                send(host, *sent);
            else if (const auto* read = std::get_if<read_store>(&action); read && store_up)
                wire.emplace(now + 2ms, std::pair{host, stored(read->kind)});
            else if (const auto* change = std::get_if<currency_changed>(&action))
                currency_changes += change->current ? 0 : 1;
        }
    }

    void send(const host_id& from, const send_control& sent)
    {
        ++members[from].sent;
        if (const auto* reply = std::get_if<heartbeat_reply>(&sent.message))
            members[from].largest_message = std::max(members[from].largest_message,
                                                     reply->tokens.size() + reply->updates.size());
        if (is_cut(from, sent.to) || random.unit() < loss)
            return;
        const duration delay = 500us + duration{static_cast<duration::rep>(
                                           random.unit() * static_cast<double>(jitter.count()))};
        if (const auto* push = std::get_if<object_push>(&sent.message))
            wire.emplace(now + delay, std::pair{sent.to, history.at({push->kind, push->version})});
        else
            wire.emplace(now + delay, std::pair{sent.to, message_received{sent.message}});
    }

    [[nodiscard]] membership_event stored(object_kind kind) const
    {
        return history.at({kind, newest.at(kind)});
    }

    [[nodiscard]] bool is_cut(const host_id& a, const host_id& b) const
    {
        return cut_off.contains(a) != cut_off.contains(b);
    }

    void run(duration length)
    {
        for (const time_point end = now + length; now < end;) {
            now += 20ms;
            while (!wire.empty() && wire.begin()->first <= now) {
                const auto [to, ev] = wire.begin()->second;
                wire.erase(wire.begin());
                const auto it = members.find(to);
                if (no_objects.contains(to) && std::holds_alternative<object_received>(ev))
                    continue;
                if (it == members.end() || !it->second.agent)
                    continue;
                if (now < it->second.paused_until)
                    wire.emplace(it->second.paused_until, std::pair{to, ev});
                else
                    feed(to, ev);
            }
            for (auto& [host, it] : members)
                if (it.agent && now >= it.paused_until &&
                    (static_cast<std::uint64_t>(now.time_since_epoch() / 20ms) +
                     stable_hash(host.value())) %
                            5 ==
                        0)
                    feed(host, membership_tick{});
            check();
        }
    }

    /// Records two holders of one upstream, and versions that go back.
    void check()
    {
        for (const upstream_id& upstream : upstreams)
            double_holders += holders(upstream).size() > 1 ? 1 : 0;
        for (auto& [host, it] : members) {
            if (!it.agent)
                continue;
            const std::pair<object_version, object_version> versions{
                it.agent->known_version(object_kind::config),
                it.agent->known_version(object_kind::roster)};
            reverts += versions.first < shown[host].first || versions.second < shown[host].second;
            shown[host] = versions;
        }
    }

    [[nodiscard]] std::set<host_id> holders(const upstream_id& upstream) const
    {
        std::set<host_id> found;
        for (const auto& [host, it] : members)
            if (it.agent && it.agent->holds(upstream, now))
                found.insert(host);
        return found;
    }

    [[nodiscard]] std::map<upstream_id, host_id> assignment() const
    {
        std::map<upstream_id, host_id> held;
        for (const upstream_id& upstream : upstreams)
            for (const host_id& host : holders(upstream))
                held.emplace(upstream, host);
        return held;
    }

    [[nodiscard]] bool all_held() const { return assignment().size() == upstreams.size(); }

    [[nodiscard]] bool is_current(const host_id& host) const
    {
        return now < members.at(host).agent->current_until();
    }

    random_source random;
    time_point now = time_point{} + 1h;
    double loss = 0.0;
    duration jitter = 1ms;
    bool store_up = true;
    std::set<host_id> cut_off;
    // Hosts that see newer versions but never get their content.
    std::set<host_id> no_objects;
    std::map<host_id, member> members;
    std::vector<upstream_id> upstreams;
    std::multimap<time_point, std::pair<host_id, membership_event>> wire;
    std::map<std::pair<object_kind, object_version>, object_received> history;
    std::map<object_kind, object_version> newest;
    std::map<host_id, std::pair<object_version, object_version>> shown;
    incarnation_number incarnations = 100;
    std::size_t double_holders = 0;
    std::size_t reverts = 0;
    std::size_t currency_changes = 0;
};

} // namespace ebonywick
