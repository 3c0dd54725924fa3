// Runs several membership agents in memory, with simulated time and with seeded
// message loss and delay.
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

/// Fleet of agents with a simulated network and store. The store holds the objects
/// passed to publish() and can be read while `store_available` is set.
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

    static host_id host_name(std::size_t it) { return host_id{"host" + std::to_string(it)}; }

    /// Publishes a roster of `n` hosts, the first `witnesses` of them witnesses, and a
    /// configuration of `shards` shards with 3 replicas each.
    void declare(std::size_t n, std::size_t witnesses, std::size_t shards)
    {
        object_received roster_value{object_kind::roster, 1, "r", {}, {}};
        for (std::size_t it = 0; it < n; ++it) {
            roster_value.hosts.hosts.push_back(roster_host{host_name(it), {}, {}, {}, {}});
            if (it < witnesses)
                roster_value.hosts.witnesses.push_back(host_name(it));
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
        last_versions.erase(host);
    }

    void start_all(std::size_t n)
    {
        for (std::size_t it = 0; it < n; ++it)
            start(host_name(it));
    }

    void deliver(const host_id& host, const membership_event& ev)
    {
        member& it = members.at(host);
        for (const membership_action& action : it.agent->handle(ev, now)) {
            if (const auto* sent = std::get_if<send_control>(&action))
                send(host, *sent);
            else if (const auto* read = std::get_if<read_store>(&action); read && store_available)
                in_flight.emplace(now + 2ms, std::pair{host, stored(read->kind)});
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
        if (is_partitioned(from, sent.to) || random.uniform() < loss)
            return;
        const duration delay = 500us + duration{static_cast<duration::rep>(
                                           random.uniform() * static_cast<double>(jitter.count()))};
        if (const auto* push = std::get_if<object_push>(&sent.message))
            in_flight.emplace(now + delay,
                              std::pair{sent.to, history.at({push->kind, push->version})});
        else
            in_flight.emplace(now + delay, std::pair{sent.to, message_received{sent.message}});
    }

    [[nodiscard]] membership_event stored(object_kind kind) const
    {
        return history.at({kind, newest.at(kind)});
    }

    [[nodiscard]] bool is_partitioned(const host_id& a, const host_id& b) const
    {
        return partitioned.contains(a) != partitioned.contains(b);
    }

    void run(duration length)
    {
        for (const time_point end = now + length; now < end;) {
            now += 20ms;
            while (!in_flight.empty() && in_flight.begin()->first <= now) {
                const auto [to, ev] = in_flight.begin()->second;
                in_flight.erase(in_flight.begin());
                const auto it = members.find(to);
                if (without_objects.contains(to) && std::holds_alternative<object_received>(ev))
                    continue;
                if (it == members.end() || !it->second.agent)
                    continue;
                if (now < it->second.paused_until)
                    in_flight.emplace(it->second.paused_until, std::pair{to, ev});
                else
                    deliver(to, ev);
            }
            for (auto& [host, it] : members)
                if (it.agent && now >= it.paused_until &&
                    (static_cast<std::uint64_t>(now.time_since_epoch() / 20ms) +
                     stable_hash(host.value())) %
                            5 ==
                        0)
                    deliver(host, membership_tick{});
            check();
        }
    }

    /// Counts upstreams with two holders, and hosts whose versions went back.
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
            version_regressions += versions.first < last_versions[host].first ||
                                   versions.second < last_versions[host].second;
            last_versions[host] = versions;
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
    bool store_available = true;
    std::set<host_id> partitioned;
    // Hosts that hear of newer versions but never get their content.
    std::set<host_id> without_objects;
    std::map<host_id, member> members;
    std::vector<upstream_id> upstreams;
    std::multimap<time_point, std::pair<host_id, membership_event>> in_flight;
    std::map<std::pair<object_kind, object_version>, object_received> history;
    std::map<object_kind, object_version> newest;
    std::map<host_id, std::pair<object_version, object_version>> last_versions;
    incarnation_number incarnations = 100;
    std::size_t double_holders = 0;
    std::size_t version_regressions = 0;
    std::size_t currency_changes = 0;
};

} // namespace ebonywick
