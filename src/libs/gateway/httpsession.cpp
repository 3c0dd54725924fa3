// Reads requests from a connection, dispatches them and writes the answers.
#include "gateway/httpsession.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace ebonywick {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

void intrusive_ptr_add_ref(http_session* it) noexcept
{
    ++it->references_;
}

void intrusive_ptr_release(http_session* it) noexcept
{
    if (--it->references_ == 0)
        delete it;
}

namespace {

constexpr std::string_view header_end = "\r\n\r\n";

} // namespace

http_session::http_session(http_server& server, asio::ip::tcp::socket socket)
    : server_(server), socket_(std::move(socket)),
      reader_(message_kind::request, {server.limits_.header_bytes, server.limits_.body_bytes}),
      timeout_(server.timers_, [this] {
          const http_session_pointer self{this};
          if (!busy() && reader_.message_started())
              refuse({read_state::need_more, true});
          else
              close();
      })
{
    server_.sessions_->push_back(*this);
}

void http_session::apply_limits()
{
    reader_.set_limits({server_.limits_.header_bytes, server_.limits_.body_bytes});
}

void http_session::start()
{
    arm_read_timeout();
    read();
}

void http_session::arm_read_timeout()
{
    timeout_.set_after(reader_.message_started() ? server_.limits_.header_timeout
                                                 : server_.limits_.idle_timeout);
}

void http_session::read()
{
    if (reading_ || closed_)
        return;
    reading_ = true;
    socket_.async_read_some(asio::buffer(input_), [self = http_session_pointer{this}](
                                                      const error_code& ec, std::size_t n) {
        self->reading_ = false;
        if (!self->closed_)
            self->on_read(ec, n);
    });
}

void http_session::on_read(const error_code& ec, std::size_t n)
{
    if (ec) {
        on_disconnected();
        return;
    }
    if (lingering_) {
        read();
        return;
    }
    const bool was_started = reader_.message_started();
    const read_state state = reader_.feed({input_.data(), n});
    if (busy()) {
        // Pipelined requests are buffered up to the limit of one body; then reading stops, and
        // TCP flow control makes the sender wait.
        if (reader_.buffered_bytes() < server_.limits_.body_bytes)
            read();
        return;
    }
    if (state == read_state::need_more) {
        if (!was_started)
            arm_read_timeout();
        if (reader_.expects_continue() && !continue_sent_) {
            continue_sent_ = true;
            error_code ignored;
            // Errors are ignored: a sender that gets no interim reply sends the body after a
            // timeout of its own.
            socket_.write_some(asio::buffer(std::string_view{"HTTP/1.1 100 Continue\r\n\r\n"}),
                               ignored);
        }
        read();
        return;
    }
    dispatch();
}

void http_session::dispatch()
{
    if (reader_.state() != read_state::complete) {
        refuse({reader_.state(), false});
        return;
    }
    timeout_.cancel();
    in_progress_ = true;
    continue_sent_ = false;
    http_message request = reader_.take();
    keep_alive_ = request.keep_alive;
    bodyless_answer_ = request.method == "HEAD";
    // Reading continues, because it is how a disconnect of the sender is noticed.
    read();
    server_.handlers_.request(
        http_exchange{http_session_pointer{this}, std::move(request), server_.timers_.now()});
}

void http_session::refuse(const bad_request& invalid)
{
    timeout_.cancel();
    in_progress_ = true;
    answer(server_.handlers_.encode_refusal(invalid), after_answer::close);
}

void http_session::answer(std::string bytes, after_answer then, std::function<void()> sent)
{
    if (closed_)
        return;
    on_sent_ = std::move(sent);
    on_disconnect_ = nullptr;
    in_progress_ = false;
    close_after_write_ = then == after_answer::close;
    output_ = std::move(bytes);
    if (const auto end = output_.find(header_end);
        std::exchange(bodyless_answer_, false) && end != std::string::npos)
        output_.resize(end + header_end.size());
    write();
}

void http_session::write()
{
    error_code ec;
    const std::size_t n = socket_.write_some(asio::buffer(output_), ec);
    if (ec == asio::error::would_block) {
        ec = {};
    } else if (ec) {
        output_.clear();
        close();
        return;
    }
    if (n == output_.size()) {
        output_.clear();
        on_answer_sent();
        return;
    }
    output_.erase(0, n);
    // The connection is closed if the peer has not received the whole answer by then, so that
    // answers do not accumulate in memory.
    timeout_.set_after(server_.limits_.idle_timeout);
    asio::async_write(
        socket_, asio::buffer(output_),
        [self = http_session_pointer{this}](const error_code& failed, std::size_t /*sent*/) {
            self->output_.clear();
            if (self->closed_)
                return;
            if (failed)
                self->close();
            else
                self->on_answer_sent();
        });
}

void http_session::on_answer_sent()
{
    if (const auto on_sent = std::exchange(on_sent_, nullptr))
        on_sent();
    if (close_after_write_) {
        linger();
        return;
    }
    if (reader_.state() != read_state::need_more) {
        // Posted, because pipelined requests that are answered at once would otherwise recurse
        // once for each request.
        asio::post(server_.loop_, [self = http_session_pointer{this}] {
            if (!self->closed_ && !self->busy())
                self->dispatch();
        });
        return;
    }
    arm_read_timeout();
    read();
}

void http_session::linger()
{
    error_code ec;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (ec) {
        close();
        return;
    }
    lingering_ = true;
    timeout_.set_after(gateway_constants::linger_time);
    read();
}

void http_session::on_disconnected()
{
    const auto on_disconnect = std::exchange(on_disconnect_, nullptr);
    close();
    if (on_disconnect)
        on_disconnect();
}

void http_session::close()
{
    if (closed_)
        return;
    closed_ = true;
    timeout_.cancel();
    error_code ignored;
    socket_.close(ignored);
    // Breaks a reference cycle: the callback owns its request, which owns this session. The
    // callback is destroyed without being called.
    const auto on_disconnect = std::exchange(on_disconnect_, nullptr);
    on_sent_ = nullptr;
}

} // namespace ebonywick
