// Tests for links and the cancel sender, against servers that send valid, invalid or
// no replies.
#include "rawserver.h"
#include "upstreamlink/upstreamlink.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <fstream>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

using namespace ebonywick;
using namespace ebonywick::testing;
using std::chrono::milliseconds;

namespace {

const std::string good_body = R"({"version":3,"epoch":2,"shard":"s1","versions":[2,3],)"
                              R"("state":"warm","boot_id":7,"load":1,"hits":[{"a":"b"}]})";

/// Memory of this process, in bytes.
std::size_t resident_bytes()
{
    std::size_t all = 0;
    std::size_t resident = 0;
    std::ifstream{"/proc/self/statm"} >> all >> resident;
    return resident * static_cast<std::size_t>(::getpagesize());
}

/// A link that runs one call and records what its handlers receive.
class link_fixture
{
public:
    explicit link_fixture(
        std::uint16_t port, std::function<bool()> may_send = [] { return true; })
        : link_(5, endpoint{"127.0.0.1", port},
                {[this](const link_reply& it) { reply_.set_value(it); },
                 [this](const link_probed& it) { probed_.push_back(it); },
                 [this](const link_opened& it) { opened_.set_value(it); },
                 [may_send = std::move(may_send)](duration) {
                     return may_send();
                 }})
    {
    }

    bool opened() { return opened_.get_future().get().success; }

    link_reply call(bool idempotent = true, duration timeout = std::chrono::seconds{5})
    {
        start(idempotent, timeout);
        return reply_.get_future().get();
    }

    /// Nothing if the call has not ended within `limit`.
    std::optional<link_reply> call_within(duration limit, duration timeout)
    {
        start(true, timeout);
        std::future<link_reply> reply = reply_.get_future();
        if (reply.wait_for(limit) != std::future_status::ready)
            return std::nullopt;
        return reply.get();
    }

    void start(bool idempotent = true, duration timeout = std::chrono::seconds{5})
    {
        link_.start({{{1, 2}, 3, 4}, shard_name{"s1"}, {3, 2}, idempotent, timeout, "{}", "key"});
    }

    // Written before opened() returns.
    [[nodiscard]] const std::vector<link_probed>& probed() const { return probed_; }

private:
    std::promise<link_reply> reply_;
    std::promise<link_opened> opened_;
    std::vector<link_probed> probed_;
    // Last, so that the link's thread ends before the members that it writes to.
    upstream_link link_;
};

/// Returns an open link. Opening is retried, because a health request may exceed its
/// 500 ms on a busy machine.
std::unique_ptr<link_fixture> opened_link(
    const raw_server& server, const std::function<bool()>& may_send = [] { return true; })
{
    for (int n = 0; n < 20; ++n) {
        auto it = std::make_unique<link_fixture>(server.port(), may_send);
        if (it->opened())
            return it;
    }
    cr_assert_fail("no connection was opened");
    return nullptr;
}

std::size_t count(raw_server& server, const std::string& start)
{
    const auto all = server.requests();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [&](const std::string& it) { return it.starts_with(start); }));
}

/// Answers health requests with `healthy` and calls with `bytes`.
raw_server::handler call_answer(std::string bytes, bool close_after = false)
{
    return [bytes = std::move(bytes), close_after](const std::string& request) {
        return request.starts_with("GET /health") ? answer{healthy} : answer{bytes, close_after};
    };
}

link_reply reply_to(const std::string& bytes, bool close_after = false)
{
    raw_server server{call_answer(bytes, close_after)};
    return opened_link(server)->call();
}

} // namespace

// Guards against fields of the request or the reply being left out.
Test(upstream_link, call_sends_its_headers_and_returns_the_whole_reply)
{
    raw_server server{call_answer(http_reply(200, good_body))};
    const auto it = opened_link(server);
    cr_assert_eq(it->probed().at(0).boot_id, 7U);
    const std::size_t connections = server.connections();
    const link_reply reply = it->call();
    cr_assert(reply.status == reply_status::completed);
    cr_assert(reply.body == R"([{"a":"b"}])");
    cr_assert(reply.from == (snapshot{3, 2}) && reply.shard == shard_name{"s1"});
    cr_assert(reply.versions == (std::vector<index_version>{2, 3}));
    cr_assert(reply.reported == reported_state::warm && reply.boot_id == 7 && reply.load == 1);
    cr_assert_eq(server.connections(), connections);
    const std::string request = server.requests().back();
    cr_assert(request.starts_with("POST /search "));
    for (const char* header : {"X-Call-Id: ", "X-Deadline-Ms: 5000\r\n", "X-Index-Version: 3\r\n",
                               "X-Shard-Epoch: 2\r\n", "X-Shard: s1\r\n"})
        cr_assert(request.find(header) != std::string::npos, "%s", header);
}

