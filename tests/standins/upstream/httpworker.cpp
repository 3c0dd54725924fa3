// Runs the event loop and parses HTTP requests.
#include "httpworker.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <system_error>
#include <utility>

namespace ebonywick::standin {

namespace {

constexpr std::size_t max_request_bytes = std::size_t{4} << 20U;

void set_epoll_events(int epoll, int operation, int fd, std::uint32_t events, std::uint64_t id)
{
    epoll_event ev{};
    ev.events = events;
    ev.data.u64 = id;
    epoll_ctl(epoll, operation, fd, &ev);
}

std::string_view reason_phrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    default:
        return "Other";
    }
}

} // namespace

std::string_view http_request::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (key == name)
            return value;
    }
    return {};
}

http_worker::http_worker() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {}

http_worker::~http_worker()
{
    stop();
    for (const auto& [id, it] : connections_)
        close(it.fd);
    for (const auto& [port, it] : ports_)
        close(it.fd);
    close(epoll_);
}

void http_worker::listen(std::uint16_t port, std::size_t max_connections, port_handlers handlers)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, 512) != 0) {
        const int code = errno;
        close(fd);
        throw std::system_error(code, std::generic_category(),
                                "cannot listen on port " + std::to_string(port));
    }
    ports_[port] = {fd, 0, max_connections, std::move(handlers)};
    set_epoll_events(epoll_, EPOLL_CTL_ADD, fd, EPOLLIN, port);
}

