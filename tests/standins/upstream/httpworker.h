// HTTP/1.1 server that serves many ports on one thread with epoll. A server with one thread
// per connection could not serve the calls of 66 upstreams on two cores, nor stop answering
// on some of its connections.
#pragma once

#include "base/clock.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <queue>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

namespace ebonywick::standin {

struct http_request
{
    std::uint64_t connection = 0;
    // Whether it is the first request on its connection.
    bool first = false;
    std::string method;
    std::string path;
    // Names are in lower case.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// `name`: in lower case. Returns an empty text if the header is missing.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// Callbacks of a port, called with the worker's lock held.
struct port_handlers
{
    std::function<void(const http_request&)> on_request;
    // Called with the number of open connections when it changes.
    std::function<void(std::size_t open)> on_connections;
};

/// An event loop on a thread of its own.
class http_worker
{
public:
    http_worker();
    ~http_worker();
    http_worker(const http_worker&) = delete;
    http_worker& operator=(const http_worker&) = delete;

    /// Guards everything that the worker and its ports own.
    std::mutex& lock() { return mutex_; }

    // The caller of the functions below must hold the lock, except before start().
    /// Accepts up to `max_connections` connections and closes further ones at once. Throws
    /// std::system_error if the port is in use.
    void listen(std::uint16_t port, std::size_t max_connections, port_handlers handlers);
    /// Closes the port and resets its connections.
    void close_port(std::uint16_t port);
    /// Stops reading from and writing to each open connection of the port for whose id the
    /// predicate is true.
    void silence(std::uint16_t port, const std::function<bool(std::uint64_t)>& predicate);
    /// Does nothing if the connection has ended or is silent.
    void reply(std::uint64_t connection, int status, std::string_view body);
    /// Calls `action` on the worker's thread, with the lock held, when `due` has passed.
    void run_at(time_point due, std::function<void()> action);

    void start();
    void stop();

private:
    struct connection
    {
        int fd = -1;
        std::uint16_t port = 0;
        bool silent = false;
        // A request is being served. The next one is not parsed until its reply was sent.
        bool busy = false;
        // A request was received before.
        bool served = false;
        std::string input;
        std::string output;
    };

    struct port_state
    {
        int fd = -1;
        std::size_t open = 0;
        std::size_t max_open = 0;
        port_handlers handlers;
    };

    struct timer
    {
        time_point due;
        // Timers with the same due time run in the order in which they were added.
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const timer& o) const
        {
            return due != o.due ? due > o.due : sequence > o.sequence;
        }
    };

    void run();
    void run_timers();
    void accept_connections(std::uint16_t port);
    void receive(std::uint64_t id);
    void parse(std::uint64_t id);
    void flush(std::uint64_t id);
    void close_connection(std::uint64_t id);

    std::mutex mutex_;
    int epoll_ = -1;
    std::atomic<bool> stopping_{false};
    // Events of epoll carry a connection id, or a port number below 2^16.
    std::uint64_t next_id_ = 1U << 16U;
    std::uint64_t next_timer_ = 0;
    std::unordered_map<std::uint64_t, connection> connections_;
    std::map<std::uint16_t, port_state> ports_;
    std::priority_queue<timer> timers_;
    std::thread thread_;
};

} // namespace ebonywick::standin
