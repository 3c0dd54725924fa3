// Calls over cpp-httplib, classified by how the connection ended.
#include "hostconnections.h"

#include "settings/declaration.h"

#include <httplib.h>

#include <stdexcept>

namespace ebonywick::load {

namespace {

constexpr duration connect_timeout = std::chrono::milliseconds{1200};

call_end classify(httplib::Error failure, bool answer_began, bool out_of_time)
{
    using httplib::Error;
    if (failure == Error::Connection || failure == Error::ConnectionTimeout)
        return call_end::connect_failed;
    if (out_of_time)
        return call_end::timed_out;
    return answer_began ? call_end::cut : call_end::no_reply;
}

} // namespace

host_connections::host_connections() = default;
host_connections::~host_connections() = default;

std::unique_ptr<httplib::Client> host_connections::take(const std::string& address)
{
    {
        const std::lock_guard lock{mutex_};
        auto& idle = idle_[address];
        if (!idle.empty()) {
            auto found = std::move(idle.back());
            idle.pop_back();
            return found;
        }
    }
    const auto parsed = parse_endpoint(address);
    if (!parsed)
        throw std::runtime_error{"not an address: " + address};
    auto made = std::make_unique<httplib::Client>(parsed->ip, parsed->port);
    made->set_keep_alive(true);
    made->set_tcp_nodelay(true);
    made->set_connection_timeout(connect_timeout);
    return made;
}

call_reply host_connections::call(const std::string& address, const http_call& request,
                                  duration timeout)
{
    auto connection = take(address);
    connection->set_read_timeout(timeout);
    connection->set_write_timeout(timeout);
    bool answer_began = false;
    httplib::Request sent;
    sent.method = request.method;
    sent.path = request.path;
    sent.body = request.body;
    for (const auto& [name, value] : request.headers)
        sent.headers.emplace(name, value);
    sent.response_handler = [&answer_began](const httplib::Response&) {
        answer_began = true;
        return true;
    };
    httplib::Response got;
    httplib::Error failure = httplib::Error::Success;
    const time_point start = boot_clock::now();
    const bool complete = connection->send(sent, got, failure);
    if (!complete)
        return {classify(failure, answer_began, boot_clock::now() - start >= timeout), 0, {}};
    const std::lock_guard lock{mutex_};
    idle_[address].push_back(std::move(connection));
    return {call_end::complete, got.status, std::move(got.body)};
}

} // namespace ebonywick::load
