// A server that answers each request with the bytes that a test gives.
#pragma once

#include "settings/declaration.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace ebonywick {

struct scripted_reply
{
    std::string bytes;
    // The connection is closed in an orderly way after the bytes.
    bool close = false;
};

/// Runs on the event loop of the test. Each request must arrive in one piece.
class scripted_upstream
{
public:
    using script = std::function<scripted_reply(const std::string& request)>;

    scripted_upstream(boost::asio::io_context& loop, const endpoint& address, script reply_to)
        : acceptor_(loop, {boost::asio::ip::make_address(address.ip), address.port}),
          reply_to_(std::move(reply_to))
    {
        accept();
    }

    [[nodiscard]] const std::vector<std::string>& requests() const { return requests_; }
    [[nodiscard]] std::size_t open_connections() const { return open_connections_; }
    /// Position of the current request on its connection, counted from 1.
    [[nodiscard]] std::size_t position() const { return position_; }
    /// Value of a header field of a request; empty if there is none.
    [[nodiscard]] static std::string field(const std::string& request, const std::string& name)
    {
        const auto at = request.find("\r\n" + name + ": ");
        if (at == std::string::npos)
            return {};
        const auto begin = at + name.size() + 4;
        return request.substr(begin, request.find("\r\n", begin) - begin);
    }

private:
    using error_code = boost::system::error_code;
    struct connection
    {
        explicit connection(boost::asio::ip::tcp::socket it) : socket(std::move(it)) {}
        boost::asio::ip::tcp::socket socket;
        std::array<char, 8192> input{};
        std::size_t requests = 0;
        std::string output;
    };

    void accept()
    {
        acceptor_.async_accept([this](const error_code& ec, boost::asio::ip::tcp::socket socket) {
            if (ec)
                return;
            ++open_connections_;
            serve(std::make_shared<connection>(std::move(socket)));
            accept();
        });
    }
    void serve(const std::shared_ptr<connection>& it)
    {
        it->socket.async_read_some(
            boost::asio::buffer(it->input), [this, it](const error_code& ec, std::size_t n) {
                if (ec) {
                    --open_connections_;
                    return;
                }
                requests_.emplace_back(it->input.data(), n);
                position_ = ++it->requests;
                scripted_reply reply = reply_to_(requests_.back());
                it->output = std::move(reply.bytes);
                boost::asio::async_write(
                    it->socket, boost::asio::buffer(it->output),
                    [this, it, close = reply.close](const error_code& failed, std::size_t) {
                        error_code ignored;
                        if (failed || close) {
                            --open_connections_;
                            it->socket.close(ignored);
                        } else {
                            serve(it);
                        }
                    });
            });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    script reply_to_;
    std::vector<std::string> requests_;
    std::size_t position_ = 0;
    std::size_t open_connections_ = 0;
};

} // namespace ebonywick
