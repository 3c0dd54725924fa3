// HTTP client of the operator tool for calls to the hosts.
#include "operatorclient/hostclient.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace ebonywick {

namespace {

constexpr std::size_t max_threads = 32;

// Calls `run(index)` for each index below `count`, up to max_threads of them concurrently, and
// waits for all.
template <class Run>
void for_each_parallel(std::size_t count, Run run)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (std::size_t it = 0; it < std::min(count, max_threads); ++it)
        threads.emplace_back([&] {
            for (auto index = next++; index < count; index = next++)
                run(index);
        });
    for (auto& thread : threads)
        thread.join();
}

httplib::Client client_for(const endpoint& address, duration timeout)
{
    httplib::Client client{address.ip, address.port};
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(timeout).count();
    const auto sec = static_cast<time_t>(us / 1'000'000);
    const auto remaining_us = static_cast<time_t>(us % 1'000'000);
    client.set_connection_timeout(sec, remaining_us);
    client.set_read_timeout(sec, remaining_us);
    client.set_write_timeout(sec, remaining_us);
    client.set_tcp_nodelay(true);
    return client;
}

} // namespace

std::vector<polled_host> poll_hosts(const std::vector<roster_host>& hosts, duration timeout)
{
    std::vector<polled_host> out(hosts.size());
    for_each_parallel(hosts.size(), [&](std::size_t index) {
        const auto& host = hosts[index];
        out[index] = {host.id, host.http, std::nullopt};
        auto client = client_for(host.http, timeout);
        const auto reply = client.Get("/v1/status");
        if (reply && reply->status == 200)
            out[index].report = parse_status(reply->body);
    });
    return out;
}

std::vector<host_id> push_object(const std::vector<roster_host>& hosts, const std::string& kind,
                                 object_version version, const std::string& body, duration timeout)
{
    std::vector<char> accepted(hosts.size(), 0);
    for_each_parallel(hosts.size(), [&](std::size_t index) {
        auto client = client_for(hosts[index].http, timeout);
        const auto reply =
            client.Post("/v1/control/config",
                        httplib::Headers{{"X-Object-Kind", kind},
                                         {"X-Object-Version", std::to_string(version)}},
                        body, "application/json");
        accepted[index] = reply && reply->status / 100 == 2 ? 1 : 0;
    });
    std::vector<host_id> out;
    for (std::size_t it = 0; it < hosts.size(); ++it) {
        if (accepted[it] == 0)
            out.push_back(hosts[it].id);
    }
    return out;
}

} // namespace ebonywick
