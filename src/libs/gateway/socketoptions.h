// TCP options that detect dead connections.
#pragma once

#include "base/clock.h"

#include <boost/asio/ip/tcp.hpp>

namespace ebonywick {

/// Sets TCP_USER_TIMEOUT: the connection fails if sent data is not acknowledged within `limit`.
void set_unacknowledged_timeout(boost::asio::ip::tcp::socket& socket, duration limit);
/// Enables TCP keep-alive, so that an idle connection whose peer's system is gone fails within
/// the time that gateway_constants::keepalive_* add up to.
void set_keepalive_probes(boost::asio::ip::tcp::socket& socket);

} // namespace ebonywick
