// ZeroMQ sockets between hosts. One I/O thread owns a ROUTER for incoming
// messages and a DEALER for each peer.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "settings/declaration.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ebonywick {

/// A connection without messages for this time is closed. ZMTP heartbeats keep
/// it open otherwise, and a host that once sent to all others would pay for them
/// twice a second for each connection.
inline constexpr duration peer_idle_limit = std::chrono::seconds{10};

/// Called on the I/O thread with the bytes of one message; must not block.
using message_handler = std::function<void(std::string_view bytes)>;

/// Sends and receives byte messages. Thread-safe but for the constructor.
class peer_transport
{
public:
    /// Binds `listen`. Fails with std::system_error if the address is taken.
    peer_transport(endpoint listen, message_handler on_message,
                   duration idle_limit = peer_idle_limit);
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    /// Queues a message; it is dropped if the peer's queue is full.
    void send(const endpoint& to, std::string bytes);

    struct counters
    {
        std::uint64_t sent_messages = 0;
        std::uint64_t sent_bytes = 0;
        std::uint64_t received_messages = 0;
        std::uint64_t received_bytes = 0;
        std::uint64_t dropped_messages = 0;
        /// Connections to peers that are open now.
        std::uint64_t open_peers = 0;
    };
    [[nodiscard]] counters totals() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
