// Kept HTTP connections of the callers to the entry hosts.
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

enum class call_end {
    complete,
    // No connection could be made; nothing was sent.
    connect_failed,
    // Sent, and the connection ended before any of the answer came.
    no_reply,
    // The connection ended in the middle of the answer.
    cut,
    // No complete answer within the timeout.
    timed_out,
};

struct http_call
{
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct call_reply
{
    call_end end = call_end::complete;
    int status = 0;
    std::string body;
};

/// Thread-safe; a call blocks its thread.
class host_connections
{
public:
    host_connections();
    ~host_connections();
    host_connections(const host_connections&) = delete;
    host_connections& operator=(const host_connections&) = delete;

    /// `address`: IP:PORT. Never repeats the call.
    call_reply call(const std::string& address, const http_call& request, duration timeout);

private:
    std::unique_ptr<httplib::Client> take(const std::string& address);

    std::mutex mutex_;
    std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> idle_;
};

} // namespace ebonywick::load
