// Connection pool for all upstreams, within this host's share of each upstream's connection
// limit.
#pragma once

#include "gateway/upstreamconnection.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

namespace ebonywick {

/// Calls to an upstream wait in order of arrival for a connection that suits them. Not thread-safe.
class upstream_pool
{
public:
    /// `connection_limit` returns this host's share of an upstream's connection limit.
    /// `reported`, `leaving` and `refused` as in connection_events.
    upstream_pool(
        boost::asio::io_context& loop, timer_queue& timers,
        std::function<std::size_t(const upstream&)> connection_limit,
        std::function<void(const upstream_pointer&, const platform::decoded_reply&)> reported,
        std::function<void(const upstream_pointer&)> leaving,
        std::function<void(const upstream_pointer&)> refused);
    ~upstream_pool();
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    upstream_call_pointer send(upstream_call_plan plan);
    /// Abandons a call without reporting an outcome. If the request was sent, its connection is
    /// closed, which tells the upstream to drop the request.
    void abandon(const upstream_call_pointer& call);

    /// Opens a connection to an upstream that has none. Returns false if it has one.
    bool warm(const upstream_pointer& to);
    /// Opens a connection if there is room for one, to see whether the upstream refuses it.
    void check(const upstream_pointer& to);
    /// Closes connections that have expired, have been idle for `max_idle` or whose upstream is
    /// unusable, and removes the entries of upstreams that are gone; to be called about once a
    /// second.
    void trim(duration max_idle);

    [[nodiscard]] std::uint64_t connections_opened() const { return opened_total_; }
    [[nodiscard]] std::size_t connection_count() const { return open_connections_; }

private:
    struct pool_entry
    {
        // Keeps the upstream alive, whose address is the key of the map.
        upstream_pointer to;
        // Idle connections; the most recently used one is at the back.
        std::vector<upstream_connection_pointer> idle;
        // Number of connections, including those that are being set up.
        std::size_t count = 0;
        std::size_t connecting = 0;
        // Calls without a connection; may contain calls that are no longer open.
        std::deque<upstream_call_pointer> waiting;
    };

    [[nodiscard]] pool_entry& entry_of(const upstream_pointer& to);
    void on_ready(const upstream_connection_pointer& connection);
    void on_closed(const upstream_connection_pointer& connection);
    void open(const upstream_pointer& to, pool_entry& of);
    // The most recently used idle connection that suits the call; null if there is none.
    [[nodiscard]] static upstream_connection_pointer take_idle(pool_entry& of,
                                                               const upstream_call_plan& plan);
    // Makes room for the calls that no idle connection suits, and opens a connection for them.
    void open_for_waiting(const upstream_pointer& to, pool_entry& of);
    // Closes the least recently used idle connections until a new one may be opened.
    static void evict_idle(pool_entry& of, std::size_t limit);
    static void drop_ended_calls(pool_entry& of);

    boost::asio::io_context& loop_;
    timer_queue& timers_;
    std::function<std::size_t(const upstream&)> connection_limit_;
    connection_events events_;
    // Only trim() removes entries, so that references to an entry stay valid in functions
    // whose callbacks call the pool again.
    std::unordered_map<const upstream*, pool_entry> entries_;
    // All connections that have not been destroyed, also closed ones.
    boost::intrusive::list<upstream_connection, boost::intrusive::constant_time_size<false>>
        connections_;
    // Connections opened since the start.
    std::uint64_t opened_total_ = 0;
    // Connections to all upstreams, including those that are being set up.
    std::size_t open_connections_ = 0;
};

} // namespace ebonywick
