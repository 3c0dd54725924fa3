// In-process server on loopback that sends exactly the bytes that a test gives and
// records the requests that it receives.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace ebonywick::testing {

inline std::string http_reply(int status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline const std::string healthy =
    http_reply(200, R"({"state":"warm","boot_id":7,"versions":[3]})");

/// Reaction of the server to one request; without bytes it does not reply.
struct answer
{
    std::string bytes;
    bool close_after = false;
    // Then sends single bytes until the client closes the connection.
    bool endless_body = false;
    // Then sends this text until the client closes the connection.
    std::string endless = {};
};

class raw_server
{
public:
    using handler = std::function<answer(const std::string& request)>;

    explicit raw_server(handler h) : handler_(std::move(h))
    {
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* raw = reinterpret_cast<sockaddr*>(&address);
        std::ignore = bind(listener_, raw, sizeof address);
        listen(listener_, 16);
        socklen_t size = sizeof address;
        getsockname(listener_, raw, &size);
        port_ = ntohs(address.sin_port);
        acceptor_ = std::thread{[this] {
            accept_all();
        }};
    }

    ~raw_server()
    {
        shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        for (const int fd : sockets_)
            shutdown(fd, SHUT_RDWR);
        for (std::thread& it : threads_)
            it.join();
        for (const int fd : sockets_)
            close(fd);
        close(listener_);
    }

    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }

    std::vector<std::string> requests()
    {
        const std::scoped_lock guard{mutex_};
        return requests_;
    }

    void close_connections()
    {
        const std::scoped_lock guard{mutex_};
        for (const int fd : sockets_)
            shutdown(fd, SHUT_RDWR);
    }

    std::size_t connections()
    {
        const std::scoped_lock guard{mutex_};
        return sockets_.size();
    }

private:
    void accept_all()
    {
        for (;;) {
            const int fd = accept(listener_, nullptr, nullptr);
            if (fd < 0)
                return;
            const std::scoped_lock guard{mutex_};
            sockets_.push_back(fd);
            threads_.emplace_back([this, fd] { serve(fd); });
        }
    }

    void serve(int fd)
    {
        std::string in;
        std::array<char, 4096> buf{};
        while (const std::optional<std::string> request = extract_request(in)) {
            if (request->empty()) {
                const ssize_t n = recv(fd, buf.data(), buf.size(), 0);
                if (n <= 0)
                    return;
                in.append(buf.data(), static_cast<std::size_t>(n));
                continue;
            }
            {
                const std::scoped_lock guard{mutex_};
                requests_.push_back(*request);
            }
            const answer reply = handler_(*request);
            send(fd, reply.bytes.data(), reply.bytes.size(), MSG_NOSIGNAL);
            while (reply.endless_body && send(fd, " ", 1, MSG_NOSIGNAL) == 1)
                std::this_thread::sleep_for(std::chrono::milliseconds{1});
            const std::string& text = reply.endless;
            while (!text.empty() && send(fd, text.data(), text.size(), MSG_NOSIGNAL) > 0)
                ;
            if (reply.close_after) {
                shutdown(fd, SHUT_RDWR);
                return;
            }
        }
    }

    /// Removes a whole request from `in`; an empty text if it is not complete yet.
    static std::optional<std::string> extract_request(std::string& in)
    {
        const std::size_t end = in.find("\r\n\r\n");
        if (end == std::string::npos)
            return std::string{};
        const std::size_t at = in.find("Content-Length: ");
        const std::size_t length =
            at < end ? static_cast<std::size_t>(std::atoi(in.c_str() + at + 16)) : 0;
        if (in.size() < end + 4 + length)
            return std::string{};
        std::string request = in.substr(0, end + 4 + length);
        in.erase(0, request.size());
        return request;
    }

    handler handler_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::mutex mutex_;
    std::vector<int> sockets_;
    std::vector<std::string> requests_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace ebonywick::testing
