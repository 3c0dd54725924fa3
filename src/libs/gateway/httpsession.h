// One connection to the HTTP server.
#pragma once

#include "gateway/constants.h"
#include "gateway/httpserver.h"

#include <boost/intrusive/list.hpp>

#include <cstdint>

namespace ebonywick {

/// Serves one request at a time; pipelined requests wait. Reference-counted: pending operations
/// and exchanges keep it alive. Not thread-safe.
class http_session : public boost::intrusive::list_base_hook<
                         boost::intrusive::link_mode<boost::intrusive::auto_unlink>>,
                     public kept_session
{
public:
    http_session(http_server& server, boost::asio::ip::tcp::socket socket);
    // The list hook unlinks itself, because pending operations may keep a session alive longer
    // than its server.
    ~http_session() = default;
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    void start();
    void close();
    /// Takes over the server's limits for the requests that have not been started.
    void apply_limits();
    /// A request is in progress, its answer is being sent, or the peer has yet to read the last
    /// one.
    [[nodiscard]] bool busy() const { return in_progress_ || !output_.empty() || lingering_; }
    /// Reading has stopped for want of room.
    [[nodiscard]] bool held_back() const { return held_back_; }
    /// Goes on reading if there is room now; true if it does.
    bool resume();
    /// What the session holds that giving it up would free, at this time.
    [[nodiscard]] memory::holder held() const;
    /// Frees what it holds: rejects the request that is being read, or closes the connection.
    void give_up();

private:
    friend class http_exchange;
    friend void intrusive_ptr_add_ref(http_session* it) noexcept;
    friend void intrusive_ptr_release(http_session* it) noexcept;

    void read();
    void on_readable(const boost::system::error_code& ec);
    void on_read(const boost::system::error_code& ec, std::size_t n);
    void on_incomplete(bool was_started);
    // Reads on, or stops until there is room.
    void read_if_room();
    [[nodiscard]] bool has_room() const;
    void send_continue();
    // Charges what reader_ holds.
    void update_charges();
    void dispatch();
    void refuse(const bad_request& invalid);
    void answer(std::string bytes, after_answer then, std::function<void()> sent = nullptr);
    void write();
    void on_answer_sent();
    // Ends the sending side and discards what arrives until the peer has ended its side too: with
    // unread bytes the system would reset the connection, and the peer lose the end of the answer.
    void linger();
    void on_disconnected();
    void arm_read_timeout();

    http_server& server_;
    boost::asio::ip::tcp::socket socket_;
    message_reader reader_;
    // Bytes of the answer that are not sent yet.
    std::string output_;
    // Of the request that is being read.
    memory::byte_charge header_charge_;
    memory::byte_charge body_charge_;
    // Of output_.
    memory::byte_charge answer_charge_;
    // Of the system's buffer while the session is held back.
    memory::byte_charge receive_charge_;
    std::uint32_t address_ = 0;
    time_point opened_at_;
    // When the last byte was received or an answer begun.
    time_point progress_at_;
    loop_timer timeout_;
    std::function<void()> on_disconnect_;
    // Called when output_ has been sent.
    std::function<void()> on_sent_;
    bool in_progress_ = false;
    bool reading_ = false;
    bool held_back_ = false;
    bool close_after_write_ = false;
    bool keep_alive_ = true;
    // The answer ends with its header, because the request is a HEAD.
    bool bodyless_answer_ = false;
    bool continue_sent_ = false;
    bool lingering_ = false;
    bool closed_ = false;
    std::uint32_t references_ = 0;
};

/// The open sessions of one server.
struct http_session_list
    : boost::intrusive::list<http_session, boost::intrusive::constant_time_size<false>>
{
};

} // namespace ebonywick
