// HTTP/1.1 server on the event loop: for callers, the directory, readiness checks, metrics and
// other hosts.
#pragma once

#include "gateway/constants.h"
#include "gateway/sessionkeeper.h"
#include "gateway/timerqueue.h"
#include "httpstream/messagereader.h"
#include "routing/routing.h"
#include "settings/declaration.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace ebonywick {

class http_session;
struct http_session_list;
void intrusive_ptr_add_ref(http_session* it) noexcept;
void intrusive_ptr_release(http_session* it) noexcept;
using http_session_pointer = boost::intrusive_ptr<http_session>;

enum class after_answer : std::uint8_t { keep_open, close };

/// A complete request and the connection for its answer. Valid until it is answered or its
/// disconnect callback is called.
class http_exchange
{
public:
    http_exchange(http_session_pointer session, http_message request, time_point arrival,
                  std::shared_ptr<memory::byte_charge> charge);

    [[nodiscard]] const http_message& request() const { return request_; }
    [[nodiscard]] time_point arrival() const { return arrival_; }
    /// Sets the function to call, once, if the sender closes its connection before the answer.
    void on_disconnect(std::function<void()> on_disconnect);
    /// The connection must be closed after the answer, and the answer must say so in its
    /// `Connection` field.
    [[nodiscard]] bool closes_connection() const;
    /// Sends a complete answer with status line, header and body; to be called at most once.
    /// After `close` the connection is closed whatever the header says. `sent` is called when the
    /// system has taken all of it, unless the connection ends before.
    void answer(std::string bytes, after_answer then, std::function<void()> sent = nullptr);

private:
    http_session_pointer session_;
    http_message request_;
    time_point arrival_;
    // Of the request, as long as the exchange or a copy of it exists.
    std::shared_ptr<memory::byte_charge> charge_;
};

/// A request that could not be read, so that there is no exchange for it.
struct bad_request
{
    read_state state = read_state::malformed;
    // The request was not complete within the header timeout.
    bool timed_out = false;
    // The host has no memory for it.
    bool no_room = false;
};

struct http_server_handlers
{
    std::function<void(http_exchange)> request;
    /// Encodes the answer to a request that cannot be read; the connection is closed after it.
    std::function<std::string(const bad_request&)> encode_refusal;
};

/// Accepts connections on one address and reads their requests. Not thread-safe.
class http_server
{
public:
    /// Listens at once. Throws boost::system::system_error if the address cannot be used. Servers
    /// with the same keeper share its limits; without one there are none.
    http_server(boost::asio::io_context& loop, timer_queue& timers, const endpoint& address,
                http_server_handlers handlers, std::shared_ptr<session_keeper> keeper = nullptr);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Applies to open connections as well, from their next request on.
    void set_limits(const caller_limits& limits);
    /// From now on closes_connection() is true for all exchanges.
    void start_draining() { draining_ = true; }
    /// Closes the listening socket and all connections that have no request in progress and no
    /// answer being sent.
    void close_idle();
    [[nodiscard]] std::size_t session_count() const;

private:
    friend class http_session;
    friend class http_exchange;

    void accept();
    void on_accepted(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& loop_;
    timer_queue& timers_;
    http_server_handlers handlers_;
    std::shared_ptr<session_keeper> keeper_;
    caller_limits limits_;
    bool draining_ = false;
    // For one read of any session; what was read is passed on at once.
    std::array<char, gateway_constants::read_buffer_bytes> input_{};
    boost::asio::ip::tcp::acceptor acceptor_;
    // Ends a pause after a failure to accept.
    loop_timer accept_timer_;
    std::unique_ptr<http_session_list> sessions_;
};

} // namespace ebonywick