// Guards against an order being sent without the key by which the upstream
// recognizes repetitions.
Test(upstream_link, order_sends_its_key_and_returns_the_whole_reply)
{
    raw_server server{call_answer(http_reply(200, R"({"order":"printed"})"))};
    const link_reply reply = opened_link(server)->call(false);
    cr_assert(reply.status == reply_status::completed);
    cr_assert(reply.body == R"({"order":"printed"})");
    cr_assert(server.requests().back().starts_with("POST /order "));
    cr_assert(server.requests().back().find("X-Idempotency-Key: key\r\n") != std::string::npos);
}

// Guards against truncated, invalid or foreign bodies being merged (I2, I5).
Test(upstream_link, truncated_or_invalid_replies_are_lost)
{
    const std::string whole = http_reply(200, good_body);
    cr_assert(reply_to(whole.substr(0, whole.size() - 1), true).status == reply_status::lost);
    cr_assert(reply_to("HTTP/1.1 200 X\r\n\r\n" + good_body, true).status == reply_status::lost,
              "the end of a body without length is unknown");
    for (const std::string& body :
         {good_body + "}", good_body.substr(0, good_body.size() - 1), std::string{"[]"},
          std::string{R"({"version":3,"epoch":2,"shard":"s1"})"},
          std::string{R"({"version":3,"epoch":2,"shard":"s1","hits":{}})"}, std::string{}})
        cr_assert(reply_to(http_reply(200, body)).status == reply_status::lost, "%s", body.c_str());
    cr_assert(reply_to(http_reply(500, good_body)).status == reply_status::lost);
}

// The upstream stops in the head of its reply or right after it, and closes. Guards against an
// empty reply that counts as complete or as not run.
Test(upstream_link, reply_that_stops_in_its_head_is_lost, .timeout = 60)
{
    const std::string whole = http_reply(200, good_body);
    const std::size_t head = whole.find("\r\n\r\n") + 4;
    for (std::size_t n = 1; n <= head; n += n + 6 < head ? 5 : 1) {
        const link_reply reply = reply_to(whole.substr(0, n), true);
        cr_assert(reply.status == reply_status::lost, "%zu of %zu bytes", n, head);
    }
}

// Guards against a call being reported as not run when it may have run (I6): the
// status code is not enough, the body must say it.
Test(upstream_link, refusals_count_as_not_run_only_if_they_say_so)
{
    const std::string words = R"({"not_run":true,"versions":[4]})";
    const link_reply held = reply_to(http_reply(409, words));
    cr_assert(held.status == reply_status::shed && held.version_not_held);
    cr_assert(held.versions == std::vector<index_version>{4});
    for (const int status : {429, 503}) {
        const link_reply shed = reply_to(http_reply(status, words));
        cr_assert(shed.status == reply_status::shed && !shed.version_not_held);
    }
    for (const int status : {409, 429, 503}) {
        cr_assert(reply_to(http_reply(status, "{}")).status == reply_status::lost);
        cr_assert(reply_to(http_reply(status, "busy")).status == reply_status::lost);
    }
    cr_assert(reply_to(http_reply(500, words)).status == reply_status::lost);
    cr_assert(reply_to(http_reply(499, R"({"cancelled":true})")).status == reply_status::cancelled);
    cr_assert(reply_to(http_reply(499, "{}")).status == reply_status::lost);
}

// Guards against a call being written after the lease has lapsed.
Test(upstream_link, call_is_not_sent_if_may_send_refuses)
{
    raw_server server{call_answer(http_reply(200, good_body))};
    const link_reply reply = opened_link(server, [] { return false; })->call();
    cr_assert(reply.status == reply_status::cancelled && reply.not_sent);
    cr_assert_eq(count(server, "POST"), 0U);
}

// Guards against a call running twice because the client reconnects: no call is sent
// after the upstream has closed the connection.
Test(upstream_link, no_call_is_sent_after_the_connection_was_closed)
{
    raw_server server{[](const std::string&) {
        return answer{healthy, true};
    }};
    // The close may arrive after the health reply, when the call has already begun;
    // the call is lost in both cases.
    const link_reply reply = opened_link(server)->call();
    cr_assert(reply.status == reply_status::lost);
    cr_assert_eq(count(server, "POST"), 0U, "no second connection for the call");
}

// Guards against the client reconnecting when the upstream closes the connection
// between the check by may_send and the write: the check would be outdated.
Test(upstream_link, no_call_is_sent_if_the_connection_closes_right_before_the_write)
{
    raw_server server{call_answer(http_reply(200, good_body))};
    const auto it = opened_link(server, [&] {
        server.close_connections();
        return true;
    });
    const link_reply reply = it->call();
    cr_assert(reply.status == reply_status::lost && reply.not_sent);
    cr_assert_eq(count(server, "POST"), 0U);
}

