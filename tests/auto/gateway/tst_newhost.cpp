// Tests of the first requests of a gateway that has just become ready.
#include "gatewayfixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace ebonywick;

// Orders that take 0.8 of 2 s come at once, before the host is an entry host. Guards against orders
// that wait for a connection although the upstreams have free slots and accept more connections,
// and against an answer that leaves open whether an order has run that was never sent.
Test(new_host, first_requests_do_not_wait_for_a_connection)
{
    for (const int connection_limit : {1000, 1}) {
        gateway_fixture f{1};
        f.connection_limit = connection_limit;
        for (std::size_t it = 0; it < 2; ++it)
            f.entries[f.entries.size() - 1 - it]["slots"] = 16;
        std::vector<std::unique_ptr<standin::platform_upstream>> upstreams;
        for (const std::size_t index : {2U, 3U}) {
            const endpoint at = free_address();
            upstreams.push_back(std::make_unique<standin::platform_upstream>(
                f.loop, f.timers, at,
                standin::upstream_options{.id = f.ids[index], .slots = 16, .service_time = 800ms}));
            f.entries[index]["address"] = to_string(at);
        }
        f.start_ready();
        std::vector<std::unique_ptr<http_channel>> callers;
        std::map<std::string, int> statuses;
        for (int it = 0; it < 12; ++it) {
            const std::string id = "o" + std::to_string(it);
            callers.push_back(std::make_unique<http_channel>(f.loop, f.timers, f.settings.callers));
            callers.back()->call(f.request_text("POST", "/o/x", id, "body"), 5s,
                                 [&statuses, id](const std::optional<http_message>& reply) {
                                     statuses[id] = reply ? reply->status : 0;
                                 });
        }
        cr_assert(f.wait_until([&] { return statuses.size() == 12; }));
        for (const auto& [id, status] : statuses) {
            std::size_t runs = 0;
            for (const auto& it : upstreams)
                runs += static_cast<std::size_t>(
                    std::count_if(it->runs().begin(), it->runs().end(),
                                  [&id = id](const auto& run) { return run.request_id == id; }));
            if (connection_limit == 1000)
                cr_assert_eq(status, 200, "%s: %d", id.c_str(), status);
            // With one connection to each upstream, what does not run must be known not to.
            if (runs == 0)
                cr_assert_eq(status, 503, "%s: %d", id.c_str(), status);
        }
    }
}
