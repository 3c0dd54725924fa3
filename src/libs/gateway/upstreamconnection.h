// One HTTP connection to an upstream, for one call at a time.
#pragma once

#include "gateway/constants.h"
#include "gateway/timerqueue.h"
#include "gateway/upstreamcall.h"
#include "httpstream/messagereader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>

#include <array>
#include <functional>

namespace ebonywick {

class upstream_connection;
using upstream_connection_pointer = boost::intrusive_ptr<upstream_connection>;

/// Callbacks to the pool that owns a connection.
struct connection_events
{
    /// Connected, or free again after a call.
    std::function<void(const upstream_connection_pointer&)> ready;
    /// Closed, for any reason; called once.
    std::function<void(const upstream_connection_pointer&)> closed;
    /// A reply has arrived, which may hold load and cold-start state of the upstream. Called
    /// before the call ends.
    std::function<void(const upstream_pointer&, const platform::decoded_reply&)> reported;
    /// The header of a reply has stated that the upstream is leaving. Also called if the reply
    /// turns out to be incomplete or to belong to another request.
    std::function<void(const upstream_pointer&)> leaving;
    /// A connection was refused: no process listens at the address.
    std::function<void(const upstream_pointer&)> refused;
};

/// Reference-counted; pending operations keep it alive. Bytes that arrive outside of a call, or
/// that belong to another request, never become a reply: the connection is closed instead. Not
/// thread-safe.
class upstream_connection
    : public boost::intrusive_ref_counter<upstream_connection, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    upstream_connection(boost::asio::io_context& loop, timer_queue& timers, upstream_pointer to,
                        const connection_events& events);

    void connect();
    /// Sends the call; the connection must be idle.
    void send(const upstream_call_pointer& call);
    void close();
    /// Closes the connection without a callback and abandons its call. The pool may be destroyed
    /// afterwards.
    void detach();

    [[nodiscard]] const upstream_pointer& to() const { return to_; }
    /// The pool has counted the connection as established.
    [[nodiscard]] bool ever_ready() const { return ever_ready_; }
    void mark_ready() { ever_ready_ = true; }
    [[nodiscard]] bool idle() const { return connected_ && !closed_ && !call_; }
    /// Time since the last reply, or since the connection was established.
    [[nodiscard]] duration idle_time() const;
    /// Whether the call may be sent on this connection. One that must run at most once needs a
    /// connection that the upstream has not closed as idle, because it cannot be repeated if it
    /// is lost there, and on which a late copy of an earlier reply cannot be taken for its own.
    [[nodiscard]] bool suits(const upstream_call_plan& plan) const;
    /// Idle for longer than the upstream or this host keeps it open.
    [[nodiscard]] bool expired() const;

private:
    void on_connected(const boost::system::error_code& ec);
    void read();
    void on_read(const boost::system::error_code& ec, std::size_t n);
    // Evaluates the header of the current reply, if it has arrived.
    void note_leaving();
    // Takes the complete reply out of reader_ and ends the call with it. Interim replies are
    // skipped.
    void on_reply();
    void write();
    // Closes the connection and ends the call, if there is one, with `failure`.
    void fail(call_failure failure);
    void become_idle();
    void close_socket();

    boost::asio::ip::tcp::socket socket_;
    timer_queue& timers_;
    upstream_pointer to_;
    const connection_events& events_;
    message_reader reader_;
    std::array<char, gateway_constants::read_buffer_bytes> input_{};
    std::string output_;
    upstream_call_pointer call_;
    loop_timer connect_timeout_;
    time_point idle_since_{};
    duration idle_timeout_ = gateway_constants::max_upstream_idle_time;
    // Interim replies to the current call.
    std::uint32_t interim_replies_ = 0;
    // A reply on this connection has named its request. One that does not, later, may belong to
    // an earlier request.
    bool names_requests_ = false;
    // A reply on this connection has not named its request. A second copy of it cannot be told
    // from the reply to a later request.
    bool carried_unnamed_reply_ = false;
    bool connected_ = false;
    bool ever_ready_ = false;
    bool writing_ = false;
    bool closed_ = false;
};

} // namespace ebonywick
