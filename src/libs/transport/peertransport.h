// Message transport between hosts on ZeroMQ. One I/O thread owns a ROUTER socket
// for incoming messages and a DEALER socket for each peer.
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

/// A connection that has sent no message for this time is closed. Otherwise a host
/// that once sent to all others would keep all these connections open, each with two
/// ZMTP heartbeats per second.
inline constexpr duration peer_idle_limit = std::chrono::seconds{10};

/// Called on the I/O thread with one message, which is valid only during the call;
/// must not block.
using message_handler = std::function<void(std::string_view bytes)>;

/// Sends and receives messages of bytes. Thread-safe. Delivery is not guaranteed:
/// messages are lost when a queue is full or a connection breaks.
class peer_transport
{
public:
    /// Binds `listen` and starts the I/O thread. Throws std::system_error if the
    /// address is in use.
    peer_transport(endpoint listen, message_handler on_message,
                   duration idle_limit = peer_idle_limit);
    /// Sends the queued messages, for at most 200 ms to each peer, and joins the I/O
    /// thread.
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    /// Queues a message; it is dropped if the peer's queue is full.
    void send(const endpoint& to, std::string bytes);

    /// Totals since the start, apart from open_peers.
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
