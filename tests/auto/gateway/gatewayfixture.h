// A gateway with stand-ins of the store and the upstreams, all on the event loop of the test.
#pragma once

#include "platformstore.h"
#include "platformupstream.h"

#include "gateway/gateway.h"
#include "gateway/httpchannel.h"

#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <unistd.h>

namespace ebonywick {

using namespace std::chrono_literals;
using nlohmann::json;

/// Returns an unused port on a loopback address derived from the process id, because test
/// programs run in parallel.
inline endpoint free_address()
{
    const auto process = static_cast<unsigned>(::getpid());
    const auto ip = fmt::format("127.{}.{}.1", 1 + process / 250 % 250, process % 250);
    // The system may return a released port again, so all returned ports are remembered.
    static std::set<std::uint16_t> given;
    while (true) {
        boost::asio::io_context loop;
        const boost::asio::ip::tcp::acceptor probe{loop, {boost::asio::ip::make_address(ip), 0}};
        const std::uint16_t port = probe.local_endpoint().port();
        if (given.insert(port).second)
            return {ip, port};
    }
}

enum class fixture_clock : std::uint8_t { system, by_hand };

struct gateway_fixture
{
    /// Creates two upstreams for each of the services s0 to s(shards - 1) and `orders`.
    /// With a clock that is set by hand, verdicts do not depend on the speed of the machine.
    explicit gateway_fixture(int shards = 3, fixture_clock clock = fixture_clock::system)
        : by_hand(clock == fixture_clock::by_hand)
    {
        std::signal(SIGPIPE, SIG_IGN);
        settings.host = host_id{"h1"};
        settings.domain = failure_domain_id{"z0"};
        settings.callers = free_address();
        settings.readiness = free_address();
        settings.directory = free_address();
        settings.heartbeats = free_address();
        settings.control = free_address();
        settings.metrics = free_address();
        settings.store = store_address;
        settings.grace = 2s;
        for (int shard = 0; shard < shards; ++shard)
            add_service("s" + std::to_string(shard));
        add_service("orders");
        shard_count = shards;
    }

    void add_service(const std::string& service)
    {
        for (int replica = 0; replica < 2; ++replica) {
            const endpoint at = free_address();
            const auto id = fmt::format("i-{}-{}", service, replica);
            upstreams.push_back(std::make_unique<standin::platform_upstream>(
                loop, timers, at, standin::upstream_options{.id = id}));
            entries.push_back({{"backend", service},
                               {"address", to_string(at)},
                               {"zone", fmt::format("z{}", replica)},
                               {"slots", 4},
                               {"state", "ready"},
                               {"cold_remaining_ms", 0},
                               {"sequence", 1},
                               {"born", 1}});
            ids.push_back(id);
        }
    }
    /// One of the two upstreams of the service `orders`.
    standin::platform_upstream& order_upstream(std::size_t replica)
    {
        return *upstreams[upstreams.size() - 2 + replica];
    }

    json configuration(int version) const
    {
        json names = json::array();
        json backends = json::array({{{"name", "orders"}, {"max_connections", connection_limit}}});
        for (int shard = 0; shard < shard_count; ++shard) {
            const auto name = "s" + std::to_string(shard);
            names.push_back(name);
            backends.push_back({{"name", name}, {"max_connections", connection_limit}});
        }
        return {{"version", version},
                {"routes", json::array({{{"name", "query"},
                                         {"hostname", "a.example"},
                                         {"path_prefix", "/q/"},
                                         {"type", "idempotent"},
                                         {"timeout_ms", 2000},
                                         {"target_latency_ms", 300},
                                         {"priority", 1},
                                         {"shards", names},
                                         {"attempts", 2},
                                         {"top_k", 3},
                                         {"min_shard_ratio", 1.0}},
                                        {{"name", "order"},
                                         {"hostname", "a.example"},
                                         {"path_prefix", "/o/"},
                                         {"type", "non_idempotent"},
                                         {"timeout_ms", 2000},
                                         {"target_latency_ms", 300},
                                         {"priority", 1},
                                         {"backend", "orders"},
                                         {"attempts", 2}}})},
                {"backends", backends},
                {"limits", {{"max_header_bytes", 2000}, {"max_body_bytes", 1000}}}};
    }

