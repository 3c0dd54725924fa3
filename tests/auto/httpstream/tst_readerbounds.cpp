// Property of message_reader: what it holds is bounded, whatever is sent in whatever pieces.
#include "httpstream/messagereader.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>
#include <vector>

using namespace ebonywick;

namespace {

constexpr message_limits limits{.header_bytes = 600, .body_bytes = 2000};
// A field of four bytes takes two strings, and a vector or string may have twice the room of its
// content.
constexpr std::size_t held_bound =
    2 * (limits.header_bytes / 4 * (2 * sizeof(std::string) + 4) + limits.body_bytes) +
    std::size_t{2} * 1024;

// Parts of requests, valid and not, which are strung together at random.
rc::Gen<std::string> part()
{
    return rc::gen::element<std::string>(
        "POST /x HTTP/1.1\r\n", "Content-Length: 1990\r\n", "Transfer-Encoding: chunked\r\n",
        "Expect: 100-continue\r\n", "a:\r\n", "b: " + std::string(90, 'f') + "\r\n", "\r\n",
        "1\r\nx\r\n", "1;e=" + std::string(300, 'e') + "\r\nx\r\n",
        "7d0\r\n" + std::string(1990, 'x'), "0\r\n", "T: " + std::string(90, 't') + "\r\n",
        std::string(900, 'y'), std::string("\0\xff", 2));
}

} // namespace

// Failure: some order of chunks, extensions, trailers or fields grows without limit, or more is
// held than is counted.
Test(message_reader, held_bytes_are_bounded)
{
    setenv("RC_PARAMS", "seed=20261206 max_success=500", 1);
    const bool held = rc::check("bounded", [] {
        message_reader reader{message_kind::request, limits};
        reader.feed("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n");
        const auto parts = *rc::gen::container<std::vector<std::string>>(40, part());
        const auto piece = *rc::gen::inRange<std::size_t>(1, 700);
        std::string text;
        for (const std::string& it : parts)
            text += it;
        for (std::size_t at = 0; at < text.size(); at += piece) {
            // As a connection does, which reads no further then.
            if (reader.state() != read_state::need_more)
                break;
            reader.feed(std::string_view{text}.substr(at, piece));
            RC_ASSERT(reader.held_bytes() <= held_bound);
            RC_ASSERT(reader.held_bytes() >= reader.buffered_bytes());
        }
    });
    cr_assert(held);
}
