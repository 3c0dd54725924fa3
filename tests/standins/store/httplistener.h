// Small HTTP/1.1 server on loopback whose handler can close a connection without a reply.
// The faults of the object store need that, and cpp-httplib does not support it.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace ebonywick::standin {

struct http_request
{
    std::string method;
    // Percent-decoded, without the query string.
    std::string path;
    // Parameters of the query string, percent-decoded.
    std::map<std::string, std::string> parameters;
    // Names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_reply
{
    int status = 200;
    std::string etag;
    std::string body;
    // HTTP permits a 304 without Content-Length.
    bool omit_content_length = false;
    // Store-Epoch; left out if empty.
    std::string epoch = {};
};

/// Returns empty to close the connection without a reply.
using http_handler = std::function<std::optional<http_reply>(const http_request&)>;

/// Serves each connection on a thread of its own.
class http_listener
{
public:
    /// `port`: 0 for a free port, which the first open() chooses.
    http_listener(std::uint16_t port, http_handler handler);
    /// Closes all connections and waits for running handlers.
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Starts to listen; false if the port can't be bound.
    bool open();
    [[nodiscard]] std::uint16_t port() const { return port_; }
    /// Stops listening and shuts down the open connections. open() may be called again.
    void close();

private:
    void accept_connections(int listening);
    void serve(int connection);

    std::uint16_t port_;
    const http_handler handler_;
    std::mutex mutex_;
    std::condition_variable ended_;
    int listening_ = -1;
    std::set<int> connections_;
    std::jthread acceptor_;
};

} // namespace ebonywick::standin
