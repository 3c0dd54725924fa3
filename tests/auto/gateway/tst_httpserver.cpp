// Tests of the HTTP server's connections with a client that controls when it reads and writes.
#include "gatewayfixture.h"

#include <criterion/criterion.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>

using namespace ebonywick;

// A second request arrives while the first answer is partly written, because the client does not
// read yet. Failure: the answers overwrite each other.
Test(http_server, pipelined_request_waits_for_the_answer_before)
{
    namespace asio = boost::asio;
    asio::io_context loop{1};
    timer_queue timers{loop, boot_clock::now};
    const endpoint address = free_address();
    const std::string large(16U << 20U, 'a');
    const std::string small(1000, 'b');
    http_server server{loop,
                       timers,
                       address,
                       {[&](http_exchange it) {
                            it.answer(it.request().target == "/large" ? large : small,
                                      after_answer::keep_open);
                        },
                        [](const bad_request&) {
                            return std::string{};
                        }}};
    asio::ip::tcp::socket client{loop};
    client.connect({asio::ip::make_address(address.ip), address.port});
    const auto send = [&](const std::string& target) {
        asio::write(client, asio::buffer("GET " + target + " HTTP/1.1\r\nHost: t\r\n\r\n"));
        loop.run_for(50ms);
    };
    send("/large");
    send("/small");
    std::string received(large.size() + small.size(), ' ');
    bool complete = false;
    asio::async_read(client, asio::buffer(received),
                     [&](const boost::system::error_code& ec, std::size_t) { complete = !ec; });
    loop.run_for(3s);
    cr_assert(complete);
    cr_assert(received == large + small);
}

// A client goes on sending after its last request, and reads the answer slowly. Guards against a
// connection that is closed with unread bytes, which makes the system discard the end of the
// answer.
Test(http_server, last_answer_arrives_although_the_client_sends_more)
{
    namespace asio = boost::asio;
    asio::io_context loop{1};
    timer_queue timers{loop, boot_clock::now};
    const endpoint address = free_address();
    const std::string large(4U << 20U, 'a');
    http_server server{loop,
                       timers,
                       address,
                       {[&](http_exchange it) { it.answer(large, after_answer::close); },
                        [](const bad_request&) {
                            return std::string{};
                        }}};
    asio::ip::tcp::socket client{loop, asio::ip::tcp::v4()};
    client.set_option(asio::socket_base::receive_buffer_size{8192});
    client.connect({asio::ip::make_address(address.ip), address.port});
    asio::write(client, asio::buffer(std::string{
                            "GET /a HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n"}));
    loop.run_for(50ms);
    client.non_blocking(true);
    std::string received;
    std::array<char, 65'536> buf{};
    boost::system::error_code ec;
    const std::string more(100, 'b');
    while (!ec || ec == asio::error::would_block) {
        boost::system::error_code ignored;
        client.write_some(asio::buffer(more), ignored);
        const std::size_t n = client.read_some(asio::buffer(buf), ec);
        received.append(buf.data(), ec ? 0 : n);
        loop.run_for(1ms);
    }
    cr_assert(ec == asio::error::eof && received == large, "%zu bytes, %s", received.size(),
              ec.message().c_str());
}

// A client pipelines a part of a request and does not read its answer until the time for the next
// request is over. Guards against a status of the server in the middle of the answer.
Test(http_server, timeout_does_not_write_into_an_answer)
{
    namespace asio = boost::asio;
    asio::io_context loop{1};
    timer_queue timers{loop, boot_clock::now};
    const endpoint address = free_address();
    const std::string large(16U << 20U, 'a');
    http_server server{loop,
                       timers,
                       address,
                       {[&](http_exchange it) { it.answer(large, after_answer::keep_open); },
                        [](const bad_request&) {
                            return std::string(1000, 'b');
                        }}};
    server.set_limits({.header_timeout = 100ms, .idle_timeout = 100ms});
    asio::ip::tcp::socket client{loop};
    client.connect({asio::ip::make_address(address.ip), address.port});
    asio::write(client,
                asio::buffer(std::string{"GET /a HTTP/1.1\r\nHost: t\r\n\r\nGET /b HTTP/1.1\r\n"}));
    loop.run_for(400ms);
    client.non_blocking(true);
    std::string received;
    std::array<char, 65'536> buf{};
    boost::system::error_code ec;
    while (!ec || ec == asio::error::would_block) {
        const std::size_t n = client.read_some(asio::buffer(buf), ec);
        received.append(buf.data(), ec ? 0 : n);
        loop.run_for(1ms);
    }
    // The connection is closed, because the client has not received the answer in time.
    cr_assert(received.size() < large.size());
    cr_assert(received.find_first_not_of('a') == std::string::npos);
}

