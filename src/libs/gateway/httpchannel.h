// HTTP client on one connection, to the store or to another host, for one call at a time.
#pragma once

#include "gateway/timerqueue.h"
#include "httpstream/messagereader.h"
#include "settings/declaration.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ebonywick {

/// Connects on demand and reconnects after failures. TCP keep-alive detects a peer that has
/// gone silent. Not thread-safe.
class http_channel
{
public:
    /// Gets the reply, or nothing if the call failed; the server may have executed it all the
    /// same.
    using reply_handler = std::function<void(std::optional<http_message>)>;

    http_channel(boost::asio::io_context& loop, timer_queue& timers, endpoint server);
    ~http_channel();
    http_channel(const http_channel&) = delete;
    http_channel& operator=(const http_channel&) = delete;

    /// Sends an encoded request; no call may be in progress. `timeout` counts from the call or,
    /// if a connection has to be set up, from its completion.
    void call(std::string request, duration timeout, reply_handler handler);
    [[nodiscard]] bool busy() const { return handler_ != nullptr; }
    /// Fails the call in progress and closes the connection.
    void abort();
    /// The next call goes to `server`; no call may be in progress.
    void set_server(const endpoint& server);

private:
    struct connection;

    void finish(std::optional<http_message> reply);

    boost::asio::io_context& loop_;
    endpoint server_;
    reply_handler handler_;
    // Null without a connection. Its pending operations share ownership.
    std::shared_ptr<connection> connection_;
    loop_timer timeout_;
    // Timeout of the call in progress, counted from when the connection is established.
    duration call_timeout_{};
};

} // namespace ebonywick