    /// Writes the upstream entries and the configuration into the store.
    void publish()
    {
        for (std::size_t it = 0; it < ids.size(); ++it)
            store.put("servers", ids[it], entries[it]);
        store.put("config", "main", configuration(1));
    }
    void start()
    {
        instance = std::make_unique<gateway>(loop, timers, settings, log, 5);
        instance->start();
    }
    /// Publishes, starts the gateway and waits until it is ready.
    void start_ready()
    {
        publish();
        start();
        wait_until([this] { return get(settings.readiness, "/ebonywick/ready").status == 200; });
    }

    /// Settings of another host, with addresses of its own.
    gateway_settings other_host(const std::string& id) const
    {
        gateway_settings out = settings;
        out.host = host_id{id};
        out.seeds = {settings.control};
        for (endpoint* it : {&out.callers, &out.readiness, &out.directory, &out.heartbeats,
                             &out.control, &out.metrics})
            *it = free_address();
        return out;
    }

    /// Runs the event loop until the condition holds; false if it does not within 10 s.
    bool wait_until(const std::function<bool()>& reached)
    {
        const time_point end = timers.now() + 10s;
        while (!reached()) {
            if (timers.now() > end)
                return false;
            run(clock_step);
        }
        return true;
    }
    void run(duration span)
    {
        if (!by_hand) {
            loop.run_for(span);
            return;
        }
        for (const time_point end = hand_time + span; hand_time < end;)
            advance();
    }
    /// Sets the clock by one step.
    void advance()
    {
        poll();
        hand_time += clock_step;
        timers.run_due();
        for (const auto& it : host_timers)
            it->run_due();
        poll();
        if (each_step)
            each_step();
    }
    /// Runs what the sockets have ready, without a change of the time.
    void poll()
    {
        // Bounded, because some stand-ins send without end.
        constexpr int max_handlers = 5000;
        for (int it = 0; it < max_handlers && loop.poll_one() != 0;)
            ++it;
    }

    /// Sends one request and waits for the answer; status 0 if there is none.
    http_message call(const endpoint& to, const std::string& request, duration limit = 5s)
    {
        http_channel channel{loop, timers, to};
        std::optional<http_message> reply;
        bool ended = false;
        channel.call(request, limit, [&](std::optional<http_message> it) {
            reply = std::move(it);
            ended = true;
        });
        while (!ended) {
            if (by_hand)
                advance();
            else
                loop.run_one();
        }
        return reply.value_or(http_message{});
    }
    http_message get(const endpoint& to, const std::string& target)
    {
        return call(to, fmt::format("GET {} HTTP/1.1\r\nHost: t\r\n\r\n", target));
    }
    std::string request_text(const std::string& method, const std::string& target,
                             const std::string& id, const std::string& body = "") const
    {
        return fmt::format("{} {} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {}\r\n"
                           "X-Deadline-Ms: 2000\r\nContent-Length: {}\r\n\r\n{}",
                           method, target, id, body.size(), body);
    }
    http_message query(const std::string& id)
    {
        return call(settings.callers, request_text("GET", "/q/x", id));
    }
    http_message order(const std::string& id)
    {
        return call(settings.callers, request_text("POST", "/o/x", id, "body"));
    }
    /// How often upstreams executed the request.
    std::size_t runs_of(const std::string& id) const
    {
        std::size_t out = 0;
        for (const auto& it : upstreams) {
            for (const auto& each : it->runs())
                out += each.request_id == id ? 1 : 0;
        }
        return out;
    }

    static constexpr duration clock_step = 5ms;

    boost::asio::io_context loop{1};
    bool by_hand = false;
    time_point hand_time{1h};
    timer_queue timers{loop, [this] {
                           return by_hand ? hand_time : boot_clock::now();
                       }};
    // With a clock that is set by hand: called after each step of it.
    std::function<void()> each_step;
    // With a clock that is set by hand: of hosts whose clocks differ from this one.
    std::vector<std::unique_ptr<timer_queue>> host_timers;
    event_loop_logger log{log_level::error};
    endpoint store_address = free_address();
    standin::platform_store store{loop, timers, store_address};
    gateway_settings settings;
    int shard_count = 0;
    int connection_limit = 64;
    std::vector<std::unique_ptr<standin::platform_upstream>> upstreams;
    std::vector<json> entries;
    std::vector<std::string> ids;
    std::unique_ptr<gateway> instance;
};

} // namespace ebonywick
