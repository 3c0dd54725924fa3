// UDP socket of the heartbeats.
#include "gateway/heartbeatlink.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

namespace ebonywick {

namespace asio = boost::asio;
using asio::ip::udp;
using error_code = boost::system::error_code;

heartbeat_link::heartbeat_link(asio::io_context& loop, const endpoint& address,
                               std::function<void(const peer_message&, const endpoint&)> on_message)
    : socket_(loop, udp::endpoint{asio::ip::make_address(address.ip), address.port}),
      on_message_(std::move(on_message))
{
    socket_.non_blocking(true);
    receive();
}

void heartbeat_link::send(const peer_message& message, const std::vector<endpoint>& to)
{
    const std::string bytes = encode_peer_message(message);
    for (const endpoint& it : to) {
        error_code ec;
        const auto ip = asio::ip::make_address(it.ip, ec);
        // Errors are ignored like a lost datagram; the next heartbeat follows soon.
        if (!ec)
            socket_.send_to(asio::buffer(bytes), udp::endpoint{ip, it.port}, 0, ec);
    }
}

void heartbeat_link::receive()
{
    socket_.async_receive_from(
        asio::buffer(input_), sender_, [this](const error_code& ec, std::size_t n) {
            if (ec == asio::error::operation_aborted)
                return;
            if (!ec) {
                if (const auto message = decode_peer_message({input_.data(), n}))
                    on_message_(*message, {sender_.address().to_string(), sender_.port()});
            }
            receive();
        });
}

} // namespace ebonywick
