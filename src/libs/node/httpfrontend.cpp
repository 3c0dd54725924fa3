// HTTP server of a node, built on cpp-httplib, which serves each connection on a
// thread of a fixed pool.
#include "node/httpfrontend.h"

#include "control/entrylist.h"
#include "node/requestreader.h"
#include "orders/orderkey.h"

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <mutex>
#include <optional>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>

namespace ebonywick {

namespace {

using nlohmann::json;

// Idle connections are closed after this time, because each occupies a thread.
constexpr std::chrono::seconds keep_alive_timeout{10};
// Longest wait for more bytes of a request. The connection of a slower caller is
// closed; nothing of its request was run.
constexpr std::chrono::seconds request_read_timeout{5};
constexpr std::size_t requests_per_connection = 1000000;

/// Counts a caller's request while it is in progress.
class active_request_guard
{
public:
    explicit active_request_guard(std::atomic<std::size_t>& count) : count_(count) { ++count_; }
    ~active_request_guard() { --count_; }
    active_request_guard(const active_request_guard&) = delete;
    active_request_guard& operator=(const active_request_guard&) = delete;

private:
    std::atomic<std::size_t>& count_;
};

request_id new_request_id()
{
    // Seeded from the system's entropy in each thread, so that ids are unique across
    // hosts and restarts.
    thread_local std::random_device entropy;
    thread_local std::mt19937_64 engine{(std::uint64_t{entropy()} << 32U) | entropy()};
    thread_local const std::uint64_t high = (std::uint64_t{entropy()} << 32U) | entropy();
    return request_id{high, engine()};
}

/// What logs and metrics record of an outcome.
struct request_summary
{
    std::string_view outcome;
    std::optional<error_kind> failure;
    // Share of the shards that answered; 0 for orders and failures.
    double covered = 0.0;
};

request_summary summarize(const query_outcome& outcome)
{
    if (const auto* answer = std::get_if<answered>(&outcome))
        return {"answered", std::nullopt, answer->covered.ratio()};
    if (const auto* refused = std::get_if<not_run>(&outcome))
        return {"not_run", refused->reason.kind, 0.0};
    return {"unknown", std::get<unknown_outcome>(outcome).reason.kind, 0.0};
}

request_summary summarize(const order_outcome& outcome)
{
    if (std::holds_alternative<order_answer>(outcome))
        return {"answered", std::nullopt, 0.0};
    if (const auto* refused = std::get_if<not_run>(&outcome))
        return {"not_run", refused->reason.kind, 0.0};
    return {"unknown", std::get<unknown_outcome>(outcome).reason.kind, 0.0};
}

} // namespace

struct http_frontend::state
{
    state(const node_settings& node, frontend_dependencies components)
        : settings(node), deps(std::move(components))
    {
    }

    void add_routes();
    /// The validated request; empty if it was refused, with the refusal as response.
    std::optional<caller_request> read_request(const httplib::Request& request,
                                               httplib::Response& response, time_point now);
    void serve_search(const httplib::Request& request, httplib::Response& response);
    void serve_order(const httplib::Request& request, httplib::Response& response);
    void serve_entry_hosts(const httplib::Request& request, httplib::Response& response);
    void serve_status(httplib::Response& response);
    void serve_pushed_object(const httplib::Request& request, httplib::Response& response);
    void serve_known_object(const httplib::Request& request, httplib::Response& response);
    /// Why the host accepts no requests at this time; empty if it does.
    std::optional<not_run> refusal(time_point now) const;
    bool is_ready() const;
    void record(const caller_request& request, const request_summary& summary,
                time_point started_at);
    void respond(httplib::Response& response, const http_reply& reply) const;

