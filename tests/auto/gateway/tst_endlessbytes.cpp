// Tests of a gateway whose upstreams send bytes without end, interim replies or late copies.
#include "endlessupstream.h"
#include "gatewayfixture.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

struct endless_reply
{
    const char* name;
    std::string prefix;
    std::string pattern;
    // The bytes begin with a complete reply; what follows belongs to no request.
    bool starts_complete = false;
};

std::vector<endless_reply> endless_replies()
{
    const std::string ok = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n";
    const std::string line = "X-Filler: " + std::string(200, 'x') + "\r\n";
    const std::string block(4096, 'x');
    return {{"header lines", ok, line},
            {"header line", ok + "X: ", block},
            {"status line", "HTTP/1.1 200 ", block},
            {"spaces", " ", std::string(4096, ' ')},
            {"line breaks", "\r\n", "\r\n\r\n"},
            {"body beyond its length", ok + "Content-Length: 16\r\n\r\n", block, true},
            {"body without a length", ok + "\r\n", block},
            {"large body", ok + "Content-Length: 99999999999\r\n\r\n", block},
            {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
            {"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n4;a=", block},
            {"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", "0000000000000000"},
            {"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", line},
            {"interim replies", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"early hints", "HTTP/1.1 103 Early Hints\r\n", line}};
}

} // namespace

// Failure: a reply that never ends holds a call beyond its time budget or takes memory without
// limit, its connection stays open, or the caller gets a part of it.
Test(endless_bytes, calls_end_and_other_requests_are_served)
{
    for (const endless_reply& it : endless_replies()) {
        gateway_fixture f{1, fixture_clock::by_hand};
        // Both upstreams of `orders`, and one of the two of the shard, send without end.
        std::vector<std::unique_ptr<endless_upstream>> faulty;
        for (const std::size_t index : {0U, 2U, 3U}) {
            const endpoint at = free_address();
            faulty.push_back(std::make_unique<endless_upstream>(f.loop, at, it.prefix, it.pattern));
            f.entries[index]["address"] = to_string(at);
        }
        f.start_ready();
        const time_point before = f.timers.now();
        const auto order = f.order("o1");
        // The time budget of a request is 2 s.
        cr_assert(f.timers.now() - before < 3s, "%s", it.name);
        if (it.starts_complete)
            cr_assert(order.status == 200 && order.body == std::string(16, 'x'));
        else
            cr_assert(order.status == 502 || order.status == 504, "%s: %d", it.name, order.status);
        cr_assert(faulty[1]->requests() + faulty[2]->requests() == 1, "%s: sent again", it.name);
        for (int n = 0; n < 8; ++n) {
            const auto answer = f.query("q" + std::to_string(n));
            const bool from_faulty = it.starts_complete && answer.body == std::string(16, 'x');
            cr_assert(answer.status == 200 && (from_faulty || answer.body.size() == 48), "%s: %d",
                      it.name, answer.status);
        }
        f.run(100ms);
        for (const auto& each : faulty)
            cr_assert(each->sending() == 0, "%s", it.name);
    }
}

// An upstream sends a second copy of a reply, without the id of its request, on a connection that
// is in use again. Failure: the next caller gets it.
Test(endless_bytes, late_copy_without_an_id_is_no_answer)
{
    namespace asio = boost::asio;
    gateway_fixture f{1};
    const endpoint at = free_address();
    asio::ip::tcp::acceptor acceptor{f.loop, {asio::ip::make_address(at.ip), at.port}};
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets;
    std::array<char, 4096> input{};
    std::string output;
    const std::function<void(const std::shared_ptr<asio::ip::tcp::socket>&, bool)> serve =
        [&](const std::shared_ptr<asio::ip::tcp::socket>& socket, bool first) {
            socket->async_read_some(
                asio::buffer(input), [&, socket, first](const auto& ec, std::size_t n) {
                    if (ec)
                        return;
                    const std::string request{input.data(), n};
                    const auto id = request.find("X-Request-Id: ");
                    const auto line = request.substr(id, request.find("\r\n", id) - id) + "\r\n";
                    output = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n" + (first ? line : "") +
                             "Content-Length: 4\r\n\r\n" + (first ? "body" : "old!");
                    asio::write(*socket, asio::buffer(output));
                    serve(socket, false);
                });
        };
    const std::function<void()> accept = [&] {
        acceptor.async_accept([&](const auto& ec, asio::ip::tcp::socket socket) {
            if (ec)
                return;
            sockets.push_back(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
            serve(sockets.back(), true);
            accept();
        });
    };
    accept();
    f.entries[2]["address"] = to_string(at);
    f.entries[3]["state"] = "draining";
    f.connection_limit = 1;
    f.start_ready();
    cr_assert(f.order("o1").body == "body");
    const auto second = f.order("o2");
    cr_assert(second.body != "old!");
    f.run(50ms);
    acceptor.close();
    for (const auto& it : sockets)
        it->close();
    f.run(50ms);
}

// Failure: an interim reply is passed to the caller as the final one.
Test(endless_bytes, interim_replies_are_skipped)
{
    for (const int interim : {1, 3}) {
        gateway_fixture f{1};
        std::string prefix;
        for (int it = 0; it < interim; ++it)
            prefix += "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        prefix += "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nConnection: close\r\n"
                  "Content-Length: 4\r\n\r\nbody";
        const endpoint at = free_address();
        endless_upstream faulty{f.loop, at, prefix, " "};
        f.entries[2]["address"] = to_string(at);
        f.entries[3]["address"] = to_string(at);
        f.start_ready();
        const auto answer = f.order("o1");
        cr_assert(answer.status == 200 && answer.body == "body", "%d", answer.status);
    }
}
