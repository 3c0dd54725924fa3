// Sends and receives heartbeats of hosts as UDP datagrams.
#pragma once

#include "peers/peertable.h"

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
    /// Receives on `address`; `on_heartbeat` is called for each heartbeat that can be decoded.
    /// Throws boost::system::system_error if the address cannot be used.
    heartbeat_link(boost::asio::io_context& loop, const endpoint& address,
                   std::function<void(const host_heartbeat&)> on_heartbeat);

    void send(const host_heartbeat& heartbeat, const std::vector<endpoint>& to);

private:
    void receive();

    boost::asio::ip::udp::socket socket_;
    std::function<void(const host_heartbeat&)> on_heartbeat_;
    // Receive buffer; longer datagrams are truncated.
    std::array<char, 512> input_{};
    boost::asio::ip::udp::endpoint sender_;
};

} // namespace ebonywick
