// Tests message_reader: framing of HTTP messages, limits and the end of the stream.
#include "httpstream/messagereader.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

const std::string small_reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: b\r\n\r\nhi";

} // namespace

// Guards against misreading a message that arrives in two pieces, wherever it is split.
Test(message_reader, any_split_gives_the_same_message)
{
    for (std::size_t cut = 0; cut <= small_reply.size(); ++cut) {
        message_reader reader{message_kind::reply, {}};
        reader.feed(std::string_view{small_reply}.substr(0, cut));
        cr_assert(reader.feed(std::string_view{small_reply}.substr(cut)) == read_state::complete);
        const auto message = reader.take();
        cr_assert(message.status == 200 && message.body == "hi" && message.field("x-a") == "b");
    }
}

// Guards against adding the bytes after a message to it, or losing them.
Test(message_reader, following_message_is_kept_until_taken)
{
    message_reader reader{message_kind::reply, {}};
    cr_assert(reader.feed(small_reply + small_reply) == read_state::complete);
    cr_assert(reader.take().body == "hi");
    cr_assert(reader.state() == read_state::complete);
    cr_assert(reader.take().body == "hi");
    cr_assert(!reader.message_started());
}

// Guards against accepting a reply whose stream ended before its Content-Length.
Test(message_reader, truncated_reply_is_malformed)
{
    message_reader reader{message_kind::reply, {}};
    reader.feed(small_reply.substr(0, small_reply.size() - 1));
    cr_assert(reader.end_of_stream() == read_state::malformed);
}

// Guards against waiting forever for the end of a reply without length, or losing its body.
Test(message_reader, reply_without_length_ends_with_the_stream)
{
    message_reader reader{message_kind::reply, {}};
    cr_assert(reader.feed("HTTP/1.1 200 OK\r\n\r\nabc") == read_state::need_more);
    cr_assert(reader.end_of_stream() == read_state::complete);
    const auto message = reader.take();
    cr_assert(message.body == "abc" && !message.keep_alive);
}

// Guards against request smuggling: two lengths, or a length together with chunked encoding,
// would let a second request hide in a body.
Test(message_reader, ambiguous_framing_is_malformed)
{
    for (const std::string fields : {"Content-Length: 2\r\nContent-Length: 3\r\n",
                                     "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
                                     "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n"}) {
        message_reader reader{message_kind::request, {}};
        cr_assert(reader.feed("POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n") ==
                      read_state::malformed,
                  "%s", fields.c_str());
    }
}

// Guards against a body that is read as the next request: its end is unknown if the last coding is
// another one than chunked, or if it is not clear which codings there are (RFC 9112, 6.1 and 6.3).
Test(message_reader, other_codings_than_chunked_are_malformed)
{
    for (const std::string fields :
         {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n",
          "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, gzip\r\n",
          "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked, chunked\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", "Transfer-Encoding:\r\n",
          "Transfer-Encoding: \"chunked\"\r\n", "Transfer-Encoding: chunked;a=b\r\n"}) {
        message_reader request{message_kind::request, {}};
        cr_expect(request.feed("POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n") ==
                      read_state::malformed,
                  "request with %s", fields.c_str());
        message_reader reply{message_kind::reply, {}};
        cr_expect(reply.feed("HTTP/1.1 200 OK\r\n" + fields + "\r\n") == read_state::malformed,
                  "reply with %s", fields.c_str());
    }
    message_reader old{message_kind::request, {}};
    cr_expect(old.feed("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n") ==
              read_state::malformed);
    for (const std::string value : {"chunked", "CHUNKED", " chunked \t"}) {
        message_reader request{message_kind::request, {}};
        cr_expect(request.feed("POST / HTTP/1.1\r\nTransfer-Encoding: " + value +
                               "\r\n\r\n1\r\na\r\n0\r\n\r\n") == read_state::complete,
                  "%s", value.c_str());
    }
}