    node_settings settings;
    frontend_dependencies deps;
    httplib::Server server;
    std::thread listener;
    std::atomic<std::size_t> active{0};
    std::atomic<bool> closing{false};
    std::atomic<bool> refusing{false};
};

std::optional<not_run> http_frontend::state::refusal(time_point now) const
{
    if (refusing.load())
        return not_run{make_error(error_kind::shutting_down, "the host is leaving")};
    if (!deps.control.is_current(now)) {
        return not_run{make_error(error_kind::configuration_unconfirmed,
                                  "the host cannot confirm that its configuration is current")};
    }
    return std::nullopt;
}

bool http_frontend::state::is_ready() const
{
    if (refusal(boot_clock::now()))
        return false;
    // While there is a single witness, appointing the second one makes the
    // configuration of all hosts unconfirmed until its first token arrives.
    const roster& hosts = deps.control.view()->hosts;
    return hosts.witnesses.size() >= std::min<std::size_t>(2, hosts.hosts.size());
}

void http_frontend::state::respond(httplib::Response& response, const http_reply& reply) const
{
    response.status = reply.status;
    if (closing.load())
        response.set_header("Connection", "close");
    response.set_content(reply.body, "application/json");
}

void http_frontend::state::record(const caller_request& request, const request_summary& summary,
                                  time_point started_at)
{
    const std::string_view traffic =
        request.traffic == request_class::interactive ? "interactive" : "batch";
    deps.metrics.request_ended(request.service.value(), traffic, summary.outcome,
                               boot_clock::now() - started_at);
    if (summary.failure) {
        deps.metrics.request_failed(*summary.failure);
        deps.log.write(log_level::warning, "request_failed",
                       {{"request", to_string(request.id)},
                        {"service", request.service.value()},
                        {"caller", request.caller.value()},
                        {"outcome", summary.outcome},
                        {"kind", to_string(*summary.failure)}});
    } else if (summary.covered > 0.0) {
        deps.metrics.coverage_observed(request.service.value(), summary.covered);
    }
}

std::optional<caller_request> http_frontend::state::read_request(const httplib::Request& request,
                                                                 httplib::Response& response,
                                                                 time_point now)
{
    const request_id id = new_request_id();
    const auto refuse = [&](const not_run& refused) {
        deps.metrics.request_failed(refused.reason.kind);
        respond(response, write_refusal(id, refused));
        return std::nullopt;
    };
    if (const auto refused = refusal(now))
        return refuse(*refused);
    const auto header = [&](const char* name) {
        return request.get_header_value(name);
    };
    auto read = read_caller_request(id, request.matches[1], header, request.body,
                                    deps.control.view()->config, now);
    if (const auto* problem = std::get_if<error>(&read))
        return refuse(not_run{*problem});
    return std::get<caller_request>(std::move(read));
}

void http_frontend::state::serve_search(const httplib::Request& request,
                                        httplib::Response& response)
{
    const active_request_guard guard{active};
    const time_point now = boot_clock::now();
    const auto accepted = read_request(request, response, now);
    if (!accepted)
        return;
    const query_outcome outcome = deps.queries.run(*accepted);
    record(*accepted, summarize(outcome), now);
    respond(response, write_outcome(accepted->id, outcome));
}

void http_frontend::state::serve_order(const httplib::Request& request, httplib::Response& response)
{
    const active_request_guard guard{active};
    const time_point now = boot_clock::now();
    const auto accepted = read_request(request, response, now);
    if (!accepted)
        return;
    const std::string key = request.get_header_value("Idempotency-Key");
    std::optional<error> problem = check_order_key(key);
    if (request.get_header_value_count("Idempotency-Key") != 1)
        problem = make_error(error_kind::invalid_request, "one Idempotency-Key is required");
    if (problem) {
        deps.metrics.request_failed(problem->kind);
        return respond(response, write_refusal(accepted->id, not_run{*problem}));
    }
    const order_outcome outcome = deps.orders.run(*accepted, key);
    record(*accepted, summarize(outcome), now);
    respond(response, write_outcome(accepted->id, outcome));
}

void http_frontend::state::serve_entry_hosts(const httplib::Request& request,
                                             httplib::Response& response)
{
    // With an outdated configuration the list could name hosts that have left.
    const time_point now = boot_clock::now();
    if (!deps.control.is_current(now)) {
        const error problem =
            make_error(error_kind::configuration_unconfirmed,
                       "the host cannot confirm that its configuration is current");
        return respond(response, write_refusal(new_request_id(), not_run{problem}));
    }
    const fleet_view_ptr view = deps.control.view();
    const caller_id caller{request.get_header_value("X-Caller")};
    json hosts = json::array();
    const auto status = [this](const host_id& host) {
        return deps.control.status_of(host);
    };
    for (const entry_host& it : entry_hosts(view->hosts, view->config, status, caller)) {
        hosts.push_back({{"id", it.id.value()},
                         {"address", to_string(it.address)},
                         {"failure_domain", it.domain.value()}});
    }
    const auto valid_for =
        std::chrono::duration_cast<std::chrono::milliseconds>(entry_list_validity);
    const json out{{"hosts", std::move(hosts)}, {"valid_for_ms", valid_for.count()}};
    respond(response, http_reply{200, out.dump()});
}

void http_frontend::state::serve_status(httplib::Response& response)
{
    const fleet_view_ptr view = deps.control.view();
    json hosts = json::array();
    for (const known_host& it : deps.control.hosts()) {
        hosts.push_back({{"id", it.host.id.value()},
                         {"status", to_string(it.status)},
                         {"failure_domain", it.host.domain.value()},
                         {"http", to_string(it.host.http)}});
    }
    json held = json::array();
    for (const upstream_id& it : deps.control.held())
        held.push_back(it.value());
    json services = json::array();
    for (const service_declaration& it : view->config.services)
        services.push_back(it.name.value());
    const json out{{"host", settings.self.id.value()},
                   {"incarnation", deps.incarnation},
                   {"domain", settings.self.domain.value()},
                   {"status", to_string(deps.control.status_of(settings.self.id))},
                   {"current", deps.control.is_current(boot_clock::now())},
                   {"config_version", view->config_version},
                   {"roster_version", view->roster_version},
                   {"preset", view->config.preset_in_force.value()},
                   {"services", std::move(services)},
                   {"hosts", std::move(hosts)},
                   {"held", std::move(held)}};
    respond(response, http_reply{200, out.dump()});
}

void http_frontend::state::serve_pushed_object(const httplib::Request& request,
                                               httplib::Response& response)
{
    const std::string kind = request.get_header_value("X-Object-Kind");
    const std::string version = request.get_header_value("X-Object-Version");
    const auto n = std::strtoull(version.c_str(), nullptr, 10);
    if ((kind != "config" && kind != "roster") || n == 0 ||
        !deps.control.accept_object(kind == "config" ? object_kind::config : object_kind::roster, n,
                                    request.body)) {
        const error problem =
            make_error(error_kind::invalid_declaration, "the pushed object is not valid");
        return respond(response, write_refusal(new_request_id(), not_run{problem}));
    }
    respond(response, http_reply{200, R"({"accepted":true})"});
}

void http_frontend::state::serve_known_object(const httplib::Request& request,
                                              httplib::Response& response)
{
    const bool wants_roster = request.get_param_value("kind") == "roster";
    const stored_object object =
        deps.control.known_object(wants_roster ? object_kind::roster : object_kind::config);
    if (object.version == 0) {
        const error problem = make_error(error_kind::not_found, "no version is known yet");
        response.status = 404;
        response.set_content(write_refusal(new_request_id(), not_run{problem}).body,
                             "application/json");
        return;
    }
    response.set_header("X-Object-Version", std::to_string(object.version));
    respond(response, http_reply{200, object.content});
}

void http_frontend::state::add_routes()
{
    using httplib::Request;
    using httplib::Response;
    server.Post(R"(/v1/services/([^/]+)/search)",
                [this](const Request& in, Response& out) { serve_search(in, out); });
    server.Post(R"(/v1/services/([^/]+)/orders)",
                [this](const Request& in, Response& out) { serve_order(in, out); });
    server.Get("/v1/entry-hosts",
               [this](const Request& in, Response& out) { serve_entry_hosts(in, out); });
    server.Get("/v1/status", [this](const Request&, Response& out) { serve_status(out); });
    server.Post("/v1/control/config",
                [this](const Request& in, Response& out) { serve_pushed_object(in, out); });
    server.Get("/v1/control/config",
               [this](const Request& in, Response& out) { serve_known_object(in, out); });
    server.Get("/healthz", [this](const Request&, Response& out) {
        respond(out, http_reply{200, R"({"alive":true})"});
    });
    server.Get("/readyz", [this](const Request&, Response& out) {
        const bool ready = is_ready();
        respond(out,
                http_reply{ready ? 200 : 503, ready ? R"({"ready":true})" : R"({"ready":false})"});
    });
    server.Get("/metrics", [this](const Request&, Response& out) {
        out.set_content(deps.metrics.exposition(deps.gauges()), "text/plain; version=0.0.4");
    });
    server.set_error_handler([](const Request&, Response& out) {
        if (!out.body.empty())
            return;
        const error problem =
            out.status == 413
                ? make_error(error_kind::body_too_large, "the body is larger than 1 MiB")
                : make_error(error_kind::invalid_request,
                             fmt::format("the request was refused with status {}", out.status));
        const int status = out.status;
        out.set_content(write_refusal(new_request_id(), not_run{problem}).body, "application/json");
        out.status = status;
    });
}

http_frontend::http_frontend(const node_settings& settings, frontend_dependencies deps)
    : state_(std::make_unique<state>(settings, std::move(deps)))
{
    state& s = *state_;
    s.server.new_task_queue = [n = settings.caller_connections] {
        return new httplib::ThreadPool(n);
    };
    s.server.set_tcp_nodelay(true);
    s.server.set_keep_alive_max_count(requests_per_connection);
    s.server.set_keep_alive_timeout(keep_alive_timeout.count());
    s.server.set_read_timeout(request_read_timeout);
    s.server.set_payload_max_length(max_body_bytes);
    // Replaces the library's default of SO_REUSEPORT, with which a second process
    // could bind the same port and silently receive part of the requests.
    s.server.set_socket_options([](socket_t socket) {
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    });
    s.add_routes();
}

http_frontend::~http_frontend()
{
    stop();
}

void http_frontend::start()
{
    state& s = *state_;
    const endpoint& at = s.settings.self.http;
    if (!s.server.bind_to_port(at.ip, at.port))
        throw std::runtime_error(
            fmt::format("cannot listen on {}; use a free address in `http`", to_string(at)));
    s.listener = std::thread{[&s] {
        s.server.listen_after_bind();
    }};
}

void http_frontend::stop()
{
    if (!state_->listener.joinable())
        return;
    state_->server.stop();
    state_->listener.join();
}

void http_frontend::close_connections()
{
    state_->closing.store(true);
}

void http_frontend::refuse_requests()
{
    state_->refusing.store(true);
}

std::size_t http_frontend::active() const
{
    return state_->active.load();
}

} // namespace ebonywick
