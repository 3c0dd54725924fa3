// Emulates a small platform in one process: a store, and the upstreams of several shards, of one
// order service and of a fragile service, whose upstreams end under certain requests. Used by the
// soak test and for manual tests. Faults are injected over HTTP.
#include "platformstore.h"
#include "platformupstream.h"

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>
#include <map>

using namespace ebonywick;
using nlohmann::json;

namespace {

// How often upstreams that run a fatal request end, and how long they are down.
constexpr duration crash_interval = std::chrono::milliseconds{2};
constexpr duration down_time = std::chrono::milliseconds{1500};

struct emulator_options
{
    int base_port = 0;
    int shards = 4;
    int replicas = 3;
};

/// Ports: base_port is the store, base_port + 1 the admin interface; the upstreams follow.
class platform_emulator
{
public:
    platform_emulator(boost::asio::io_context& loop, timer_queue& timers,
                      const emulator_options& options)
        : loop_(loop), timers_(timers), options_(options), store_(loop, timers, address(0)),
          admin_(loop, timers, address(1),
                 {[this](http_exchange it) { serve_admin(std::move(it)); },
                  [](const bad_request&) {
                      return std::string{"HTTP/1.1 400 Bad\r\n\r\n"};
                  }})
    {
        for (int shard = 0; shard < options_.shards; ++shard)
            add_service(fmt::format("shard{}", shard));
        add_service("orders");
        first_fragile_ = upstreams_.size();
        add_service("fragile");
        add_service("fragile");
        write_configuration(1);
        copy_ = store_.copy();
        crash_timer_.set_after(crash_interval);
    }

private:
    [[nodiscard]] endpoint address(int offset) const
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(options_.base_port + offset)};
    }

    void add_service(const std::string& service)
    {
        if (services_.empty() || services_.back() != service)
            services_.push_back(service);
        for (int replica = 0; replica < options_.replicas; ++replica) {
            upstreams_.emplace_back();
            start_upstream(upstreams_.size() - 1, service,
                           fmt::format("i-{}-{}", service, replica));
        }
    }
    void start_upstream(std::size_t index, const std::string& service, std::string id)
    {
        if (service == "fragile")
            id = fmt::format("i-fragile-{}", ++lifetimes_);
        ids_[index] = id;
        upstreams_[index] = std::make_unique<standin::platform_upstream>(
            loop_, timers_, address(2 + static_cast<int>(index)),
            standin::upstream_options{.id = id});
        write_entry(index, service);
    }
    void write_entry(std::size_t index, const std::string& service)
    {
        store_.put("servers", ids_[index],
                   {{"backend", service},
                    {"address", to_string(address(2 + static_cast<int>(index)))},
                    {"zone", fmt::format("z{}", index % 3)},
                    {"version", "v1"},
                    {"slots", 4},
                    {"state", "ready"},
                    {"cold_remaining_ms", 0},
                    {"sequence", 1},
                    {"born", lifetimes_ + 1}});
    }
    // The upstreams that have started since the copy write their entries again. Those of upstreams
    // that have ended since then lapse.
    void repeat_fragile_entries()
    {
        std::vector<std::string> lapsed;
        for (const auto& entry : store_.objects("servers")) {
            const std::string& name = entry.first;
            const bool current = std::any_of(ids_.begin(), ids_.end(),
                                             [&](const auto& it) { return it.second == name; });
            if (!current)
                lapsed.push_back(name);
        }
        for (const std::string& it : lapsed)
            store_.remove("servers", it);
        for (std::size_t it = first_fragile_; it < upstreams_.size(); ++it) {
            if (upstreams_[it])
                write_entry(it, "fragile");
        }
    }

    // Ends the upstreams that run a fatal request, and starts them again some time later.
    void crash_and_restart()
    {
        const time_point now = timers_.now();
        for (std::size_t it = first_fragile_; it < upstreams_.size(); ++it) {
            if (!upstreams_[it]) {
                if (now >= down_until_[it]) {
                    store_.remove("servers", ids_[it]);
                    start_upstream(it, "fragile", "");
                }
                continue;
            }
            const auto& runs = upstreams_[it]->runs();
            const bool fatal = std::any_of(runs.begin(), runs.end(), [](const auto& each) {
                return each.target.starts_with("/f/fatal");
            });
            if (!fatal)
                continue;
            past_runs_.insert(past_runs_.end(), runs.begin(), runs.end());
            upstreams_[it].reset();
            down_until_[it] = now + down_time;
        }
        crash_timer_.set_after(crash_interval);
    }
    [[nodiscard]] std::vector<standin::platform_upstream::run> all_runs() const
    {
        auto out = past_runs_;
        for (const auto& it : upstreams_) {
            if (it)
                out.insert(out.end(), it->runs().begin(), it->runs().end());
        }
        return out;
    }

    void write_configuration(int version)
    {
        json shards = json::array();
        json backends = json::array();
        for (const std::string& it : services_) {
            if (it.starts_with("shard"))
                shards.push_back(it);
            backends.push_back({{"name", it},
                                {"max_connections", 64},
                                {"cold_start_s", 3.0},
                                {"cold_per_s", 0.0}});
        }
        const json query_route{
            {"name", "query"},      {"hostname", "soak.example"}, {"path_prefix", "/q/"},
            {"type", "idempotent"}, {"timeout_ms", 1500},         {"target_latency_ms", 150},
            {"priority", 1},        {"shards", shards},           {"attempts", 2},
            {"top_k", 5},           {"min_shard_ratio", 0.75}};
        const json order_route{{"name", "order"},      {"hostname", "soak.example"},
                               {"path_prefix", "/o/"}, {"type", "non_idempotent"},
                               {"timeout_ms", 3000},   {"target_latency_ms", 600},
                               {"priority", 1},        {"backend", "orders"},
                               {"attempts", 2}};
        const json fragile_route{
            {"name", "fragile"},    {"hostname", "soak.example"}, {"path_prefix", "/f/"},
            {"type", "idempotent"}, {"timeout_ms", 1500},         {"target_latency_ms", 300},
            {"priority", 1},        {"backend", "fragile"},       {"attempts", 1}};
        store_.put("config", "main",
                   {{"version", version},
                    {"routes", json::array({query_route, order_route, fragile_route})},
                    {"backends", backends},
                    {"limits",
                     {{"max_header_bytes", 16384},
                      {"max_body_bytes", 262144},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}}}});
    }

    // GET /runs returns the requests that the upstreams ran and when, in ms, GET /arrivals the
    // times in ms at which requests have reached each upstream, GET /leaving when each has first
    // stated in a reply that it is leaving. POST with any other path takes a command: {"store":
    // {...}, "fail": [upstream, fault, count], ...}.
    void serve_admin(http_exchange exchange)
    {
        json reply = json::object();
        if (exchange.request().target == "/runs") {
            reply = json::array();
            for (const auto& it : all_runs())
                reply.push_back({it.request_id, it.method, it.target,
                                 to_milliseconds(it.at.time_since_epoch())});
        } else if (exchange.request().target == "/arrivals") {
            reply = json::array();
            for (const auto& it : upstreams_) {
                json times = json::array();
                if (!it)
                    continue;
                for (const time_point at : it->arrivals())
                    times.push_back(to_milliseconds(at.time_since_epoch()));
                reply.push_back(std::move(times));
            }
        } else if (exchange.request().target == "/leaving") {
            reply = json::array();
            for (const auto& it : upstreams_) {
                if (!it)
                    continue;
                const auto& at = it->stated_leaving_at();
                reply.push_back(at ? json(to_milliseconds(at->time_since_epoch())) : json());
            }
        } else {
            apply_command(json::parse(exchange.request().body, nullptr, false));
        }
        const auto text = reply.dump();
        exchange.answer(
            fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", text.size(), text),
            after_answer::keep_open);
    }

    void apply_command(const json& command)
    {
        if (!command.is_object())
            return;
        if (command.contains("store")) {
            const json& it = command["store"];
            store_.set_faults({.refuse_with = it.value("refuse_with", 0),
                               .silent = it.value("silent", false),
                               .lost_reply_interval = it.value("lose_write", 0U),
                               .delay = std::chrono::milliseconds{it.value("delay_ms", 0)},
                               .lag = it.value("lag", std::uint64_t{0})});
        }
        if (command.value("forget_history", false))
            store_.forget_history();
        if (command.value("cut_watches", false))
            store_.cut_watches();
        if (command.value("keep_copy", false))
            copy_ = store_.copy();
        if (command.value("restore", false)) {
            store_.restore(copy_);
            repeat_fragile_entries();
        }
        if (command.contains("version"))
            write_configuration(command["version"].get<int>());
        if (command.contains("fail")) {
            const json& it = command["fail"];
            upstreams_[it[0].get<std::size_t>() % upstreams_.size()]->fail_next(
                static_cast<standin::upstream_fault>(it[1].get<int>()), it[2].get<std::size_t>());
        }
        // [upstream, requests a second]; a negative number ends the limit. The reply has the time
        // in ms at which it was set.
        if (command.contains("limit")) {
            const json& it = command["limit"];
            const auto rate = it[1].get<double>();
            upstreams_[it[0].get<std::size_t>() % upstreams_.size()]->set_limit(
                rate < 0 ? std::nullopt : std::optional{rate});
        }
        if (command.contains("leaving"))
            upstreams_[command["leaving"].get<std::size_t>() % upstreams_.size()]->state_leaving(
                true);
        // [upstream, ms from the next request on, text of Retry-After]
        if (command.contains("refuse")) {
            const json& it = command["refuse"];
            upstreams_[it[0].get<std::size_t>() % upstreams_.size()]->refuse_from_next_for(
                std::chrono::milliseconds{it[1].get<int>()}, it[2].get<std::string>());
        }
        if (command.contains("pause")) {
            const json& it = command["pause"];
            upstreams_[it[0].get<std::size_t>() % upstreams_.size()]->pause_until(
                timers_.now() + std::chrono::milliseconds{it[1].get<int>()});
        }
    }

    boost::asio::io_context& loop_;
    timer_queue& timers_;
    emulator_options options_;
    standin::platform_store store_;
    standin::store_copy copy_;
    std::vector<std::string> services_;
    // Null while an upstream of the fragile service is down; these are the last ones.
    std::vector<std::unique_ptr<standin::platform_upstream>> upstreams_;
    std::size_t first_fragile_ = 0;
    std::size_t lifetimes_ = 0;
    std::map<std::size_t, std::string> ids_;
    std::map<std::size_t, time_point> down_until_;
    // Of upstreams that have ended.
    std::vector<standin::platform_upstream::run> past_runs_;
    http_server admin_;
    loop_timer crash_timer_{timers_, [this] {
                                crash_and_restart();
                            }};
};

} // namespace

int main(int argc, const char** argv)
{
    emulator_options options;
    const poptOption table[] = {
        {"base-port", 'p', POPT_ARG_INT, &options.base_port, 0, "first port; required", "PORT"},
        {"shards", 's', POPT_ARG_INT, &options.shards, 0, "shards of the query service", "N"},
        {"replicas", 'r', POPT_ARG_INT, &options.replicas, 0, "upstreams of each service", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    const int parsed = poptGetNextOpt(context);
    poptFreeContext(context);
    if (parsed < -1 || options.base_port <= 0) {
        std::fputs("ebonywick-platform-standin: --base-port is required, see --help\n", stderr);
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        boost::asio::io_context loop{1};
        timer_queue timers{loop, boot_clock::now};
        const platform_emulator running{loop, timers, options};
        boost::asio::signal_set signals{loop, SIGTERM, SIGINT};
        signals.async_wait([&](const boost::system::error_code&, int) { loop.stop(); });
        loop.run();
    } catch (const std::exception& ex) {
        std::fprintf(stderr, "ebonywick-platform-standin: %s\n", ex.what());
        return 1;
    }
    return 0;
}
