// Tests of the HTTP server's connections with a client that controls when it reads and writes.
#include "gatewayfixture.h"

#include <criterion/criterion.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

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