// Guards against a body after the answer to a HEAD request, which the client takes for the
// beginning of the next answer.
Test(http_server, answer_to_head_ends_with_its_header)
{
    namespace asio = boost::asio;
    asio::io_context loop{1};
    timer_queue timers{loop, boot_clock::now};
    const endpoint address = free_address();
    const std::string head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\n";
    const http_server server{
        loop,
        timers,
        address,
        {[&](http_exchange it) { it.answer(head + "body", after_answer::keep_open); },
         [&](const bad_request&) {
             return head + "body";
         }}};
    asio::ip::tcp::socket client{loop};
    client.connect({asio::ip::make_address(address.ip), address.port});
    const std::string fields = " /a HTTP/1.1\r\nHost: t\r\n\r\n";
    asio::write(client, asio::buffer("HEAD" + fields + "GET" + fields + "HEAD" + fields));
    loop.run_for(50ms);
    std::string received(1000, ' ');
    received.resize(client.read_some(asio::buffer(received)));
    cr_assert(received == head + head + "body" + head, "%s", received.c_str());
}

// A configuration raises the limits. Guards against connections that were opened before and keep
// the limits of that time.
Test(http_server, new_limits_reach_open_connections)
{
    namespace asio = boost::asio;
    asio::io_context loop{1};
    timer_queue timers{loop, boot_clock::now};
    const endpoint address = free_address();
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    std::string refused = "HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n";
    http_server server{loop,
                       timers,
                       address,
                       {[&](http_exchange it) { it.answer(ok, after_answer::keep_open); },
                        [&](const bad_request&) {
                            return refused;
                        }}};
    server.set_limits({.body_bytes = 10});
    std::vector<asio::ip::tcp::socket> clients;
    const auto send = [&](asio::ip::tcp::socket& to, std::size_t bytes) {
        asio::write(to, asio::buffer(fmt::format("POST /a HTTP/1.1\r\nHost: t\r\nContent-Length: {}"
                                                 "\r\n\r\n{}",
                                                 bytes, std::string(bytes, 'x'))));
        loop.run_for(20ms);
        std::string received(1000, ' ');
        received.resize(to.read_some(asio::buffer(received)));
        return received;
    };
    for (int it = 0; it < 2; ++it) {
        clients.emplace_back(loop);
        clients.back().connect({asio::ip::make_address(address.ip), address.port});
        loop.run_for(20ms);
    }
    // One of the connections has carried a request.
    cr_assert(send(clients[0], 10) == ok);
    server.set_limits({.body_bytes = 100});
    for (auto& it : clients)
        cr_assert(send(it, 100) == ok);
    server.set_limits({.body_bytes = 50});
    for (auto& it : clients)
        cr_assert(send(it, 100) == refused);
}

// A client sends requests ahead, more than one read takes, and the end of the last one some time
// later; all are refused at once. Guards against a request that is answered as malformed because it
// has not arrived as a whole yet.
Test(http_server, requests_sent_ahead_are_answered_once_they_are_whole)
{
    namespace asio = boost::asio;
    constexpr int requests = 16;
    asio::io_context loop{1};
    timer_queue timers{loop, boot_clock::now};
    const endpoint address = free_address();
    const std::string refused = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    std::string malformed = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
    http_server server{loop,
                       timers,
                       address,
                       {[&](http_exchange it) { it.answer(refused, after_answer::keep_open); },
                        [&malformed](const bad_request&) {
                            return malformed;
                        }}};
    const std::string one =
        "GET /a HTTP/1.1\r\nHost: t\r\nX-Filler: " + std::string(400, 'x') + "\r\n\r\n";
    std::string all;
    for (int it = 0; it < requests; ++it)
        all += one;
    for (std::size_t cut = 1; cut < one.size(); cut += 29) {
        asio::ip::tcp::socket client{loop};
        client.connect({asio::ip::make_address(address.ip), address.port});
        asio::write(client, asio::buffer(std::string_view{all}.substr(0, all.size() - cut)));
        loop.run_for(20ms);
        asio::write(client, asio::buffer(std::string_view{all}.substr(all.size() - cut)));
        std::string received(requests * refused.size(), ' ');
        bool complete = false;
        asio::async_read(client, asio::buffer(received),
                         [&](const boost::system::error_code& ec, std::size_t) { complete = !ec; });
        loop.run_for(50ms);
        std::string expected;
        for (int it = 0; it < requests; ++it)
            expected += refused;
        cr_assert(complete && received == expected, "cut %zu: %s", cut,
                  received.find(malformed) != std::string::npos ? "malformed" : "incomplete");
    }
}
