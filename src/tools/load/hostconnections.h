// Pool of keep-alive HTTP connections from the callers to the entry hosts.
#pragma once

#include "base/clock.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace httplib {
class Client;
}

namespace ebonywick::load {

enum class call_outcome {
    complete,
    // No connection could be established; nothing was sent.
    connect_failed,
    // The connection ended before any part of the response arrived.
    no_reply,
    // The connection ended in the middle of the response.
    cut,
    // No complete response within the timeout.
    timed_out,
};

struct http_request
{
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct http_response
{
    call_outcome outcome = call_outcome::complete;
    int status = 0;
    std::string body;
};

/// Thread-safe; call() blocks the calling thread.
class host_connections
{
public:
    host_connections();
    ~host_connections();
    host_connections(const host_connections&) = delete;
    host_connections& operator=(const host_connections&) = delete;

    /// `address`: IP:PORT; throws std::runtime_error if it isn't. Never retries.
    http_response call(const std::string& address, const http_request& request, duration timeout);

private:
    std::unique_ptr<httplib::Client> take_connection(const std::string& address);

    std::mutex mutex_;
    std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> idle_;
};

} // namespace ebonywick::load
