// Incremental parser of the HTTP messages that arrive on one connection.
#pragma once

#include "httpstream/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace ebonywick {

enum class message_kind : std::uint8_t { request, reply };

/// Largest message that a reader accepts.
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
    // Not valid HTTP, or the stream ended inside the message.
    malformed,
};

/// Reads messages one after another. Bytes after the end of a message are kept for the next
/// one. Not thread-safe.
class message_reader
{
public:
    message_reader(message_kind kind, message_limits limits);
    ~message_reader();
    message_reader(const message_reader&) = delete;
    message_reader& operator=(const message_reader&) = delete;

    /// Parses further bytes and returns the state of the current message. After a state other
    /// than need_more and complete the stream cannot be read any further.
    read_state feed(std::string_view bytes);
    /// To be called when the peer has ended the stream without an error. Completes a reply without
    /// length; any other unfinished message becomes malformed.
    read_state end_of_stream();
    [[nodiscard]] read_state state() const;

    /// Returns the complete message and parses the bytes that follow it, so state() may be
    /// complete again afterwards. Requires state() to be complete.
    [[nodiscard]] http_message take();

    /// Makes the current reply end with its header, whatever its fields say; for the reply to a
    /// HEAD request. To be called before its first byte is fed.
    void expect_no_body();

    /// Applies to the messages that have not been started.
    void set_limits(message_limits limits);

    /// Passes the bodies of the following messages on as they arrive, in place of
    /// http_message::body; an empty function ends this. The body of a message that turns out to be
    /// malformed or too large is passed on as far as it was read.
    void set_body_sink(std::function<void(std::string_view)> sink);

    /// True once a byte of the current message has arrived.
    [[nodiscard]] bool message_started() const;
    [[nodiscard]] bool header_complete() const;
    /// The current message as far as it has arrived; null until its header is complete.
    [[nodiscard]] const http_message* begun_message() const;
    /// True if the sender of the request waits for the interim reply `100 Continue` before it
    /// sends the body.
    [[nodiscard]] bool expects_continue() const;
    /// Size of the unparsed bytes and of the body received so far.
    [[nodiscard]] std::size_t buffered_bytes() const;
    /// Memory that the unparsed bytes and the current message take, in bytes.
    [[nodiscard]] std::size_t held_bytes() const;
    /// Drops the current message and the unparsed bytes; the stream cannot be read any further.
    void discard();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace ebonywick
