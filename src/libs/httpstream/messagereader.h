// Incremental reader of HTTP messages from the bytes of one connection.
#pragma once

#include "httpstream/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace ebonywick {

enum class message_kind : std::uint8_t { request, reply };

struct message_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 262144;

    auto operator<=>(const message_limits&) const = default;
};

enum class read_state : std::uint8_t {
    need_more,
    complete,
    header_too_large,
    body_too_large,
    // Not HTTP, or ended before its end.
    malformed,
};

/// Reads one message after the other. Bytes beyond the end of a message are kept for the
/// next one. Not thread-safe.
class message_reader
{
public:
    message_reader(message_kind kind, message_limits limits);
    ~message_reader();
    message_reader(const message_reader&) = delete;
    message_reader& operator=(const message_reader&) = delete;

    /// Takes in bytes and returns the state of the current message. After anything but
    /// need_more and complete the connection is of no further use.
    read_state feed(std::string_view bytes);
    /// The peer has ended the stream in good order; completes a reply without length.
    read_state end_of_stream();
    [[nodiscard]] read_state state() const;

    /// Takes the complete message; the reader then continues with the bytes that are
    /// left, so state() may be complete again.
    [[nodiscard]] http_message take();

    /// The next reply has no body whatever its fields say, as after a HEAD request.
    void expect_no_body();

    /// Bytes of the current message have arrived.
    [[nodiscard]] bool message_started() const;
    [[nodiscard]] bool header_complete() const;
    /// The sender of the request waits for an interim reply before it sends the body.
    [[nodiscard]] bool expects_continue() const;
    /// Bytes that are kept in memory.
    [[nodiscard]] std::size_t buffered_bytes() const;

private:
    struct state_data;
    std::unique_ptr<state_data> state_;
};

} // namespace ebonywick
