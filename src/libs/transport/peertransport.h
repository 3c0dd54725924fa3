// ZeroMQ sockets between hosts. One I/O thread owns a ROUTER for incoming
// messages and a DEALER for each peer.
#pragma once

#include "base/identifiers.h"
#include "settings/declaration.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ebonywick {

/// Called on the I/O thread with the bytes of one message; must not block.
using message_handler = std::function<void(std::string_view bytes)>;

/// Sends and receives byte messages. Thread-safe but for the constructor.
class peer_transport
{
public:
    /// Binds `listen`. Fails with std::system_error if the address is taken.
    peer_transport(endpoint listen, message_handler on_message);
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
    };
    [[nodiscard]] counters totals() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
