// Sends and receives dispatch messages. Received messages are decoded and handled
// in a oneTBB arena, so that the I/O thread never waits for a lock of the query
// path.
#include "node/callrouter.h"

#include "wire/wireconversion.h"

#include <tbb/task_arena.h>

#include <atomic>
#include <optional>
#include <thread>
#include <utility>

namespace ebonywick {

struct call_router::state
{
    state(const roster_host& here, incarnation_number own_incarnation, std::uint32_t threads,
          std::function<fleet_view_ptr()> view_source, node_metrics& counts, logger& logging,
          router_handlers handler_set)
        : self(here), incarnation(own_incarnation), view(std::move(view_source)), metrics(counts),
          log(logging), handlers(std::move(handler_set)), arena(static_cast<int>(threads), 0)
    {
    }

    void receive(std::string_view bytes);
    void handle(received_dispatch& received, time_point received_at);
    void handle(const host_id& from, incarnation_number sender_incarnation, call_request& request,
                time_point received_at);
    void send_to(const host_id& host, const dispatch_message& message);

    roster_host self;
    incarnation_number incarnation;
    std::function<fleet_view_ptr()> view;
    node_metrics& metrics;
    logger& log;
    router_handlers handlers;
    message_age_estimator age_estimator;
    tbb::task_arena arena;
    // Messages received but not yet handled in the arena; stop() waits for zero.
    std::atomic<int> unhandled_messages{0};
    std::optional<peer_transport> transport;
};

void call_router::state::receive(std::string_view bytes)
{
    const time_point received_at = boot_clock::now();
    unhandled_messages.fetch_add(1);
    arena.enqueue([this, received_at, buf = std::string{bytes}] {
        auto received = decode_dispatch(buf);
        if (received)
            handle(*received, received_at);
        else
            log.write(log_level::warning, "dispatch_message_invalid",
                      {{"bytes", static_cast<std::uint64_t>(buf.size())}});
        unhandled_messages.fetch_sub(1);
    });
}

void call_router::state::handle(received_dispatch& received, time_point received_at)
{
    if (auto* request = std::get_if<call_request>(&received.message))
        handle(received.from, received.incarnation, *request, received_at);
    else if (const auto* reply = std::get_if<call_reply>(&received.message))
        handlers.on_reply(*reply);
    else if (const auto* cancel = std::get_if<call_cancel>(&received.message))
        handlers.on_cancel(*cancel);
}

void call_router::state::handle(const host_id& from, incarnation_number sender_incarnation,
                                call_request& request, time_point received_at)
{
    const duration age =
        age_estimator.estimate(from, sender_incarnation, request.sent_at, received_at) +
        (boot_clock::now() - received_at);
    if (age >= request.remaining) {
        // The deadline has passed at the entry host, which no longer waits for the
        // reply; running the call would waste a slot of the upstream.
        metrics.message_expired();
        return;
    }
    request.remaining -= age;
    handlers.on_request(request, from);
}

void call_router::state::send_to(const host_id& host, const dispatch_message& message)
{
    const fleet_view_ptr seen = view();
    const roster_host* peer = seen->hosts.find(host);
    if (peer != nullptr && transport)
        transport->send(peer->dispatch, encode_dispatch(self.id, incarnation, message));
}

call_router::call_router(const roster_host& self, incarnation_number incarnation,
                         std::uint32_t worker_threads, std::function<fleet_view_ptr()> view,
                         node_metrics& metrics, logger& log, router_handlers handlers)
    : state_(std::make_unique<state>(self, incarnation, worker_threads, std::move(view), metrics,
                                     log, std::move(handlers)))
{
}

call_router::~call_router()
{
    stop();
}

void call_router::start()
{
    state_->transport.emplace(state_->self.dispatch,
                              [it = state_.get()](std::string_view bytes) { it->receive(bytes); });
}

void call_router::stop()
{
    state_->transport.reset();
    while (state_->unhandled_messages.load() > 0)
        std::this_thread::yield();
}

host_id call_router::send(call_request request, time_point deadline)
{
    state& s = *state_;
    const fleet_view_ptr seen = s.view();
    const upstream_placement* place = seen->find(request.upstream);
    const time_point now = boot_clock::now();
    request.sent_at = now;
    request.remaining = deadline - now;
    if (place == nullptr || place->holder.empty()) {
        call_reply failed;
        failed.id = request.id;
        failed.upstream = request.upstream;

        failed.failure = error_kind::not_holder;
        s.handlers.on_reply(failed);
        return host_id{};
    }
    if (place->holder == s.self.id)
        s.handlers.on_request(request, call_origin{});
    else
        s.send_to(place->holder, request);
    return place->holder;
}

void call_router::cancel(const call_cancel& cancel)
{
    state& s = *state_;
    const fleet_view_ptr seen = s.view();
    const upstream_placement* place = seen->find(cancel.upstream);
    if (place == nullptr || place->holder.empty())
        return;
    if (place->holder == s.self.id)
        s.handlers.on_cancel(cancel);
    else
        s.send_to(place->holder, cancel);
}

void call_router::reply(call_reply reply, const call_origin& origin)
{
    if (origin.empty())
        state_->handlers.on_reply(reply);
    else
        state_->send_to(origin, reply);
}

} // namespace ebonywick
