// Relays connections to a server, and lets those that are open go silent: what arrives on them is
// still acknowledged, but nothing further is passed on, and they are not closed.
#pragma once

#include "settings/declaration.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ebonywick {

/// Must be destroyed after its event loop has run for the last time. Not thread-safe.
class silent_relay
{
public:
    silent_relay(boost::asio::io_context& loop, const endpoint& address, const endpoint& server)
        : loop_(loop), acceptor_(loop, address_of(address)), server_(address_of(server))
    {
        accept();
    }

    /// All open connections go silent whose first request contains this text.
    void silence(std::string_view request = "")
    {
        std::erase_if(links_, [](const auto& it) { return !it->open; });
        for (const link_pointer& it : links_)
            it->silent = it->silent || it->first_request.find(request) != std::string::npos;
    }
    /// Connections that are opened from now on go silent at once, or no longer do.
    void silence_new(bool silent) { new_silent_ = silent; }
    /// Number of connections since the start.
    [[nodiscard]] std::size_t accepted() const { return accepted_; }

private:
    using tcp = boost::asio::ip::tcp;
    using error_code = boost::system::error_code;

    struct link
    {
        link(boost::asio::io_context& loop, tcp::socket from)
            : client(std::move(from)), server(loop)
        {
        }
        tcp::socket client;
        tcp::socket server;
        std::array<char, 16384> from_client{};
        std::array<char, 16384> from_server{};
        std::string first_request;
        bool silent = false;
        bool open = true;
    };
    using link_pointer = std::shared_ptr<link>;

    static tcp::endpoint address_of(const endpoint& at)
    {
        return {boost::asio::ip::make_address(at.ip), at.port};
    }

    void accept()
    {
        acceptor_.async_accept([this](const error_code& ec, tcp::socket socket) {
            if (ec)
                return;
            ++accepted_;
            const auto it = links_.emplace_back(std::make_shared<link>(loop_, std::move(socket)));
            it->silent = new_silent_;
            error_code failed;
            it->server.connect(server_, failed);
            error_code ignored;
            it->client.set_option(tcp::no_delay{true}, ignored);
            it->server.set_option(tcp::no_delay{true}, ignored);
            if (failed) {
                close(*it);
            } else {
                pass_on(it, it->client, it->server, it->from_client);
                pass_on(it, it->server, it->client, it->from_server);
            }
            accept();
        });
    }

    static void pass_on(const link_pointer& it, tcp::socket& from, tcp::socket& to,
                        std::array<char, 16384>& buf)
    {
        from.async_read_some(boost::asio::buffer(buf),
                             [it, &from, &to, &buf](const error_code& ec, std::size_t n) {
                                 if (ec) {
                                     if (!it->silent)
                                         close(*it);
                                     return;
                                 }
                                 error_code failed;
                                 if (it->first_request.empty())
                                     it->first_request.assign(buf.data(), n);
                                 if (!it->silent)
                                     boost::asio::write(to, boost::asio::buffer(buf, n), failed);
                                 pass_on(it, from, to, buf);
                             });
    }

    static void close(link& it)
    {
        error_code ignored;
        it.open = false;
        it.client.close(ignored);
        it.server.close(ignored);
    }

    boost::asio::io_context& loop_;
    tcp::acceptor acceptor_;
    tcp::endpoint server_;
    std::vector<link_pointer> links_;
    std::size_t accepted_ = 0;
    bool new_silent_ = false;
};

} // namespace ebonywick
