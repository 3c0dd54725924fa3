// Sends requests with cpp-httplib and classifies how they end.
#include "hostconnections.h"

#include "settings/declaration.h"

#include <httplib.h>

#include <stdexcept>

namespace ebonywick::load {

namespace {

constexpr duration connect_timeout = std::chrono::milliseconds{1200};

call_outcome classify(httplib::Error error, bool reply_began, bool out_of_time)
{
    using httplib::Error;
    if (error == Error::Connection || error == Error::ConnectionTimeout)
        return call_outcome::connect_failed;
    if (out_of_time)
        return call_outcome::timed_out;
    return reply_began ? call_outcome::cut : call_outcome::no_reply;
}

} // namespace

host_connections::host_connections() = default;
host_connections::~host_connections() = default;

std::unique_ptr<httplib::Client> host_connections::take_connection(const std::string& address)
{
    {
        const std::lock_guard lock{mutex_};
        auto& idle = idle_[address];
        if (!idle.empty()) {
            auto client = std::move(idle.back());
            idle.pop_back();
            return client;
        }
    }
    const auto endpoint_address = parse_endpoint(address);
    if (!endpoint_address)
        throw std::runtime_error{"not an address: " + address};
    auto client = std::make_unique<httplib::Client>(endpoint_address->ip, endpoint_address->port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(connect_timeout);
    return client;
}

http_response host_connections::call(const std::string& address, const http_request& request,
                                     duration timeout)
{
    auto connection = take_connection(address);
    connection->set_read_timeout(timeout);
    connection->set_write_timeout(timeout);
    bool reply_began = false;
    httplib::Request native_request;
    native_request.method = request.method;
    native_request.path = request.path;
    native_request.body = request.body;
    for (const auto& [name, value] : request.headers)
        native_request.headers.emplace(name, value);
    native_request.response_handler = [&reply_began](const httplib::Response&) {
        reply_began = true;
        return true;
    };
    httplib::Response native_response;
    httplib::Error error = httplib::Error::Success;
    const time_point start = boot_clock::now();
    const bool complete = connection->send(native_request, native_response, error);
    if (!complete)
        return {classify(error, reply_began, boot_clock::now() - start >= timeout), 0, {}};
    const std::lock_guard lock{mutex_};
    idle_[address].push_back(std::move(connection));
    return {call_outcome::complete, native_response.status, std::move(native_response.body)};
}

} // namespace ebonywick::load
