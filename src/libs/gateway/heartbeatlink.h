// Sends and receives heartbeats of hosts as UDP datagrams.
#pragma once

#include "peers/hostrecord.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <vector>

namespace ebonywick {

/// Datagrams may be lost; each carries the complete state of its sender, so the next one makes
/// up for it. Not thread-safe.
class heartbeat_link
{
public:
    /// Receives on `address`; `on_message` is called with each message that can be decoded and
    /// the address of its sender. Throws boost::system::system_error if the address cannot be
    /// used.
    heartbeat_link(boost::asio::io_context& loop, const endpoint& address,
                   std::function<void(const peer_message&, const endpoint& from)> on_message);

    void send(const peer_message& message, const std::vector<endpoint>& to);

private:
    void receive();

    boost::asio::ip::udp::socket socket_;
    std::function<void(const peer_message&, const endpoint& from)> on_message_;
    // Receive buffer; longer datagrams are truncated. A digest of 32 relays has about 500 bytes,
    // 64 limits of upstreams about 1000.
    std::array<char, 8192> input_{};
    boost::asio::ip::udp::endpoint sender_;
};

} // namespace ebonywick