void http_worker::close_port(std::uint16_t port)
{
    const auto it = ports_.find(port);
    if (it == ports_.end())
        return;
    std::vector<std::uint64_t> open;
    for (const auto& [id, conn] : connections_) {
        if (conn.port == port)
            open.push_back(id);
    }
    for (const std::uint64_t id : open) {
        const linger reset{1, 0};
        setsockopt(connections_[id].fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        close_connection(id);
    }
    close(it->second.fd);
    ports_.erase(it);
}

void http_worker::silence(std::uint16_t port, const std::function<bool(std::uint64_t)>& predicate)
{
    for (auto& [id, conn] : connections_) {
        if (conn.port != port || !predicate(id))
            continue;
        conn.silent = true;
        set_epoll_events(epoll_, EPOLL_CTL_MOD, conn.fd, EPOLLRDHUP, id);
    }
}

void http_worker::run_at(time_point due, std::function<void()> action)
{
    timers_.push({due, next_timer_++, std::move(action)});
}

void http_worker::reply(std::uint64_t id, int status, std::string_view body)
{
    const auto it = connections_.find(id);
    if (it == connections_.end() || it->second.silent)
        return;
    connection& conn = it->second;
    conn.busy = false;
    conn.output.append("HTTP/1.1 ")
        .append(std::to_string(status))
        .append(" ")
        .append(reason_phrase(status));
    conn.output.append("\r\nContent-Type: application/json\r\nContent-Length: ");
    conn.output.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    flush(id);
    parse(id);
}

void http_worker::flush(std::uint64_t id)
{
    const auto it = connections_.find(id);
    if (it == connections_.end() || it->second.silent)
        return;
    connection& conn = it->second;
    while (!conn.output.empty()) {
        const ssize_t n = send(conn.fd, conn.output.data(), conn.output.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            if (errno == EAGAIN)
                set_epoll_events(epoll_, EPOLL_CTL_MOD, conn.fd, EPOLLIN | EPOLLOUT, id);
            return;
        }
        conn.output.erase(0, static_cast<std::size_t>(n));
    }
}

void http_worker::accept_connections(std::uint16_t port)
{
    const auto it = ports_.find(port);
    if (it == ports_.end())
        return;
    port_state& state = it->second;
    for (;;) {
        const int fd = accept4(state.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        if (state.open >= state.max_open) {
            close(fd);
            continue;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::uint64_t id = next_id_++;
        connection& conn = connections_[id];
        conn.fd = fd;
        conn.port = port;
        set_epoll_events(epoll_, EPOLL_CTL_ADD, fd, EPOLLIN, id);
        state.handlers.on_connections(++state.open);
    }
}

void http_worker::close_connection(std::uint64_t id)
{
    const auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    const std::uint16_t port = it->second.port;
    close(it->second.fd);
    connections_.erase(it);
    const auto port_it = ports_.find(port);
    if (port_it != ports_.end())
        port_it->second.handlers.on_connections(--port_it->second.open);
}

void http_worker::receive(std::uint64_t id)
{
    const auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    connection& conn = it->second;
    std::array<char, 16384> buf{};
    const ssize_t n = recv(conn.fd, buf.data(), buf.size(), 0);
    if (n == 0 || (n < 0 && errno != EAGAIN)) {
        close_connection(id);
        return;
    }
    if (n < 0 || conn.silent)
        return;
    conn.input.append(buf.data(), static_cast<std::size_t>(n));
    if (conn.input.size() > max_request_bytes)
        close_connection(id);
    else
        parse(id);
}

void http_worker::parse(std::uint64_t id)
{
    const auto it = connections_.find(id);
    if (it == connections_.end() || it->second.busy)
        return;
    connection& conn = it->second;
    const std::size_t end = conn.input.find("\r\n\r\n");
    if (end == std::string::npos)
        return;
    http_request request;
    request.connection = id;
    std::size_t length = 0;
    std::size_t position = 0;
    while (position < end) {
        const std::size_t eol = conn.input.find("\r\n", position);
        const std::string_view line{conn.input.data() + position, eol - position};
        if (position == 0) {
            const std::size_t space = line.find(' ');
            const std::size_t last = line.rfind(' ');
            if (space == std::string_view::npos || last <= space) {
                close_connection(id);
                return;
            }
            request.method = line.substr(0, space);
            request.path = line.substr(space + 1, last - space - 1);
        } else if (const std::size_t colon = line.find(':'); colon != std::string_view::npos) {
            std::string name{line.substr(0, colon)};
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            const std::size_t value = std::min(line.find_first_not_of(' ', colon + 1), line.size());
            request.headers.emplace_back(std::move(name), line.substr(value));
            const auto& [key, text] = request.headers.back();
            if (key == "content-length")
                std::from_chars(text.data(), text.data() + text.size(), length);
        }
        position = eol + 2;
    }
    if (conn.input.size() < end + 4 + length)
        return;
    request.body = conn.input.substr(end + 4, length);
    conn.input.erase(0, end + 4 + length);
    conn.busy = true;
    request.first = !std::exchange(conn.served, true);
    const auto port_it = ports_.find(conn.port);
    if (port_it != ports_.end())
        port_it->second.handlers.on_request(request);
}

void http_worker::run_timers()
{
    const time_point now = boot_clock::now();
    while (!timers_.empty() && timers_.top().due <= now) {
        const auto action = timers_.top().action;
        timers_.pop();
        action();
    }
}

void http_worker::run()
{
    // The default timer slack of 50 us would distort call times of about 1 ms.
    prctl(PR_SET_TIMERSLACK, 1000UL, 0UL, 0UL, 0UL);
    std::array<epoll_event, 256> events{};
    while (!stopping_) {
        duration wait = std::chrono::milliseconds{50};
        {
            const std::scoped_lock guard{mutex_};
            if (!timers_.empty())
                wait = std::clamp(timers_.top().due - boot_clock::now(), duration::zero(), wait);
        }
        const timespec timeout{0, wait.count()};
        const int n =
            epoll_pwait2(epoll_, events.data(), static_cast<int>(events.size()), &timeout, nullptr);
        const std::scoped_lock guard{mutex_};
        for (int k = 0; k < n; ++k) {
            const epoll_event& ev = events[static_cast<std::size_t>(k)];
            const std::uint64_t id = ev.data.u64;
            if (id < (1U << 16U)) {
                accept_connections(static_cast<std::uint16_t>(id));
                continue;
            }
            if ((ev.events & EPOLLOUT) != 0) {
                if (const auto it = connections_.find(id); it != connections_.end())
                    set_epoll_events(epoll_, EPOLL_CTL_MOD, it->second.fd, EPOLLIN, id);
                flush(id);
            }
            if ((ev.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
                close_connection(id);
            else if ((ev.events & EPOLLIN) != 0)
                receive(id);
        }
        run_timers();
    }
}

void http_worker::start()
{
    thread_ = std::thread{[this] {
        run();
    }};
}

void http_worker::stop()
{
    stopping_ = true;
    if (thread_.joinable())
        thread_.join();
}

} // namespace ebonywick::standin
