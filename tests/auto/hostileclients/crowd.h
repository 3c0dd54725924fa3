// Connections that send what a test gives them and read nothing, and an ordinary caller.
#pragma once

#include "settings/declaration.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ebonywick {

inline sockaddr_in socket_address(const endpoint& of)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(of.port);
    ::inet_pton(AF_INET, of.ip.c_str(), &out.sin_addr);
    return out;
}

class crowd
{
public:
    crowd(const endpoint& to, std::size_t count)
    {
        const sockaddr_in at = socket_address(to);
        for (std::size_t it = 0; it < count; ++it) {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            // In progress; a connection that fails does so with the first send.
            static_cast<void>(::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at));
            members_.push_back({fd, 0, false});
        }
    }
    ~crowd()
    {
        for (const member& it : members_)
            ::close(it.fd);
    }
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Sends the text on all connections in turn, `piece` bytes at a time, until all of it is
    /// sent or the receiver takes no more.
    void send(std::string_view text, std::size_t piece = 262'144)
    {
        for (member& it : members_)
            it.sent = 0;
        int idle_rounds = 0;
        while (idle_rounds < most_idle_rounds) {
            bool progress = false;
            bool open = false;
            for (member& it : members_) {
                if (it.ended || it.sent == text.size())
                    continue;
                open = true;
                progress = send_piece(it, text, piece) || progress;
            }
            if (!open)
                return;
            idle_rounds = progress ? 0 : idle_rounds + 1;
            if (!progress)
                std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
    }

private:
    struct member
    {
        int fd = -1;
        std::size_t sent = 0;
        bool ended = false;
    };

    // Rounds of 10 ms without progress after which the receiver counts as taking no more.
    static constexpr int most_idle_rounds = 200;

    static bool send_piece(member& to, std::string_view text, std::size_t piece)
    {
        const std::size_t n = std::min(piece, text.size() - to.sent);
        const ssize_t sent = ::send(to.fd, text.data() + to.sent, n, MSG_NOSIGNAL);
        if (sent > 0)
            to.sent += static_cast<std::size_t>(sent);
        else
            to.ended = errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN;
        return sent > 0;
    }

    std::vector<member> members_;
};

/// Sends the request on a connection of its own, and again on a new one until a reply begins with
/// status 200 or `attempts` have passed.
inline bool is_answered(const endpoint& by, const std::string& request, int attempts = 8)
{
    const sockaddr_in at = socket_address(by);
    for (int it = 0; it < attempts; ++it) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval patience{2, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
        ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
        std::string reply(32, '\0');
        ssize_t n = -1;
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
            ::send(fd, request.data(), request.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(request.size()))
            n = ::recv(fd, reply.data(), reply.size(), 0);
        ::close(fd);
        if (n > 0 && reply.starts_with("HTTP/1.1 200"))
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds{200});
    }
    return false;
}

} // namespace ebonywick