// Guards against handing over a chunked body incompletely or with its framing.
Test(message_reader, chunks_are_joined)
{
    message_reader reader{message_kind::request, {}};
    cr_assert(reader.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n") == read_state::complete);
    cr_assert(reader.take().body == "abcde");
}

// Guards against a peer that makes the host buffer more than the limits allow.
Test(message_reader, limits_bound_header_and_body)
{
    message_reader header{message_kind::request, {.header_bytes = 100, .body_bytes = 10}};
    cr_assert(header.feed("GET / HTTP/1.1\r\nX: " + std::string(200, 'x')) ==
              read_state::header_too_large);
    message_reader body{message_kind::request, {.header_bytes = 100, .body_bytes = 10}};
    cr_assert(body.feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n") ==
              read_state::body_too_large);
    message_reader chunks{message_kind::request, {.header_bytes = 100, .body_bytes = 10}};
    cr_assert(chunks.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "b\r\nabcdefghijk\r\n") == read_state::body_too_large);
}

// Guards against waiting until a timeout for the rest of bytes that are not HTTP.
Test(message_reader, bytes_other_than_http_are_malformed)
{
    message_reader reader{message_kind::reply, {}};
    cr_assert(reader.feed("\x01\x02garbage\r\n\r\n") == read_state::malformed);
}

// Guards against waiting for a body after the reply to a HEAD request, which may have a
// Content-Length but never a body.
Test(message_reader, expect_no_body_ignores_the_content_length)
{
    message_reader reader{message_kind::reply, {}};
    reader.expect_no_body();
    cr_assert(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n") == read_state::complete);
}

// Guards against forwarding fields that concern a single connection.
Test(http_message, standard_and_listed_connection_fields_are_recognized)
{
    http_message message;
    message.fields = {{"Connection", "close, X-Private"}, {"X-Private", "1"}, {"X-Public", "2"}};
    cr_assert(is_connection_field("connection", message));
    cr_assert(is_connection_field("x-private", message));
    cr_assert(is_connection_field("Keep-Alive", message));
    cr_assert(!is_connection_field("X-Public", message));
}

// Guards against a reply that counts as complete although the stream has ended in its head, in its
// body or between its chunks.
Test(message_reader, every_shorter_reply_is_incomplete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-A: b\r\n";
    for (const std::string& whole :
         {head + "Content-Length: 3\r\n\r\nabc",
          head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
          std::string{"HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n"}}) {
        for (std::size_t n = 0; n <= whole.size(); ++n) {
            for (const bool at_once : {true, false}) {
                message_reader reader{message_kind::reply, {}};
                for (std::size_t it = 0; it < n; it += at_once ? n : 1)
                    reader.feed(std::string_view{whole}.substr(it, at_once ? n : 1));
                const read_state state = reader.end_of_stream();
                cr_assert(state ==
                              (n == whole.size() ? read_state::complete : read_state::malformed),
                          "%zu bytes of %s", n, whole.c_str());
            }
        }
    }
    // Without a length the body ends with the stream, but the head does not.
    const std::string unframed = head + "\r\n";
    for (std::size_t n = 0; n < unframed.size(); ++n) {
        message_reader reader{message_kind::reply, {}};
        reader.feed(std::string_view{unframed}.substr(0, n));
        cr_assert(reader.end_of_stream() == read_state::malformed, "%zu", n);
    }
}

// Guards against a body that is passed on with its chunk headers, not at all, or past the limit.
Test(message_reader, bodies_are_passed_on_as_they_arrive)
{
    const std::string replies = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "3\r\nsec\r\n3\r\nond\r\n0\r\n\r\n";
    for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, replies.size()}) {
        message_reader reader{message_kind::reply, {.body_bytes = 6}};
        std::string passed;
        reader.set_body_sink([&](std::string_view it) { passed.append(it); });
        std::size_t taken = 0;
        for (std::size_t at = 0; at < replies.size(); at += piece) {
            reader.feed(std::string_view{replies}.substr(at, piece));
            while (reader.state() == read_state::complete) {
                cr_assert(reader.take().body.empty());
                ++taken;
            }
        }
        cr_assert(taken == 2 && passed == "firstsecond");
        reader.set_body_sink(nullptr);
        reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
        cr_assert(reader.take().body == "x" && passed == "firstsecond");
        cr_assert(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n") ==
                  read_state::body_too_large);
    }
}
