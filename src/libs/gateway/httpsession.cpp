// Reads requests from a connection, dispatches them and writes the answers.
#include "gateway/httpsession.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
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

using memory::byte_class;

constexpr std::string_view header_end = "\r\n\r\n";

std::uint32_t address_of(const asio::ip::tcp::socket& socket)
{
    error_code ec;
    const auto peer = socket.remote_endpoint(ec);
    return ec || !peer.address().is_v4() ? 0 : peer.address().to_v4().to_uint();
}

} // namespace

http_session::http_session(http_server& server, asio::ip::tcp::socket socket)
    : server_(server), socket_(std::move(socket)),
      reader_(message_kind::request, {server.limits_.header_bytes, server.limits_.body_bytes}),
      header_charge_(server.keeper_->account(), byte_class::caller_headers),
      body_charge_(server.keeper_->account(), byte_class::caller_bodies),
      answer_charge_(server.keeper_->account(), byte_class::answers),
      receive_charge_(server.keeper_->account(), byte_class::caller_bodies),
      address_(address_of(socket_)), opened_at_(server.timers_.now()), progress_at_(opened_at_),
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
    if (reading_ || closed_ || held_back_)
        return;
    reading_ = true;
    // Waits without a buffer, so that idle connections hold none.
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = http_session_pointer{this}](const error_code& ec) {
                           self->reading_ = false;
                           if (!self->closed_)
                               self->on_readable(ec);
                       });
}

void http_session::on_readable(const error_code& ec)
{
    error_code read_error = ec;
    std::size_t n = 0;
    if (!read_error)
        n = socket_.read_some(asio::buffer(server_.input_), read_error);
    if (read_error == asio::error::would_block)
        read();
    else
        on_read(read_error, n);
}

void http_session::on_read(const error_code& ec, std::size_t n)
{
    if (ec) {
        on_disconnected();
        return;
    }
    // The connection ends with the answer; what follows is not read as a request.
    if (lingering_ || (close_after_write_ && busy())) {
        read();
        return;
    }
    progress_at_ = server_.timers_.now();
    const bool was_started = reader_.message_started();
    const read_state state = reader_.feed({server_.input_.data(), n});
    update_charges();
    if (busy()) {
        // Little is read ahead of the answers: reading goes on only because it is how a disconnect
        // is noticed. Then TCP flow control makes the sender wait.
        if (reader_.held_bytes() < gateway_constants::read_buffer_bytes)
            read();
        return;
    }
    if (state == read_state::need_more)
        on_incomplete(was_started);
    else
        dispatch();
}

void http_session::on_incomplete(bool was_started)
{
    if (!was_started)
        arm_read_timeout();
    if (reader_.expects_continue() && !continue_sent_)
        send_continue();
    read_if_room();
}

void http_session::send_continue()
{
    continue_sent_ = true;
    error_code ignored;
    // Errors are ignored: a sender that gets no interim reply sends the body after a timeout of its
    // own.
    socket_.write_some(asio::buffer(std::string_view{"HTTP/1.1 100 Continue\r\n\r\n"}), ignored);
}

void http_session::update_charges()
{
    const std::uint64_t held = reader_.held_bytes();
    const auto small = std::min<std::uint64_t>(held, gateway_constants::small_request_bytes);
    header_charge_.resize(small);
    body_charge_.resize(held - small);
}

bool http_session::has_room() const
{
    const bool small = body_charge_.size() == 0;
    const auto of = small ? byte_class::caller_headers : byte_class::caller_bodies;
    return server_.keeper_->account()->room(of) >= gateway_constants::read_buffer_bytes;
}

void http_session::read_if_room()
{
    if (has_room()) {
        read();
        return;
    }
    held_back_ = true;
    receive_charge_.resize(gateway_constants::receive_buffer_bytes);
    server_.keeper_->count_held_back();
    server_.keeper_->on_shortage();
}

bool http_session::resume()
{
    if (!held_back_)
        return false;
    receive_charge_.resize(0);
    if (!has_room()) {
        receive_charge_.resize(gateway_constants::receive_buffer_bytes);
        return false;
    }
    held_back_ = false;
    read();
    return true;
}

memory::holder http_session::held() const
{
    error_code ignored;
    const time_point now = server_.timers_.now();
    std::uint64_t bytes = answer_charge_.size();
    if (!busy())
        bytes += header_charge_.size() + body_charge_.size() + receive_charge_.size();
    return {.address = address_,
            .bytes = bytes,
            .since_progress = now - progress_at_,
            .age = now - opened_at_,
            // Otherwise the peer has stopped by itself.
            .held_back = held_back_ && socket_.available(ignored) > 0};
}

void http_session::give_up()
{
    if (busy())
        close();
    else
        refuse({.no_room = true});
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
    update_charges();
    const std::uint64_t bytes = held_bytes(request);
    const auto& account = server_.keeper_->account();
    if (account->room(byte_class::forwarded_requests) < bytes) {
        server_.keeper_->count_rejected();
        refuse({.no_room = true});
        return;
    }
    auto charge = std::make_shared<memory::byte_charge>(account, byte_class::forwarded_requests);
    charge->resize(bytes);
    keep_alive_ = request.keep_alive;
    bodyless_answer_ = request.method == "HEAD";
    // Reading continues, because it is how a disconnect of the sender is noticed.
    if (reader_.held_bytes() < gateway_constants::read_buffer_bytes)
        read();
    server_.handlers_.request(http_exchange{http_session_pointer{this}, std::move(request),
                                            server_.timers_.now(), std::move(charge)});
}

void http_session::refuse(const bad_request& invalid)
{
    timeout_.cancel();
    in_progress_ = true;
    held_back_ = false;
    receive_charge_.resize(0);
    reader_.discard();
    update_charges();
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
        std::string{}.swap(output_);
        on_answer_sent();
        return;
    }
    output_.erase(0, n);
    progress_at_ = server_.timers_.now();
    answer_charge_.resize(output_.capacity());
    if (server_.keeper_->account()->room(byte_class::answers) == 0)
        server_.keeper_->on_shortage();
    // The connection is closed if the peer has not received the whole answer by then, so that
    // answers do not accumulate in memory.
    timeout_.set_after(server_.limits_.idle_timeout);
    asio::async_write(
        socket_, asio::buffer(output_),
        [self = http_session_pointer{this}](const error_code& failed, std::size_t /*sent*/) {
            std::string{}.swap(self->output_);
            self->answer_charge_.resize(0);
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
            // Bytes that came meanwhile may have started it already, and the next one may be
            // incomplete.
            if (!self->closed_ && !self->busy() && self->reader_.state() != read_state::need_more)
                self->dispatch();
        });
        return;
    }
    arm_read_timeout();
    read_if_room();
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
    server_.keeper_->on_closed(*this);
    held_back_ = false;
    receive_charge_.resize(0);
    reader_.discard();
    update_charges();
    error_code ignored;
    socket_.close(ignored);
    // Breaks a reference cycle: the callback owns its request, which owns this session. The
    // callback is destroyed without being called.
    const auto on_disconnect = std::exchange(on_disconnect_, nullptr);
    on_sent_ = nullptr;
}

} // namespace ebonywick
