// Listening socket of the HTTP server, and exchanges.
#include "gateway/httpserver.h"

#include "gateway/httpsession.h"

#include <boost/asio/ip/address.hpp>

#include <limits>

namespace ebonywick {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

std::shared_ptr<session_keeper> unlimited_keeper(timer_queue& timers)
{
    constexpr memory::byte_budget budget{.total = std::numeric_limits<std::uint64_t>::max()};
    return std::make_shared<session_keeper>(
        timers, memory::byte_account_pointer{new memory::byte_account{budget}},
        std::numeric_limits<std::size_t>::max());
}

} // namespace

http_exchange::http_exchange(http_session_pointer session, http_message request, time_point arrival,
                             std::shared_ptr<memory::byte_charge> charge)
    : session_(std::move(session)), request_(std::move(request)), arrival_(arrival),
      charge_(std::move(charge))
{
}

void http_exchange::on_disconnect(std::function<void()> on_disconnect)
{
    session_->on_disconnect_ = std::move(on_disconnect);
}

bool http_exchange::closes_connection() const
{
    return !session_->keep_alive_ || session_->server_.draining_;
}

void http_exchange::answer(std::string bytes, after_answer then, std::function<void()> sent)
{
    session_->answer(std::move(bytes), then, std::move(sent));
}

http_server::http_server(asio::io_context& loop, timer_queue& timers, const endpoint& address,
                         http_server_handlers handlers, std::shared_ptr<session_keeper> keeper)
    : loop_(loop), timers_(timers), handlers_(std::move(handlers)),
      keeper_(keeper ? std::move(keeper) : unlimited_keeper(timers)), acceptor_(loop),
      accept_timer_(timers, [this] { accept(); }), sessions_(std::make_unique<http_session_list>())
{
    const tcp::endpoint at{asio::ip::make_address(address.ip), address.port};
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address{true});
    // Accepted connections inherit it.
    error_code ignored;
    acceptor_.set_option(
        asio::socket_base::receive_buffer_size{gateway_constants::receive_buffer_bytes}, ignored);
    acceptor_.bind(at);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    accept();
}

http_server::~http_server()
{
    error_code ignored;
    acceptor_.close(ignored);
    // Pending operations may keep a session alive after the server; a closed session no longer
    // uses its server.
    while (!sessions_->empty()) {
        const http_session_pointer session{&sessions_->front()};
        sessions_->pop_front();
        session->close();
    }
}

void http_server::set_limits(const caller_limits& limits)
{
    limits_ = limits;
    for (http_session& it : *sessions_)
        it.apply_limits();
}

void http_server::accept()
{
    acceptor_.async_accept([this](const error_code& ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
            return;
        if (ec) {
            // Without a descriptor the next attempt would fail at once.
            keeper_->on_no_descriptor();
            accept_timer_.set_after(gateway_constants::accept_pause);
            return;
        }
        on_accepted(std::move(socket));
        accept();
    });
}

void http_server::on_accepted(tcp::socket socket)
{
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::no_delay{true}, ignored);
    const http_session_pointer session{new http_session{*this, std::move(socket)}};
    if (keeper_->add(*session))
        session->start();
    else
        session->close();
}

std::size_t http_server::session_count() const
{
    return sessions_->size();
}

void http_server::close_idle()
{
    error_code ignored;
    accept_timer_.cancel();
    acceptor_.close(ignored);
    for (auto it = sessions_->begin(); it != sessions_->end();) {
        http_session& session = *it++;
        if (!session.busy())
            session.close();
    }
}

} // namespace ebonywick