// Guards against an upstream occupying a slot by sending single bytes, which restart
// the timeout of each read.
Test(upstream_link, endless_reply_ends_at_the_timeout, .timeout = 20)
{
    raw_server server{[](const std::string& request) {
        return request.starts_with("GET /health")
                   ? answer{healthy}
                   : answer{"HTTP/1.1 200 X\r\nContent-Length: 900000\r\n\r\n", false, true};
    }};
    // Longer than the server may pause on a busy machine; otherwise the timeout of a
    // single read could end the call.
    const link_reply reply = opened_link(server)->call(true, milliseconds{1000});
    cr_assert(reply.status == reply_status::lost && !reply.not_sent);
}

// Guards against a host that keeps the bytes of a reply that never ends, in its head or its body,
// and against a call that they hold beyond its timeout.
Test(upstream_link, bytes_without_end_are_not_kept, .timeout = 120)
{
    const std::string block(65536, 'x');
    const std::string line = "X-Filler: " + std::string(200, 'x') + "\r\n";
    std::string lines;
    while (lines.size() < block.size())
        lines += line;
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::pair<std::string, std::string>> forms{
        {ok, lines},
        {ok + "X: ", block},
        {"HTTP/1.1 200 ", block},
        {interim, interim},
        {ok + "Content-Length: 99999999999\r\n\r\n", block},
        {ok + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + block + "\r\n"},
        {ok + "Transfer-Encoding: chunked\r\n\r\n", block},
        {ok + "\r\n", block}};
    for (const auto& form : forms) {
        const std::string& begin = form.first;
        const std::string& endless = form.second;
        raw_server server{[&](const std::string& request) {
            return request.starts_with("GET /health") ? answer{healthy}
                                                      : answer{begin, false, false, endless};
        }};
        const auto link = opened_link(server);
        const std::size_t before = resident_bytes();
        const auto reply = link->call_within(std::chrono::seconds{5}, milliseconds{1000});
        cr_expect(reply && reply->status == reply_status::lost && !reply->not_sent, "%s: %s",
                  begin.c_str(), reply ? "another outcome" : "the call has not ended");
        cr_expect_lt(resident_bytes(), before + (std::size_t{16} << 20U), "%s: %zu bytes",
                     begin.c_str(), resident_bytes() - before);
    }
}

// Guards against an upstream that never replies blocking the link's thread, and
// against a link that cannot be destroyed while a call waits.
Test(upstream_link, call_without_reply_times_out_and_its_link_can_be_destroyed, .timeout = 20)
{
    raw_server server{call_answer("")};
    const link_reply reply = opened_link(server)->call(true, milliseconds{30});
    cr_assert(reply.status == reply_status::lost && !reply.not_sent);
    const auto stopped = opened_link(server);
    const std::size_t before = count(server, "POST");
    stopped->start(true, std::chrono::minutes{5});
    while (count(server, "POST") == before)
        std::this_thread::yield();
}

// Guards against a link counting as open when the upstream does not answer health
// requests correctly.
Test(upstream_link, opening_needs_a_valid_health_reply)
{
    raw_server invalid{[](const std::string&) {
        return answer{http_reply(200, "{")};
    }};
    link_fixture it{invalid.port()};
    cr_assert_not(it.opened());
    std::uint16_t port = 0;
    {
        const raw_server gone{call_answer("")};
        port = gone.port();
    }
    link_fixture refused{port};
    cr_assert_not(refused.opened());
}

// Guards against cancelling the wrong call, and against an upstream that does not
// answer blocking the destructor of the sender.
Test(upstream_link, cancel_sender_deletes_the_call, .timeout = 20)
{
    raw_server server{[](const std::string&) {
        return answer{http_reply(200, "{}")};
    }};
    raw_server silent{[](const std::string&) {
        return answer{};
    }};
    cancel_sender sender;
    const call_id id{{1, 2}, 3, 4};
    // Repeated, because the sender drops what it cannot deliver.
    while (server.requests().size() < 20) {
        sender.cancel({"127.0.0.1", server.port()}, id);
        std::this_thread::sleep_for(milliseconds{5});
    }
    cr_assert(server.requests().front().starts_with("DELETE /calls/" + to_string(id) + " "));
    cr_assert_lt(server.connections(), 10U, "the connection is kept");
    sender.cancel({"127.0.0.1", silent.port()}, id);
    while (silent.requests().empty())
        std::this_thread::yield();
}
