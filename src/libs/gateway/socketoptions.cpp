// Socket options that Boost.Asio does not wrap.
#include "gateway/socketoptions.h"

#include "gateway/constants.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace ebonywick {

namespace {

// Errors are ignored: without the option dead connections are only detected later.
void set_integer(boost::asio::ip::tcp::socket& socket, int level, int name, int value)
{
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

} // namespace

void set_unacknowledged_timeout(boost::asio::ip::tcp::socket& socket, duration limit)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
    set_integer(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ms));
}

void set_keepalive_probes(boost::asio::ip::tcp::socket& socket)
{
    set_integer(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_integer(socket, IPPROTO_TCP, TCP_KEEPIDLE, gateway_constants::keepalive_idle_s);
    set_integer(socket, IPPROTO_TCP, TCP_KEEPINTVL, gateway_constants::keepalive_interval_s);
    set_integer(socket, IPPROTO_TCP, TCP_KEEPCNT, gateway_constants::keepalive_probes);
}

} // namespace ebonywick
