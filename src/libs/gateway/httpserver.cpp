// Listening socket of the HTTP server, and exchanges.
#include "gateway/httpserver.h"

#include "gateway/httpsession.h"

#include <boost/asio/ip/address.hpp>

namespace ebonywick {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

http_exchange::http_exchange(http_session_pointer session, http_message request, time_point arrival)
    : session_(std::move(session)), request_(std::move(request)), arrival_(arrival)
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
                         http_server_handlers handlers)
    : loop_(loop), timers_(timers), handlers_(std::move(handlers)), acceptor_(loop),
      sessions_(std::make_unique<http_session_list>())
{
    const tcp::endpoint at{asio::ip::make_address(address.ip), address.port};
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address{true});
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
        if (!ec) {
            error_code ignored;
            socket.non_blocking(true, ignored);
            socket.set_option(tcp::no_delay{true}, ignored);
            const http_session_pointer session{new http_session{*this, std::move(socket)}};
            session->start();
        }
        accept();
    });
}

std::size_t http_server::session_count() const
{
    return sessions_->size();
}

void http_server::close_idle()
{
    error_code ignored;
    acceptor_.close(ignored);
    for (auto it = sessions_->begin(); it != sessions_->end();) {
        http_session& session = *it++;
        if (!session.busy())
            session.close();
    }
}

} // namespace ebonywick
