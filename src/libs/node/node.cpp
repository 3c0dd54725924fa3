// Creates a node's parts and connects their handlers.
#include "node/node.h"

#include "control/entrylist.h"
#include "metrics/nodemetrics.h"
#include "node/callrouter.h"
#include "node/controlplane.h"
#include "node/dispatchermanager.h"
#include "node/httpfrontend.h"
#include "node/orderservice.h"
#include "node/queryservice.h"
#include "node/timerservice.h"
#include "store/objectstoreclient.h"

#include <random>
#include <thread>

namespace ebonywick {

namespace {

constexpr std::chrono::milliseconds tick_interval{10};
constexpr std::chrono::milliseconds store_timeout{1000};

/// Start time in milliseconds in the upper bits, so that a later start of a host
/// has a larger number, and 20 random bits below, so that two starts within one
/// millisecond have different numbers.
incarnation_number new_incarnation()
{
    std::random_device entropy;
    timespec ts{};
    clock_gettime(CLOCK_REALTIME, &ts);
    const auto ms = std::uint64_t(ts.tv_sec) * 1000 + std::uint64_t(ts.tv_nsec) / 1000000;
    return (ms << 20U) | (entropy() & 0xfffffU);
}

} // namespace

struct node::state
{
    state(const node_settings& node, logger& logging)
        : settings(node), log(logging), incarnation(new_incarnation()),
          store(node.store, store_timeout),
          control(node, incarnation, store, logging, make_control_handlers()),
          router(
              node.self, incarnation, node.worker_threads, [this] { return control.view(); },
              metrics, logging, make_router_handlers()),
          queries(make_call_sender(), timers, metrics, logging, incarnation),
          dispatchers(metrics, logging, make_http_links(), make_dispatch_handlers()),
          orders(store, queries, logging),
          frontend(node, frontend_dependencies{control, queries, orders, metrics, logging,
                                               [this] { return gauges(); }, incarnation})
    {
    }

    control_handlers make_control_handlers()
    {
        control_handlers out;
        out.on_view = [this](const fleet_view_ptr& view) {
            dispatchers.on_view(view);
            queries.on_view(view);
        };
        out.on_held_changed = [this](const upstream_id& upstream, bool held) {
            dispatchers.on_held_changed(upstream, held);
        };
        return out;
    }

    router_handlers make_router_handlers()
    {
        router_handlers out;
        out.on_request = [this](const call_request& request, const call_origin& origin) {
            dispatchers.submit(request, origin);
        };
        out.on_cancel = [this](const call_cancel& cancel) {
            dispatchers.cancel(cancel);
        };
        out.on_reply = [this](const call_reply& reply) {
            queries.on_reply(reply);
        };
        return out;
    }

    call_sender make_call_sender()
    {
        call_sender out;
        out.send = [this](call_request request, time_point deadline) {
            return router.send(std::move(request), deadline);
        };
        out.cancel = [this](const call_cancel& cancel) {
            router.cancel(cancel);
        };
        return out;
    }

    dispatch_handlers make_dispatch_handlers()
    {
        dispatch_handlers out;
        out.may_dispatch = [this](const upstream_id& upstream, time_point now, time_point until) {
            return control.may_dispatch(upstream, now, until);
        };
        out.reply = [this](call_reply reply, const call_origin& origin) {
            router.reply(std::move(reply), origin);
        };
        return out;
    }

    node_metrics::gauges gauges() const
    {
        node_metrics::gauges out;
        const dispatch_totals totals = dispatchers.totals();
        const peer_transport::counters traffic = control.traffic();
        const fleet_view_ptr view = control.view();
        out.held_upstreams = totals.held;
        out.cold_upstreams = totals.cold;
        out.calls_in_flight = totals.in_flight;
        out.calls_queued = totals.queued;
        out.config_version = view->config_version;
        out.roster_version = view->roster_version;
        out.current = control.is_current(boot_clock::now());
        out.store_calls = store.call_count();
        out.control_sent_bytes = traffic.sent_bytes;
        out.control_received_bytes = traffic.received_bytes;
        out.control_messages = traffic.sent_messages + traffic.received_messages;
        out.control_cpu_us = std::uint64_t(
            std::chrono::duration_cast<std::chrono::microseconds>(control.processor_time())
                .count());
        out.log_lines_dropped = log.dropped();
        return out;
    }

    void run_ticks(const std::stop_token& stop)
    {
        while (!stop.stop_requested()) {
            std::this_thread::sleep_for(tick_interval);
            dispatchers.tick();
            queries.tick();
        }
    }

    node_settings settings;
    logger& log;
    incarnation_number incarnation;
    node_metrics metrics;
    timer_service timers;
    object_store_client store;
    control_plane control;
    call_router router;
    query_service queries;
    dispatcher_manager dispatchers;
    order_service orders;
    http_frontend frontend;
    drain_sequence drain;
    bool lease_released = false;
    std::jthread ticker;
};

node::node(const node_settings& settings, logger& log)
    : state_(std::make_unique<state>(settings, log))
{
}

node::~node()
{
    state& s = *state_;
    if (s.ticker.joinable()) {
        s.ticker.request_stop();
        s.ticker.join();
    }
    s.frontend.stop();
    s.store.stop();
    s.control.stop();
    s.router.stop();
}

void node::start()
{
    state& s = *state_;
    s.router.start();
    s.control.start();
    s.frontend.start();
    s.ticker = std::jthread{[&s](const std::stop_token& stop) {
        s.run_ticks(stop);
    }};
    s.log.write(log_level::info, "node_started",
                {{"host", s.settings.self.id.value()},
                 {"failure_domain", s.settings.self.domain.value()},
                 {"http", to_string(s.settings.self.http)},
                 {"incarnation", s.incarnation}});
}

void node::begin_drain()
{
    state& s = *state_;
    s.log.write(log_level::info, "drain_started", {{"host", s.settings.self.id.value()}});
    s.drain.begin(boot_clock::now());
    s.control.begin_leave();
    s.frontend.close_connections();
}

bool node::advance_drain()
{
    state& s = *state_;
    const std::size_t requests = s.frontend.active() + s.orders.unrecorded();
    const dispatch_totals totals = s.dispatchers.totals();
    const drain_phase phase =
        s.drain.advance(boot_clock::now(), requests, totals.in_flight + totals.queued);
    if (phase == drain_phase::handing_over)
        s.frontend.refuse_requests();
    if (phase != drain_phase::finished)
        return false;
    if (!std::exchange(s.lease_released, true))
        s.control.release_lease();
    return true;
}

std::size_t node::active_requests() const
{
    return state_->frontend.active();
}

} // namespace ebonywick
