// Runs the socket's operations until they end or the time is over.
#include "upstreamlink/linkchannel.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>

#include <sys/socket.h>

namespace ebonywick {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

constexpr std::size_t read_buffer_bytes = 16384;
// A reply fails after this number of interim ones; a peer in trouble may send them without end.
constexpr std::uint32_t max_interim_replies = 4;
constexpr int status_switching_protocols = 101;
constexpr int first_final_status = 200;

} // namespace

struct link_channel::state
{
    state(const endpoint& to, message_limits with) : peer(to), limits(with) {}

    // Runs the operations that have been started until `ended` or the time is over; then the
    // socket is closed. False if it was closed.
    bool run(const bool& ended, time_point until);
    void close();
    void read(bool& ended);
    // Takes interim replies out of the reader. True if the final reply is complete or none can
    // follow.
    [[nodiscard]] bool at_end(read_state is);

    endpoint peer;
    message_limits limits;
    asio::io_context loop{1};
    tcp::socket socket{loop};
    std::atomic<bool> stopping = false;
    // Of the current reply.
    std::unique_ptr<message_reader> reader;
    std::uint32_t interim_replies = 0;
    std::optional<http_message> reply;
    std::array<char, read_buffer_bytes> input{};
};

void link_channel::state::close()
{
    error_code ignored;
    socket.close(ignored);
}

bool link_channel::state::run(const bool& ended, time_point until)
{
    loop.restart();
    while (!ended && !stopping && boot_clock::now() < until) {
        // In short steps, since the loop's clock may differ from ours.
        if (loop.run_one_for(until - boot_clock::now()) == 0)
            break;
    }
    if (ended && !stopping)
        return true;
    close();
    // The handlers of the operations that were cancelled refer to the caller's variables.
    loop.restart();
    loop.run();
    return false;
}

bool link_channel::state::at_end(read_state is)
{
    while (is == read_state::complete) {
        http_message message = reader->take();
        if (message.status >= first_final_status) {
            reply = std::move(message);
            return true;
        }
        if (message.status == status_switching_protocols || ++interim_replies > max_interim_replies)
            return true;
        is = reader->state();
    }
    return is != read_state::need_more;
}

void link_channel::state::read(bool& ended)
{
    socket.async_read_some(asio::buffer(input),
                           [this, &ended](const error_code& ec, std::size_t n) {
                               if (ec) {
                                   // A reply without a length ends with the connection.
                                   if (ec == asio::error::eof)
                                       (void)at_end(reader->end_of_stream());
                                   ended = true;
                                   return;
                               }
                               ended = at_end(reader->feed({input.data(), n}));
                               if (!ended)
                                   read(ended);
                           });
}

link_channel::link_channel(const endpoint& peer, message_limits limits)
    : state_(std::make_unique<state>(peer, limits))
{
}

link_channel::~link_channel() = default;

bool link_channel::connect(duration timeout)
{
    state& self = *state_;
    self.close();
    error_code ec;
    const auto ip = asio::ip::make_address(self.peer.ip, ec);
    if (ec || self.stopping)
        return false;
    bool ended = false;
    error_code failed;
    self.socket.async_connect({ip, self.peer.port}, [&](const error_code& result) {
        failed = result;
        ended = true;
    });
    if (!self.run(ended, boot_clock::now() + timeout))
        return false;
    if (failed) {
        self.close();
        return false;
    }
    self.socket.set_option(tcp::no_delay{true}, ec);
    return true;
}

bool link_channel::is_open() const
{
    const state& self = *state_;
    if (!self.socket.is_open() || self.stopping)
        return false;
    char byte = 0;
    // Not through the socket object, whose reads would take the byte.
    const ssize_t n = ::recv(const_cast<tcp::socket&>(self.socket).native_handle(), &byte, 1,
                             MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::optional<http_message> link_channel::exchange(const std::string& request, duration timeout)
{
    state& self = *state_;
    if (!self.socket.is_open() || self.stopping)
        return std::nullopt;
    self.reader = std::make_unique<message_reader>(message_kind::reply, self.limits);
    self.interim_replies = 0;
    self.reply.reset();
    bool ended = false;
    asio::async_write(self.socket, asio::buffer(request),
                      [&](const error_code& ec, std::size_t /*sent*/) {
                          if (ec)
                              ended = true;
                          else
                              self.read(ended);
                      });
    if (!self.run(ended, boot_clock::now() + timeout))
        return std::nullopt;
    // Bytes after the reply belong to no request.
    if (!self.reply || !self.reply->keep_alive || self.reader->message_started())
        self.close();
    return std::move(self.reply);
}

void link_channel::stop()
{
    state_->stopping = true;
    // Wakes run(); a later one sees the flag.
    asio::post(state_->loop, [] {});
}

} // namespace ebonywick
