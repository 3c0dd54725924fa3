// Handles the sockets and parses and writes HTTP messages.
#include "httplistener.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <string_view>
#include <utility>

namespace ebonywick::standin {

namespace {

constexpr std::size_t max_body_bytes = 4U << 20U;

std::string percent_decode(std::string_view text)
{
    std::string out;
    for (std::size_t it = 0; it < text.size(); ++it) {
        if (text[it] == '%' && it + 2 < text.size()) {
            const std::string digits{text.substr(it + 1, 2)};
            out += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
            it += 2;
        } else {
            out += text[it];
        }
    }
    return out;
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return text;
}

void parse_target(std::string_view target, http_request& request)
{
    const auto mark = target.find('?');
    request.path = percent_decode(target.substr(0, mark));
    while (target.find('?') != std::string_view::npos || target.find('&') == 0) {
        target.remove_prefix(target.find_first_of("?&") + 1);
        const auto pair = target.substr(0, target.find('&'));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            request.parameters[percent_decode(pair.substr(0, equals))] =
                percent_decode(pair.substr(equals + 1));
        target.remove_prefix(pair.size());
    }
}

http_request parse_request_head(std::string_view head)
{
    http_request request;
    const auto line = head.substr(0, head.find("\r\n"));
    const auto first = line.find(' ');
    request.method = line.substr(0, first);
    if (first != std::string_view::npos)
        parse_target(line.substr(first + 1, line.rfind(' ') - first - 1), request);
    head.remove_prefix(std::min(head.size(), line.size() + 2));
    while (!head.empty()) {
        const auto field = head.substr(0, head.find("\r\n"));
        const auto colon = field.find(':');
        if (colon != std::string_view::npos) {
            const auto value = field.substr(std::min(field.size(), colon + 2));
            request.headers[to_lower(std::string{field.substr(0, colon)})] = value;
        }
        head.remove_prefix(std::min(head.size(), field.size() + 2));
    }
    return request;
}

bool receive_more(int connection, std::string& buf)
{
    char chunk[16384];
    const ssize_t n = recv(connection, chunk, sizeof chunk, 0);
    if (n <= 0)
        return false;
    buf.append(chunk, static_cast<std::size_t>(n));
    return true;
}

/// Reads the next request of the connection; empty if the connection ended or the body is
/// too large.
std::optional<http_request> receive_request(int connection, std::string& buf)
{
    std::size_t end = 0;
    while ((end = buf.find("\r\n\r\n")) == std::string::npos) {
        if (!receive_more(connection, buf))
            return std::nullopt;
    }
    http_request request = parse_request_head(std::string_view{buf}.substr(0, end + 2));
    buf.erase(0, end + 4);
    std::size_t length = 0;
    if (const auto it = request.headers.find("content-length"); it != request.headers.end())
        length = std::strtoull(it->second.c_str(), nullptr, 10);
    if (length > max_body_bytes)
        return std::nullopt;
    while (buf.size() < length) {
        if (!receive_more(connection, buf))
            return std::nullopt;
    }
    request.body = buf.substr(0, length);
    buf.erase(0, length);
    return request;
}

bool send_reply(int connection, const http_reply& reply)
{
    std::string text =
        fmt::format("HTTP/1.1 {} {}\r\n", reply.status, reply.status < 400 ? "OK" : "Error");
    if (!reply.omit_content_length)
        text += fmt::format("Content-Length: {}\r\n", reply.body.size());
    if (!reply.etag.empty())
        text += fmt::format("ETag: {}\r\n", reply.etag);
    if (!reply.epoch.empty())
        text += fmt::format("Store-Epoch: {}\r\n", reply.epoch);
    text += "Content-Type: application/json\r\n\r\n" + reply.body;
    std::string_view remaining = text;
    while (!remaining.empty()) {
        const ssize_t n = send(connection, remaining.data(), remaining.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        remaining.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

} // namespace

http_listener::http_listener(std::uint16_t port, http_handler handler)
    : port_{port}, handler_{std::move(handler)}
{
}

http_listener::~http_listener()
{
    close();
    std::unique_lock lock{mutex_};
    ended_.wait(lock, [this] { return connections_.empty(); });
}

bool http_listener::open()
{
    const int listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    // No SO_REUSEPORT: a second process on the same port must fail to start.
    setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port_);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(listening, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(listening, 1024) != 0) {
        ::close(listening);
        return false;
    }
    socklen_t size = sizeof address;
    getsockname(listening, reinterpret_cast<sockaddr*>(&address), &size);
    const std::lock_guard lock{mutex_};
    port_ = ntohs(address.sin_port);
    listening_ = listening;
    acceptor_ = std::jthread{[this, listening] {
        accept_connections(listening);
    }};
    return true;
}

void http_listener::close()
{
    {
        const std::lock_guard lock{mutex_};
        if (listening_ < 0)
            return;
        // Wakes the thread that blocks in accept().
        shutdown(listening_, SHUT_RDWR);
        for (const int it : connections_)
            shutdown(it, SHUT_RDWR);
    }
    acceptor_.join();
    const std::lock_guard lock{mutex_};
    // Ends connections that were accepted before the thread ended.
    for (const int it : connections_)
        shutdown(it, SHUT_RDWR);
    ::close(std::exchange(listening_, -1));
}

void http_listener::accept_connections(int listening)
{
    while (true) {
        const int connection = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            return;
        const int on = 1;
        setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock{mutex_};
        connections_.insert(connection);
        std::thread{[this, connection] {
            serve(connection);
        }}.detach();
    }
}

void http_listener::serve(int connection)
{
    std::string buf;
    while (const auto request = receive_request(connection, buf)) {
        const auto reply = handler_(*request);
        if (!reply || !send_reply(connection, *reply))
            break;
    }
    const std::lock_guard lock{mutex_};
    connections_.erase(connection);
    ::close(connection);
    ended_.notify_all();
}

} // namespace ebonywick::standin
