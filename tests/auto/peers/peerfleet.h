// Hosts that exchange heartbeats, queries and digests in simulated time.
#pragma once

#include "peers/digestqueries.h"
#include "peers/peertable.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ebonywick {

/// A fleet of five failure domains whose first hosts are strong. Messages take no time. All
/// hosts are registered and up at the start; `link` says whether two hosts reach each other.
struct peer_fleet
{
    struct host
    {
        explicit host(const host_record& it) : record(it), table(it), queries(it) {}
        host_record record;
        peer_table table;
        digest_queries queries;
        bool up = true;
        bool leaving = false;
        // Messages and bytes sent and received in the last step.
        std::size_t messages = 0;
        std::size_t bytes = 0;
    };

    explicit peer_fleet(std::size_t size, std::size_t strong = 15)
    {
        for (std::size_t it = 0; it < size; ++it) {
            const auto port = static_cast<std::uint16_t>(it + 1);
            hosts.push_back(std::make_unique<host>(
                host_record{.id = host_id{"host-" + std::to_string(it)},
                            .incarnation = 1'000'000'000'000 + it,
                            .callers = {"10.0.0.1", port},
                            .heartbeats = {"10.0.0.2", port},
                            .control = {"10.0.0.3", port},
                            .domain = failure_domain_id{"d" + std::to_string(it % domains)},
                            .processor_share = it < strong ? 0.5 : 0.12}));
        }
        for (const auto& it : hosts) {
            for (const auto& other : hosts)
                it->table.upsert(other->record, now);
        }
    }

    [[nodiscard]] static std::size_t domain_of(std::size_t host) { return host % domains; }

    /// One heartbeat interval of every host.
    void step()
    {
        for (const auto& it : hosts)
            it->messages = it->bytes = 0;
        for (std::size_t it = 0; it < hosts.size(); ++it) {
            if (hosts[it]->up)
                send_heartbeats(it);
        }
        now += hosts.front()->table.heartbeat_interval();
    }
    /// Sends the heartbeats and queries of one host.
    void send_heartbeats(std::size_t from)
    {
        host& it = *hosts[from];
        it.table.set_own_state(!it.leaving, false, true);
        it.table.update_relays(now);
        static_cast<void>(it.table.calling_hosts(now));
        for (const endpoint& to : it.table.heartbeat_targets(it.leaving))
            deliver(from, to.port - 1U, {heartbeat_of(it), 0, 0, {}});
        if (it.table.small_fleet())
            return;
        for (const host_record& to : it.queries.next(it.table.relays(), now))
            deliver(from, to.heartbeats.port - 1U, {heartbeat_of(it), 1, 0, {}});
    }
    void run(duration time)
    {
        for (const time_point end = now + time; now < end;)
            step();
    }
    /// Number of hosts that are up and whose directory names `of`.
    [[nodiscard]] std::size_t named_by(std::size_t of)
    {
        std::size_t out = 0;
        for (const auto& it : hosts) {
            if (!it->up)
                continue;
            for (const host_record& entry : it->table.entry_hosts(now))
                out += entry.id == hosts[of]->record.id ? 1 : 0;
        }
        return out;
    }
    /// Whether each host takes itself for an entry host.
    [[nodiscard]] std::vector<bool> entry_hosts_by_number()
    {
        std::vector<bool> out;
        for (const auto& it : hosts) {
            const auto all = it->table.entry_hosts(now);
            out.push_back(std::any_of(all.begin(), all.end(), [&](const host_record& entry) {
                return entry.id == it->record.id;
            }));
        }
        return out;
    }
    [[nodiscard]] std::size_t up_count() const
    {
        std::size_t out = 0;
        for (const auto& it : hosts)
            out += it->up ? 1 : 0;
        return out;
    }

    static constexpr std::size_t domains = 5;
    time_point now{std::chrono::seconds{1000}};
    std::vector<std::unique_ptr<host>> hosts;
    std::function<bool(std::size_t from, std::size_t to)> link = [](std::size_t, std::size_t) {
        return true;
    };

private:
    [[nodiscard]] host_heartbeat heartbeat_of(const host& it) const
    {
        return {it.record.id, it.record.incarnation, true, it.leaving, false, {}, true};
    }
    void deliver(std::size_t from, std::size_t to, const peer_message& message)
    {
        const std::size_t bytes = encode_peer_message(message).size();
        ++hosts[from]->messages;
        hosts[from]->bytes += bytes;
        host& it = *hosts[to];
        if (!it.up || !link(from, to))
            return;
        ++it.messages;
        it.bytes += bytes;
        it.table.record_heartbeat(message.heartbeat, now);
        if (message.answered_query != 0) {
            it.table.record_digest(message.digest, {}, now);
            it.queries.answered(message.heartbeat.id, now);
        }
        if (message.query != 0)
            deliver(to, from, {heartbeat_of(it), 0, message.query, it.table.digest(now)});
    }
};

} // namespace ebonywick
