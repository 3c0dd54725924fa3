// Tests the encoding and decoding of the platform's HTTP messages.
#include "platform/httpcodec.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace ebonywick::platform;
using namespace std::chrono_literals;

namespace {

http_message reply(int status, std::vector<std::pair<std::string, std::string>> fields)
{
    http_message out;
    out.status = status;
    out.fields = std::move(fields);
    out.body = "body";
    return out;
}

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Failure: a call lacks the deadline or the expected upstream, keeps the caller's own
// values, or changes method, target or body.
Test(http_codec, call_carries_deadline_and_expected_upstream)
{
    http_message request;
    request.method = "POST";
    request.target = "/a/b?c=1";
    request.fields = {{"Host", "h"},
                      {"X-Request-Id", "r1"},
                      {"X-Deadline-Ms", "600"},
                      {"X-Expect-Instance", "forged"},
                      {"Connection", "keep-alive"},
                      {"Transfer-Encoding", "chunked"},
                      {"X-Other", "v"}};
    request.body = "abc";
    const auto text = encode_call(request, upstream_id{"i-1"}, 250ms);
    cr_assert(text.starts_with("POST /a/b?c=1 HTTP/1.1\r\n"));
    cr_assert(contains(text, "X-Request-Id: r1\r\n"));
    cr_assert(contains(text, "X-Deadline-Ms: 250\r\n") && !contains(text, "600"));
    cr_assert(contains(text, "X-Expect-Instance: i-1\r\n") && !contains(text, "forged"));
    cr_assert(contains(text, "X-Other: v\r\n") && !contains(text, "chunked"));
    cr_assert(contains(text, "Content-Length: 3\r\n"));
    cr_assert(text.ends_with("\r\n\r\nabc"));
}

// Failure: a key or a customer that the caller stated itself reaches an upstream, in other case or
// repeated; or the fields are dropped although the configuration has no customers.
Test(http_codec, call_carries_the_customer_and_never_the_key)
{
    http_message request;
    request.method = "GET";
    request.target = "/";
    request.fields = {{"X-Key", "secret"},   {"x-tenant", "forged"}, {"X-TENANT", ""},
                      {"x-KEY", "secret-2"}, {"X-Tenants", "kept"},  {"Connection", "X-Tenant"}};
    const auto named = encode_call(request, upstream_id{"i-1"}, 250ms, "acme");
    cr_assert(contains(named, "X-Tenant: acme\r\n") && contains(named, "X-Tenants: kept\r\n"));
    const auto unnamed = encode_call(request, upstream_id{"i-1"}, 250ms, "");
    cr_assert(!contains(unnamed, "X-Tenant:"));
    for (const auto& it : {named, unnamed})
        cr_assert(!contains(it, "secret") && !contains(it, "forged") && !contains(it, "X-TENANT"));
    request.fields.pop_back();
    const auto plain = encode_call(request, upstream_id{"i-1"}, 250ms);
    cr_assert(contains(plain, "X-Key: secret\r\n") && contains(plain, "x-tenant: forged\r\n"));
}

// Failure: one of several keys is taken, so that hosts and upstreams may see different customers.
Test(http_codec, repeated_keys_are_no_key)
{
    http_message request;
    request.fields = {{"x-key", "a"}};
    cr_assert(decode_caller_request_header(request).key == "a");
    request.fields.emplace_back("X-Key", "a");
    cr_assert(decode_caller_request_header(request).key.empty());
}

// Failure: a reply without a stamp, or with an encoded body, is passed on as a success.
Test(http_codec, success_requires_a_stamp_and_an_unencoded_body)
{
    cr_assert(!decode_reply(reply(200, {})).reply);
    cr_assert(
        !decode_reply(reply(200, {{"X-Server-Stamp", "p"}, {"Content-Encoding", "gzip"}})).reply);
    const auto good = decode_reply(reply(200, {{"X-Server-Stamp", "p"}, {"X-Request-Id", "r"}}));
    cr_assert(good.reply && good.reply->stamp == "p" && good.request_id == "r");
}

// Failure: a request counts as not executed because of its status alone, or a reply that says so
// is taken for a result.
Test(http_codec, not_executed_requires_its_header_field)
{
    cr_assert(decode_reply(reply(503, {})).reply);
    const auto shed = decode_reply(reply(503, {{"X-Not-Executed", "1"}}));
    cr_assert(!shed.reply && shed.failure == call_failure::shed);
    const auto other = decode_reply(reply(421, {{"X-Instance-Id", "i-2"}}));
    cr_assert(!other.reply && other.failure == call_failure::misdirected);
}

// Failure: load, cold-start time or idle timeout are decoded wrongly, or invalid values are
// accepted.
Test(http_codec, load_cold_time_and_idle_timeout_of_upstreams)
{
    const auto it = decode_reply(reply(200, {{"X-Server-Stamp", "p"},
                                             {"X-Server-Load", "3,1,8"},
                                             {"X-Cold-Ms", "1500"},
                                             {"Keep-Alive", "timeout=4, max=100"}}));
    cr_assert((it.load == reported_load{3, 1, 8}));
    cr_assert(it.cold_remaining == 1500ms && it.idle_timeout == 4s);
    const auto invalid = decode_reply(
        reply(200, {{"X-Server-Load", "3,x"}, {"X-Cold-Ms", "-1"}, {"Keep-Alive", "timeout=x"}}));
    cr_assert(!invalid.load && !invalid.cold_remaining && !invalid.idle_timeout);
    const auto load = [](const std::string& text) {
        return decode_reply(reply(200, {{"X-Server-Load", text}})).load;
    };
    cr_assert((load("3,1,8,250") == reported_load{3, 1, 8, 250}));
    for (const char* text : {"3,1,8,", "3,1,8,x", "3,1,8,0", "3,1,8,99999999999", "3,1,8,90,1"})
        cr_assert((load(text) == reported_load{3, 1, 8}), "%s", text);
    for (const char* text : {"3,1,,90", "3,1", "3,1,x,90", ",,,"})
        cr_assert(!load(text), "%s", text);
}

// Failure: a merged answer lacks a stamp or the number of missing parts.
Test(http_codec, merged_answer)
{
    const auto text =
        encode_answer(merged_answer{"0123456789abcdef", {"p1", "p2"}, 1}, connection_use::close);
    cr_assert(text.starts_with("HTTP/1.1 200 OK\r\n"));
    cr_assert(contains(text, "X-Part-Stamps: p1, p2\r\n"));
    cr_assert(contains(text, "X-Missing-Parts: 1\r\n"));
    cr_assert(contains(text, "Connection: close\r\n"));
    cr_assert(text.ends_with("\r\n\r\n0123456789abcdef"));
}

// Failure: an answer of ebonywick itself contains an upstream's stamp, or a refusal has no
// Retry-After.
Test(http_codec, error_answer)
{
    const auto text = encode_answer(error_answer{503, "no_upstream", 150ms}, connection_use::keep);
    cr_assert(contains(text, "Retry-After: 0.150\r\n"));
    cr_assert(!contains(text, "X-Server-Stamp"));
}

// Failure: a directory query is not recognized, or its answer has no addresses field.
Test(http_codec, directory)
{
    http_message query;
    query.target = "/ebonywick/resolve?name=a.example&region=r&zone=z-1";
    cr_assert(is_directory_query(query));
    query.target = "/ebonywick/ready";
    cr_assert(!is_directory_query(query));
    const auto text = encode_directory_answer({{"10.1.0.39", 8226}}, 1500ms, connection_use::keep);
    cr_assert(contains(text, R"("addrs":["10.1.0.39:8226"])"));
    cr_assert(contains(text, R"("ttl_s":1.5)"));
}

// Failure: an out-of-range or missing time budget overflows or counts as zero.
Test(http_codec, caller_time_budget)
{
    http_message request;
    request.fields = {{"X-Request-Id", "r"}, {"X-Deadline-Ms", "99999999999999999999"}};
    cr_assert(!decode_caller_request_header(request).time_left);
    request.fields[1].second = "250";
    cr_assert(decode_caller_request_header(request).time_left == 250ms);
    request.fields.pop_back();
    cr_assert(!decode_caller_request_header(request).time_left);
}

// Failure: a limit is missed, or a rejection, a failure, an unreadable field or a reply of another
// upstream at the same address ends or sets one.
Test(http_codec, limit_is_set_by_the_field_and_ended_by_a_success_without_it)
{
    const auto limit = [](int status, const std::string& value) {
        std::vector<std::pair<std::string, std::string>> fields{{"X-Server-Stamp", "p"}};
        if (!value.empty())
            fields.emplace_back("Server-Limit", value);
        return decode_reply(reply(status, fields)).limit;
    };
    cr_assert(limit(200, "38.125") == stated_limit{38.125});
    cr_assert(limit(500, "7") == stated_limit{7.0});
    cr_assert(limit(200, "0") == stated_limit{0.0});
    cr_assert(limit(200, "") == stated_limit{});
    cr_assert(!limit(500, "") && !limit(421, "7"));
    for (const char* invalid : {"-1", "nan", "inf", "1e3", "0x1p4", "7/s", " 7"})
        cr_assert(!limit(200, invalid), "%s", invalid);
    cr_assert(!decode_reply(reply(503, {{"X-Not-Executed", "1"}})).limit);
    cr_assert(decode_reply(reply(429, {{"X-Not-Executed", "1"}, {"Server-Limit", "3"}})).limit ==
              stated_limit{3.0});
}

// Failure: a statement that the upstream leaves is missed in a refusal or a failure, or one of
// another upstream at the address is taken for it.
Test(http_codec, statement_of_leaving)
{
    for (const int status : {200, 404, 408, 429, 500, 503})
        cr_assert(states_leaving(reply(status, {{"server-leaving", "1"}})), "%d", status);
    cr_assert(!states_leaving(reply(421, {{"Server-Leaving", "1"}})));
    cr_assert(!states_leaving(reply(200, {})));
    cr_assert(!states_leaving(reply(200, {{"Server-Leaving", "0"}})));
}

// Failure: a pause that an upstream asks for is missed, shortened or overflows, or a text that is
// no number of seconds counts as one.
Test(http_codec, pause_of_a_refusal)
{
    const auto pause = [](int status, const std::string& value) {
        return decode_reply(reply(status, {{"X-Not-Executed", "1"}, {"Retry-After", value}})).pause;
    };
    cr_assert(pause(503, "4") == 4s && pause(429, "4") == 4s);
    cr_assert(pause(503, "0.25") == 250ms);
    cr_assert(pause(503, "0") == 0s);
    cr_assert(pause(503, "99999999999999999999") == 1h);
    for (const char* invalid : {"-1", "", "soon", "1e3", "Fri, 31 Dec 1999 23:59:59 GMT"})
        cr_assert(!pause(503, invalid), "%s", invalid);
    cr_assert(!pause(500, "4") && !pause(421, "4"));
    cr_assert(!decode_reply(reply(503, {{"X-Not-Executed", "1"}})).pause);
    // A failure that may have run asks for a pause just the same.
    cr_assert(decode_reply(reply(503, {{"Retry-After", "4"}})).pause == 4s);
}

// Failure: an answer without a body states the length of an empty one, although the upstream stated
// another or none.
Test(http_codec, answers_without_a_body_keep_the_stated_length)
{
    const auto encoded = [](int status, bodyless is_bodyless, const std::string& length) {
        http_message message = reply(status, {{"X-Server-Stamp", "p"}});
        message.body.clear();
        if (!length.empty())
            message.fields.emplace_back("Content-Length", length);
        return encode_answer(*decode_reply(std::move(message), is_bodyless).reply,
                             connection_use::keep);
    };
    cr_assert(contains(encoded(200, bodyless::yes, "900"), "Content-Length: 900\r\n"));
    cr_assert(!contains(encoded(200, bodyless::yes, ""), "Content-Length"));
    cr_assert(contains(encoded(200, bodyless::no, ""), "Content-Length: 0\r\n"));
    cr_assert(!contains(encoded(204, bodyless::no, ""), "Content-Length"));
    cr_assert(!contains(encoded(304, bodyless::no, ""), "Content-Length"));
    cr_assert(contains(encoded(304, bodyless::no, "900"), "Content-Length: 900\r\n"));
}
