// HTTP client on one connection, to the store or to another host, for one call at a time.
#pragma once

#include "gateway/timerqueue.h"
#include "httpstream/messagereader.h"
#include "settings/declaration.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ebonywick {

/// Why a call got no reply.
enum class channel_failure : std::uint8_t { no_reply, reply_too_long, reply_too_slow };

/// Connects on demand and reconnects after failures. TCP keep-alive detects a peer whose system is
/// gone; if the system acknowledges but nothing is returned, only the timeout of the call ends it.
/// Not thread-safe.
class http_channel
{
public:
    /// Gets the reply, or nothing if the call failed; the server may have executed it all the
    /// same.
    using reply_handler = std::function<void(std::optional<http_message>)>;
    /// Gets the body of a reply as it arrives, in place of http_message::body.
    using body_handler = std::function<void(std::string_view)>;

    http_channel(boost::asio::io_context& loop, timer_queue& timers, endpoint server);
    ~http_channel();
    http_channel(const http_channel&) = delete;
    http_channel& operator=(const http_channel&) = delete;

    /// Sends an encoded request; no call may be in progress. `timeout` counts from the call or,
    /// if a connection has to be set up, from its completion. The body may be longer if it is
    /// passed on as it arrives.
    void call(std::string request, duration timeout, reply_handler handler,
              body_handler body = nullptr);
    [[nodiscard]] bool busy() const { return handler_ != nullptr; }
    /// Why the last call that failed did so.
    [[nodiscard]] channel_failure last_failure() const { return last_failure_; }
    /// A connection of an earlier call is open. It may have gone silent.
    [[nodiscard]] bool has_kept_connection() const;
    /// Fails the call in progress and closes the connection.
    void abort();
    /// The next call goes to `server`; no call may be in progress.
    void set_server(const endpoint& server);

private:
    struct connection;

    void finish(std::optional<http_message> reply);
    void on_timeout();
    // Bytes of a body that is passed on have arrived.
    void on_body(std::string_view bytes);

    timer_queue& timers_;
    boost::asio::io_context& loop_;
    endpoint server_;
    reply_handler handler_;
    // Null without a connection. Its pending operations share ownership.
    std::shared_ptr<connection> connection_;
    loop_timer timeout_;
    // Timeout of the call in progress, counted from when the connection is established.
    duration call_timeout_{};
    // Of the call in progress.
    body_handler body_;
    // When the body that is arriving has to be complete; time_point::max() before its first bytes.
    time_point body_deadline_ = time_point::max();
    channel_failure last_failure_ = channel_failure::no_reply;
};

} // namespace ebonywick
