// Connecting, sending of requests and reading of replies on a connection to an upstream.
#include "gateway/upstreamconnection.h"

#include "gateway/socketoptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>

namespace ebonywick {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

// Part of the upstream's idle timeout during which a connection is used. The upstream counts
// from the end of its reply, which is earlier than its arrival here.
constexpr double usable_timeout_ratio = 0.7;
// A call fails after this number of interim replies; an upstream in trouble may send them without
// end.
constexpr std::uint32_t max_interim_replies = 4;
constexpr int status_switching_protocols = 101;
constexpr int first_final_status = 200;

} // namespace

upstream_connection::upstream_connection(asio::io_context& loop, timer_queue& timers,
                                         upstream_pointer to, const connection_events& events)
    : socket_(loop), timers_(timers), to_(std::move(to)), events_(events),
      reader_(message_kind::reply,
              {.body_bytes = gateway_constants::max_upstream_reply_body_bytes}),
      connect_timeout_(timers, [this] {
          const upstream_connection_pointer self{this};
          close();
      })
{
}

void upstream_connection::connect()
{
    connect_timeout_.set_after(gateway_constants::connect_timeout);
    error_code ec;
    const endpoint& to = to_->entry().address;
    const auto ip = asio::ip::make_address(to.ip, ec);
    const tcp::endpoint at{ip, to.port};
    if (!ec)
        socket_.open(at.protocol(), ec);
    if (ec) {
        close();
        return;
    }
    socket_.async_connect(at, [self = upstream_connection_pointer{this}](const error_code& failed) {
        if (!self->closed_)
            self->on_connected(failed);
    });
}

void upstream_connection::on_connected(const error_code& ec)
{
    connect_timeout_.cancel();
    if (ec) {
        const upstream_connection_pointer self{this};
        if (ec == asio::error::connection_refused)
            events_.refused(to_);
        close();
        return;
    }
    error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay{true}, ignored);
    set_unacknowledged_timeout(socket_, gateway_constants::unacknowledged_data_timeout);
    connected_ = true;
    read();
    become_idle();
}

void upstream_connection::become_idle()
{
    idle_since_ = timers_.now();
    events_.ready(upstream_connection_pointer{this});
}

duration upstream_connection::idle_time() const
{
    return timers_.now() - idle_since_;
}

bool upstream_connection::suits(const upstream_call_plan& plan) const
{
    if (!plan.at_most_once)
        return true;
    return idle_time() < gateway_constants::recent_use_limit && !carried_unnamed_reply_;
}

bool upstream_connection::expired() const
{
    return idle_time() > idle_timeout_;
}

void upstream_connection::send(const upstream_call_pointer& call)
{
    output_ = call->plan().encode();
    if (output_.empty()) {
        call->end(call_failure::not_sent);
        become_idle();
        return;
    }
    call_ = call;
    call_->connection_ = this;
    if (call->plan().bodyless_reply)
        reader_.expect_no_body();
    write();
}

void upstream_connection::write()
{
    error_code ec;
    const std::size_t n = socket_.write_some(asio::buffer(output_), ec);
    if (ec && ec != asio::error::would_block) {
        fail(call_failure::lost);
        return;
    }
    if (!ec && n == output_.size()) {
        output_.clear();
        return;
    }
    output_.erase(0, ec ? 0 : n);
    writing_ = true;
    asio::async_write(
        socket_, asio::buffer(output_),
        [self = upstream_connection_pointer{this}](const error_code& failed, std::size_t /*sent*/) {
            self->writing_ = false;
            self->output_.clear();
            if (failed && !self->closed_)
                self->fail(call_failure::lost);
        });
}

void upstream_connection::read()
{
    socket_.async_read_some(asio::buffer(input_), [self = upstream_connection_pointer{this}](
                                                      const error_code& ec, std::size_t n) {
        if (!self->closed_)
            self->on_read(ec, n);
    });
}

void upstream_connection::on_read(const error_code& ec, std::size_t n)
{
    if (ec) {
        // A reply without a length ends with the stream; it is complete only after an orderly
        // end, not after an error.
        if (ec == asio::error::eof && call_ && reader_.end_of_stream() == read_state::complete)
            on_reply();
        if (!closed_)
            fail(call_failure::lost);
        return;
    }
    if (!call_) {
        close();
        return;
    }
    const read_state state = reader_.feed({input_.data(), n});
    note_leaving();
    switch (state) {
    case read_state::need_more:
        read();
        return;
    case read_state::complete:
        on_reply();
        // An interim reply may have been followed by an invalid one.
        if (!closed_ && reader_.state() != read_state::need_more)
            fail(call_failure::lost);
        if (!closed_)
            read();
        return;
    case read_state::header_too_large:
    case read_state::body_too_large:
    case read_state::malformed:
        fail(call_failure::lost);
        return;
    }
}

void upstream_connection::note_leaving()
{
    const http_message* reply = reader_.begun_message();
    if (reply != nullptr && platform::states_leaving(*reply))
        events_.leaving(to_);
}

void upstream_connection::on_reply()
{
    note_leaving();
    http_message message = reader_.take();
    if (message.status < first_final_status) {
        const bool known = message.status != status_switching_protocols &&
                           !call_->plan().bodyless_reply && message.body.empty();
        if (!known || ++interim_replies_ > max_interim_replies)
            fail(call_failure::lost);
        else if (reader_.state() == read_state::complete)
            on_reply();
        return;
    }
    interim_replies_ = 0;
    // Bytes after the reply belong to no request.
    const bool more = reader_.message_started();
    const bool keep = message.keep_alive && !more && !writing_;
    platform::decoded_reply decoded = platform::decode_reply(
        std::move(message),
        call_->plan().bodyless_reply ? platform::bodyless::yes : platform::bodyless::no);
    const bool belongs = decoded.request_id.empty()
                             ? !names_requests_
                             : decoded.request_id == call_->plan().request_id;
    names_requests_ = names_requests_ || !decoded.request_id.empty();
    carried_unnamed_reply_ = carried_unnamed_reply_ || decoded.request_id.empty();
    if (!belongs) {
        // A late second reply to an earlier request. The replies that follow cannot be matched
        // to requests reliably, so the connection is closed.
        fail(call_failure::lost);
        return;
    }
    if (decoded.idle_timeout) {
        const auto kept =
            std::chrono::duration_cast<duration>(*decoded.idle_timeout * usable_timeout_ratio);
        idle_timeout_ = std::min(kept, gateway_constants::max_upstream_idle_time);
    }
    const upstream_connection_pointer self{this};
    events_.reported(to_, decoded);
    const upstream_call_pointer call = std::move(call_);
    call_ = nullptr;
    if (!keep)
        close();
    if (decoded.reply)
        call->end(std::move(*decoded.reply));
    else
        call->end(decoded.failure);
    if (!closed_ && !call_)
        become_idle();
}

void upstream_connection::fail(call_failure failure)
{
    const upstream_connection_pointer self{this};
    const upstream_call_pointer call = std::move(call_);
    call_ = nullptr;
    close();
    if (call)
        call->end(failure);
}

void upstream_connection::close()
{
    if (closed_)
        return;
    close_socket();
    events_.closed(upstream_connection_pointer{this});
}

void upstream_connection::detach()
{
    const upstream_connection_pointer self{this};
    unlink();
    if (!closed_)
        close_socket();
    if (const upstream_call_pointer call = std::exchange(call_, nullptr))
        call->abandon();
}

void upstream_connection::close_socket()
{
    closed_ = true;
    connect_timeout_.cancel();
    error_code ignored;
    socket_.close(ignored);
}

} // namespace ebonywick
