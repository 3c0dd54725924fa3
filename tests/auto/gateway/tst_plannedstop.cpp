// Tests of a gateway that is stopped as planned while callers go on sending requests.
#include "gatewayfixture.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

/// An order that is sent on a connection of its own.
struct sent_order
{
    std::unique_ptr<http_channel> channel;
    // Empty until the answer; status 0 if the connection has ended without one.
    std::optional<http_message> answer;
};

std::unique_ptr<sent_order> send_order(gateway_fixture& f, const std::string& id)
{
    auto out = std::make_unique<sent_order>();
    out->channel = std::make_unique<http_channel>(f.loop, f.timers, f.settings.callers);
    out->channel->call(f.request_text("POST", "/o/x", id, "body"), 5s,
                       [to = out.get()](std::optional<http_message> reply) {
                           to->answer = reply.value_or(http_message{});
                       });
    return out;
}

} // namespace

// Orders take 500 to 900 ms and come until the host has left. Guards against an order that is taken
// although the rest of the grace period is shorter than what orders usually take, so that it runs
// but ends without its answer; and against orders that are refused although there is time.
Test(planned_stop, takes_only_requests_that_can_end_in_time)
{
    gateway_fixture f{1};
    // No order waits for a connection.
    f.connection_limit = 1000;
    f.start_ready();
    f.run(1s);
    int number = 0;
    const auto set_service_times = [&] {
        for (std::size_t it = 0; it < 2; ++it)
            f.order_upstream(it).set_service_time(500ms + number * 37 % 400 * 1ms);
    };
    std::vector<std::unique_ptr<sent_order>> before;
    for (; number < 40; ++number) {
        set_service_times();
        before.push_back(send_order(f, "a" + std::to_string(number)));
        f.run(120ms);
    }
    f.run(1s);
    bool left = false;
    f.instance->leave([&] { left = true; });
    const time_point since = boot_clock::now();
    std::vector<std::unique_ptr<sent_order>> orders;
    std::size_t early = 0;
    while (!left) {
        set_service_times();
        orders.push_back(send_order(f, "b" + std::to_string(number++)));
        early += boot_clock::now() - since < 500ms ? 1 : 0;
        f.run(120ms);
    }
    f.run(100ms);
    std::size_t answered = 0;
    for (const auto& it : orders) {
        const int status = it->answer ? it->answer->status : 0;
        // Those after the listening socket was closed have not been read.
        if (status == 0)
            continue;
        cr_assert(status == 200 || status == 503, "%d", status);
        answered += status == 200 ? 1 : 0;
    }
    cr_assert_geq(answered, early);
}

// A host that knows no configuration yet is stopped. Guards against answering that there is no
// route, which callers do not retry elsewhere.
Test(planned_stop, host_without_a_configuration_does_not_know_the_routes)
{
    gateway_fixture f{1};
    f.publish();
    f.store.set_faults({.silent = true});
    f.start();
    f.run(300ms);
    f.instance->leave([] {});
    const auto answer = f.order("o");
    cr_assert_eq(answer.status, 503);
    cr_assert(!answer.field("Retry-After").empty());
}
