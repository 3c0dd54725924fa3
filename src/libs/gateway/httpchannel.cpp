// Connection of an HTTP channel.
#include "gateway/httpchannel.h"

#include "gateway/constants.h"
#include "gateway/socketoptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace ebonywick {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

// What another host passes on of the store; a fleet of thousands of upstreams has some hundred kB.
constexpr std::uint64_t max_kept_reply_bytes = std::uint64_t{4} << 20U;
// The store bounds an object and a page of a list, but not the changes that one watch returns.
constexpr std::uint64_t max_passed_reply_bytes = std::uint64_t{64} << 20U;

} // namespace

struct http_channel::connection : std::enable_shared_from_this<http_channel::connection>
{
    connection(asio::io_context& loop, http_channel& of)
        : socket(loop), owner(&of),
          reader(message_kind::reply, {.body_bytes = max_kept_reply_bytes})
    {
    }

    void connect(const endpoint& to);
    void send(std::string request);
    // Whether the body of the next reply is passed on as it arrives.
    void expect_body(bool passed_on);
    void read();
    void fail(channel_failure why = channel_failure::no_reply);
    void close();

    tcp::socket socket;
    // The channel, which outlives the connection until close(); null afterwards.
    http_channel* owner;
    message_reader reader;
    std::array<char, gateway_constants::read_buffer_bytes> input{};
    std::string output;
    bool connected = false;
};

void http_channel::connection::connect(const endpoint& to)
{
    error_code ec;
    const auto ip = asio::ip::make_address(to.ip, ec);
    const tcp::endpoint at{ip, to.port};
    if (!ec)
        socket.open(at.protocol(), ec);
    if (ec) {
        asio::post(socket.get_executor(), [self = shared_from_this()] { self->fail(); });
        return;
    }
    socket.async_connect(at, [self = shared_from_this()](const error_code& failed) {
        if (self->owner == nullptr)
            return;
        if (failed) {
            self->fail();
            return;
        }
        error_code ignored;
        self->socket.set_option(tcp::no_delay{true}, ignored);
        set_keepalive_probes(self->socket);
        set_unacknowledged_timeout(self->socket, gateway_constants::store_call_margin);
        self->connected = true;
        self->owner->timeout_.set_after(self->owner->call_timeout_);
        self->read();
        if (!self->output.empty())
            self->send(std::move(self->output));
    });
}

void http_channel::connection::send(std::string request)
{
    output = std::move(request);
    if (!connected)
        return;
    asio::async_write(socket, asio::buffer(output),
                      [self = shared_from_this()](const error_code& ec, std::size_t /*sent*/) {
                          self->output.clear();
                          if (ec)
                              self->fail();
                      });
}

void http_channel::connection::expect_body(bool passed_on)
{
    reader.set_limits({.body_bytes = passed_on ? max_passed_reply_bytes : max_kept_reply_bytes});
    if (!passed_on) {
        reader.set_body_sink(nullptr);
        return;
    }
    reader.set_body_sink([this](std::string_view bytes) {
        if (owner != nullptr)
            owner->on_body(bytes);
    });
}

void http_channel::connection::read()
{
    socket.async_read_some(
        asio::buffer(input), [self = shared_from_this()](const error_code& ec, std::size_t n) {
            if (self->owner == nullptr)
                return;
            const bool expected = self->owner->handler_ != nullptr;
            read_state state = read_state::malformed;
            if (!ec && expected)
                state = self->reader.feed({self->input.data(), n});
            else if (ec == asio::error::eof && expected)
                state = self->reader.end_of_stream();
            if (state == read_state::need_more) {
                self->read();
                return;
            }
            if (state != read_state::complete) {
                self->fail(state == read_state::body_too_large ? channel_failure::reply_too_long
                                                               : channel_failure::no_reply);
                return;
            }
            http_message reply = self->reader.take();
            http_channel* const channel = self->owner;
            if (ec || !reply.keep_alive || self->reader.message_started())
                self->close();
            else
                self->read();
            channel->finish(std::move(reply));
        });
}

void http_channel::connection::fail(channel_failure why)
{
    if (owner == nullptr)
        return;
    http_channel* const of = owner;
    of->last_failure_ = why;
    close();
    of->finish(std::nullopt);
}

void http_channel::connection::close()
{
    if (owner == nullptr)
        return;
    const auto self = std::move(owner->connection_);
    owner->connection_ = nullptr;
    owner = nullptr;
    error_code ignored;
    socket.close(ignored);
}

http_channel::http_channel(asio::io_context& loop, timer_queue& timers, endpoint server)
    : timers_(timers), loop_(loop), server_(std::move(server)),
      timeout_(timers, [this] { on_timeout(); })
{
}

http_channel::~http_channel()
{
    if (connection_)
        connection_->close();
}

void http_channel::call(std::string request, duration timeout, reply_handler handler,
                        body_handler body)
{
    handler_ = std::move(handler);
    body_ = std::move(body);
    body_deadline_ = time_point::max();
    last_failure_ = channel_failure::no_reply;
    call_timeout_ = timeout;
    const bool connected = connection_ && connection_->connected;
    timeout_.set_after(connected ? timeout : gateway_constants::store_connect_timeout);
    if (!connection_) {
        connection_ = std::make_shared<connection>(loop_, *this);
        connection_->connect(server_);
    }
    connection_->expect_body(body_ != nullptr);
    connection_->send(std::move(request));
}

void http_channel::set_server(const endpoint& server)
{
    if (server == server_)
        return;
    if (connection_)
        connection_->close();
    server_ = server;
}

bool http_channel::has_kept_connection() const
{
    return connection_ && connection_->connected && !busy();
}

void http_channel::abort()
{
    if (connection_)
        connection_->fail();
    else
        finish(std::nullopt);
}

void http_channel::on_timeout()
{
    const bool too_slow = timers_.now() >= body_deadline_;
    if (connection_)
        connection_->fail(too_slow ? channel_failure::reply_too_slow : channel_failure::no_reply);
    else
        finish(std::nullopt);
}

void http_channel::on_body(std::string_view bytes)
{
    if (!body_)
        return;
    const time_point now = timers_.now();
    if (body_deadline_ == time_point::max())
        body_deadline_ = now + gateway_constants::max_reply_time;
    const duration pause = std::min(call_timeout_, gateway_constants::store_call_margin);
    timeout_.set(std::min(now + pause, body_deadline_));
    body_(bytes);
}

void http_channel::finish(std::optional<http_message> reply)
{
    timeout_.cancel();
    body_ = nullptr;
    const auto handler = std::exchange(handler_, nullptr);
    if (handler)
        handler(std::move(reply));
}

} // namespace ebonywick
