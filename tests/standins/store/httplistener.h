// Small HTTP/1.1 server on loopback whose handler may leave a request without
// a reply, which the object store's faults need and cpp-httplib does not offer.
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
    // Without the query string, decoded.
    std::string path;
    std::map<std::string, std::string> parameters;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_reply
{
    int status = 200;
    std::string etag;
    std::string body;
    // Without Content-Length, as HTTP allows for a 304.
    bool bare = false;
};

/// Empty: close the connection without a reply.
using http_handler = std::function<std::optional<http_reply>(const http_request&)>;

/// One thread for each connection.
class http_listener
{
public:
    /// `port` 0: the first open() picks a free one.
    http_listener(std::uint16_t port, http_handler handler);
    /// Waits for the handlers that are running.
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// False if the port cannot be used.
    bool open();
    [[nodiscard]] std::uint16_t port() const { return port_; }
    /// Refuses new connections and cuts the open ones.
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
