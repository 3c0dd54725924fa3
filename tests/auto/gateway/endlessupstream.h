// A server that answers every request with bytes that never end.
#pragma once

#include "settings/declaration.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <string>

namespace ebonywick {

/// Sends `prefix` once and then `pattern` until the client closes the connection. Runs on the
/// event loop of the test.
class endless_upstream
{
public:
    endless_upstream(boost::asio::io_context& loop, const endpoint& address, std::string prefix,
                     std::string pattern)
        : acceptor_(loop, {boost::asio::ip::make_address(address.ip), address.port}),
          prefix_(std::move(prefix)), pattern_(std::move(pattern))
    {
        accept();
    }

    /// Connections on which bytes are being sent.
    [[nodiscard]] int sending() const { return sending_; }
    [[nodiscard]] int requests() const { return requests_; }

private:
    using error_code = boost::system::error_code;
    struct connection
    {
        explicit connection(boost::asio::ip::tcp::socket it) : socket(std::move(it)) {}
        boost::asio::ip::tcp::socket socket;
        std::array<char, 4096> input{};
    };

    void accept()
    {
        acceptor_.async_accept([this](const error_code& ec, boost::asio::ip::tcp::socket socket) {
            if (ec)
                return;
            const auto it = std::make_shared<connection>(std::move(socket));
            it->socket.async_read_some(boost::asio::buffer(it->input),
                                       [this, it](const error_code& failed, std::size_t) {
                                           if (failed)
                                               return;
                                           ++requests_;
                                           ++sending_;
                                           send(it, prefix_);
                                       });
            accept();
        });
    }
    void send(const std::shared_ptr<connection>& it, const std::string& bytes)
    {
        boost::asio::async_write(it->socket, boost::asio::buffer(bytes),
                                 [this, it](const error_code& ec, std::size_t) {
                                     if (ec)
                                         --sending_;
                                     else
                                         send(it, pattern_);
                                 });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    std::string prefix_;
    std::string pattern_;
    int sending_ = 0;
    int requests_ = 0;
};

} // namespace ebonywick
