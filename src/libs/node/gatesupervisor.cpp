// Runs the gates and owns their links. Replies are sent after the gate's mutex is
// released; actions that only affect the gate's links are carried out under it.
#include "node/gatesupervisor.h"

#include "base/latencywindow.h"
#include "dispatch/upstreamdispatcher.h"
#include "upstreamlink/upstreamlink.h"

#include <tbb/concurrent_queue.h>

#include <map>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ebonywick {

namespace {

constexpr std::chrono::milliseconds probe_timeout{100};
// Interval at which the gates receive the median call time of their service.
constexpr std::chrono::milliseconds median_interval{1000};

/// A call that is queued or running at a gate.
struct pending_call
{
    call_request request;
    call_origin origin;
    duration waited = duration::zero();
};

/// A reply that is sent once the gate's mutex is released.
struct pending_reply
{
    call_reply reply;
    call_origin origin;
};

} // namespace

struct gate_supervisor::gate
{
    explicit gate(const upstream_declaration& declared) : declaration(declared), logic(declared) {}

    std::mutex mutex;
    // All guarded by mutex.
    upstream_declaration declaration;
    upstream_dispatcher logic;
    std::unordered_map<call_id, pending_call> calls;
    std::map<std::uint32_t, link_handle> links;
    bool held = false;
    bool domain_out = false;
    bool stopped = false;
    // Index versions that the upstream reported last.
    std::vector<index_version> versions;
    service_name service;
};

struct gate_supervisor::state
{
    state(node_metrics& counts, logger& logging, link_factory link_source,
          gate_handlers handler_set)
        : metrics(counts), log(logging), links(std::move(link_source)),
          handlers(std::move(handler_set)),
          cleanup_thread([this](const std::stop_token& stop) { destroy_closed_links(stop); })
    {
    }

    using gate_ptr = std::shared_ptr<gate>;

    gate_ptr find(const upstream_id& upstream) const;
    std::vector<gate_ptr> all() const;

    /// Passes an event to a gate, whose mutex the caller holds, and runs the actions.
    void handle(gate& g, const gate_ptr& owner, const dispatcher_event& ev,
                std::vector<pending_reply>& out);
    void execute_all(gate& g, const gate_ptr& owner, const std::vector<dispatcher_action>& actions,
                     std::vector<pending_reply>& out);
    void update_gate(const gate_ptr& owner, const upstream_placement& place);
    void set_held(const gate_ptr& owner, bool held);
    void update_medians();
    void execute(gate& g, const start_call& action);
    void execute(gate& g, const reject_call& action, std::vector<pending_reply>& out);
    void execute(gate& g, const gate_ptr& owner, const open_link& action);
    void execute(gate& g, const close_link& action);
    void execute(gate& g, const limit_changed& action);
    void send(std::vector<pending_reply>& out);

    void on_link_reply(const gate_ptr& owner, const link_reply& reply);
    void finish_call(gate& g, const link_reply& reply, std::vector<pending_reply>& out);
    /// Passes an event to a gate and sends the replies that result.
    void process(const gate_ptr& owner, const dispatcher_event& ev);
    [[nodiscard]] static upstream_report make_report(const gate& g);
    void destroy_closed_links(const std::stop_token& stop);

    node_metrics& metrics;
    logger& log;
    link_factory links;
    gate_handlers handlers;

    mutable std::shared_mutex mutex;
    // Guarded by mutex.
    std::unordered_map<upstream_id, gate_ptr> gates;
    fleet_view_ptr view = std::make_shared<fleet_view>();

    std::mutex call_times_mutex;
    // Guarded by call_times_mutex: recent call times of each service's upstreams.
    std::unordered_map<service_name, latency_window> call_times;
    // Used by tick() only.
    time_point next_median_update{};

    // Closed links are destroyed on a thread of their own: the destructor of a link
    // joins the link's thread, which may be the one that closes it.
    tbb::concurrent_bounded_queue<std::shared_ptr<void>> closed;
    std::jthread cleanup_thread;
};

gate_supervisor::state::gate_ptr gate_supervisor::state::find(const upstream_id& upstream) const
{
    const std::shared_lock lock{mutex};
    const auto it = gates.find(upstream);
    return it == gates.end() ? nullptr : it->second;
}

void gate_supervisor::state::update_gate(const gate_ptr& owner, const upstream_placement& place)
{
    std::vector<pending_reply> out;
    bool address_changed = false;
    bool held = false;
    {
        const std::lock_guard lock{owner->mutex};
        gate& g = *owner;
        held = g.held;
        address_changed = place.declaration.address != g.declaration.address;
        if (address_changed) {
            // A new gate takes the calls to the new address; calls in progress stay on
            // the links to the old address.
            g.held = false;
            handle(g, owner, holder_changed{false}, out);
        } else if (place.declaration != g.declaration) {
            g.declaration = place.declaration;
            execute_all(g, owner, g.logic.configure(place.declaration, boot_clock::now()), out);
        }
        if (!address_changed && place.domain_out != g.domain_out) {
            g.domain_out = place.domain_out;
            handle(g, owner, domain_changed{place.domain_out}, out);
        }
    }
    send(out);
    if (!address_changed)
        return;
    const auto replacement = std::make_shared<gate>(place.declaration);
    replacement->domain_out = place.domain_out;
    replacement->service = place.service;
    {
        const std::unique_lock lock{mutex};
        gates[place.declaration.id] = replacement;
    }
    set_held(replacement, held);
}

void gate_supervisor::state::set_held(const gate_ptr& owner, bool held)
{
    std::vector<pending_reply> out;
    {
        const std::lock_guard lock{owner->mutex};
        owner->held = held;
        handle(*owner, owner, domain_changed{owner->domain_out}, out);
        handle(*owner, owner, holder_changed{held}, out);
    }
    send(out);
}

void gate_supervisor::state::update_medians()
{
    std::unordered_map<service_name, duration> medians;
    {
        const std::lock_guard lock{call_times_mutex};
        for (const auto& [service, window] : call_times)
            medians[service] = window.quantile(0.5);
    }
    for (const gate_ptr& it : all()) {
        const std::lock_guard lock{it->mutex};
        const auto median = medians.find(it->service);
        if (median != medians.end())
            it->logic.set_group_median(median->second);
    }
}

std::vector<gate_supervisor::state::gate_ptr> gate_supervisor::state::all() const
{
    const std::shared_lock lock{mutex};
    std::vector<gate_ptr> out;
    out.reserve(gates.size());
    for (const auto& [id, it] : gates)
        out.push_back(it);
    return out;
}

void gate_supervisor::state::handle(gate& g, const gate_ptr& owner, const dispatcher_event& ev,
                                    std::vector<pending_reply>& out)
{
    execute_all(g, owner, g.logic.handle(ev, boot_clock::now()), out);
}

void gate_supervisor::state::execute_all(gate& g, const gate_ptr& owner,
                                         const std::vector<dispatcher_action>& actions,
                                         std::vector<pending_reply>& out)
{
    for (const dispatcher_action& action : actions) {
        if (const auto* start = std::get_if<start_call>(&action))
            execute(g, *start);
        else if (const auto* reject = std::get_if<reject_call>(&action))
            execute(g, *reject, out);
        else if (const auto* cancel = std::get_if<cancel_on_upstream>(&action))
            links.cancel(g.declaration.address, cancel->id);
        else if (const auto* open = std::get_if<open_link>(&action))
            execute(g, owner, *open);
        else if (const auto* close = std::get_if<close_link>(&action))
            execute(g, *close);
        else if (const auto* probe = std::get_if<probe_link>(&action)) {
            const auto it = g.links.find(probe->link);
            if (it != g.links.end())
                it->second.probe(probe_timeout);
        } else if (const auto* limit = std::get_if<limit_changed>(&action))
            execute(g, *limit);
    }
}

void gate_supervisor::state::execute(gate& g, const start_call& action)
{
    const auto call = g.calls.find(action.id);
    const auto link = g.links.find(action.link);
    if (call == g.calls.end() || link == g.links.end())
        return;
    call->second.waited = action.waited;
    metrics.queue_wait_observed(action.waited);
    const call_request& request = call->second.request;
    link->second.start(link_call{request.id, request.shard, request.wanted, request.idempotent,
                                 action.timeout, request.body, request.idempotency_key});
}

void gate_supervisor::state::execute(gate& g, const reject_call& action,
                                     std::vector<pending_reply>& out)
{
    const auto it = g.calls.find(action.id);
    if (it == g.calls.end())
        return;
    pending_reply rejected;
    rejected.reply.id = action.id;
    rejected.reply.upstream = g.declaration.id;
    rejected.reply.failure = action.reason.kind;
    rejected.reply.report = make_report(g);
    rejected.origin = it->second.origin;
    out.push_back(std::move(rejected));
    g.calls.erase(it);
}

void gate_supervisor::state::execute(gate& g, const gate_ptr& owner, const open_link& action)
{
    const std::weak_ptr<gate> weak = owner;
    link_handlers link;
    link.on_reply = [this, weak](const link_reply& reply) {
        if (const gate_ptr it = weak.lock())
            on_link_reply(it, reply);
    };
    link.on_probe = [this, weak](const link_probed& probed) {
        if (const gate_ptr it = weak.lock())
            process(it, probed);
    };
    link.on_opened = [this, weak](const link_opened& opened) {
        if (const gate_ptr it = weak.lock())
            process(it, opened);
    };
    link.may_send = [this, upstream = g.declaration.id](duration timeout) {
        const time_point now = boot_clock::now();
        return handlers.may_dispatch(upstream, now, now + timeout);
    };
    execute(g, close_link{action.link});
    g.links.emplace(action.link, links.open(action.link, g.declaration.address, std::move(link)));
}

void gate_supervisor::state::execute(gate& g, const close_link& action)
{
    const auto it = g.links.find(action.link);
    if (it == g.links.end())
        return;
    closed.push(std::move(it->second.owner));
    g.links.erase(it);
}

void gate_supervisor::state::execute(gate& g, const limit_changed& action)
{
    log.write(log_level::info, "limit_changed",
              {{"searcher", g.declaration.id.value()},
               {"limit", action.limit},
               {"slots", g.declaration.slots},
               {"reason", std::string_view{action.reason}}});
}

upstream_report gate_supervisor::state::make_report(const gate& g)
{
    upstream_report out;
    out.upstream = g.declaration.id;
    out.versions = g.versions;
    out.queue_length = g.logic.queued();
    out.cold = !g.logic.warm();
    out.leaving = g.logic.leaving();
    return out;
}

void gate_supervisor::state::finish_call(gate& g, const link_reply& reply,
                                         std::vector<pending_reply>& out)
{
    const auto it = g.calls.find(reply.id);
    if (it == g.calls.end())
        return;
    pending_reply done;
    done.reply.id = reply.id;
    done.reply.upstream = g.declaration.id;
    done.reply.from = reply.from;
    done.reply.shard = reply.shard;
    done.reply.waited = it->second.waited;
    done.reply.report = make_report(g);
    if (reply.version_not_held) {
        done.reply.failure = error_kind::version_not_held;
    } else if (reply.not_sent) {
        done.reply.failure = error_kind::lease_lapsed;
    } else {
        switch (reply.status) {
        case reply_status::completed:
            done.reply.body = reply.body;
            break;
        case reply_status::shed:
            done.reply.failure = error_kind::overloaded;
            done.reply.report->shedding = true;
            break;
        case reply_status::lost:
            done.reply.failure = error_kind::reply_lost;
            break;
        case reply_status::cancelled:
            done.reply.failure = error_kind::cancelled;
            break;
        }
    }
    done.origin = std::move(it->second.origin);
    g.calls.erase(it);
    out.push_back(std::move(done));
}

void gate_supervisor::state::on_link_reply(const gate_ptr& owner, const link_reply& reply)
{
    std::vector<pending_reply> out;
    {
        const std::lock_guard lock{owner->mutex};
        if (!reply.versions.empty())
            owner->versions = reply.versions;
        call_completed ev;
        ev.id = reply.id;
        ev.link = reply.link;
        ev.status = reply.status;
        ev.latency = reply.latency;
        ev.reported = reply.reported;
        ev.boot_id = reply.boot_id;
        if (reply.version_not_held)
            ev.status = reply_status::shed;
        finish_call(*owner, reply, out);
        handle(*owner, owner, ev, out);
    }
    if (reply.status == reply_status::completed) {
        const std::lock_guard lock{call_times_mutex};
        call_times[owner->service].add(reply.latency);
    }
    send(out);
}

void gate_supervisor::state::process(const gate_ptr& owner, const dispatcher_event& ev)
{
    std::vector<pending_reply> out;
    {
        const std::lock_guard lock{owner->mutex};
        handle(*owner, owner, ev, out);
    }
    send(out);
}

void gate_supervisor::state::send(std::vector<pending_reply>& out)
{
    for (pending_reply& it : out)
        handlers.reply(std::move(it.reply), it.origin);
}

void gate_supervisor::state::destroy_closed_links(const std::stop_token& stop)
{
    std::shared_ptr<void> link;
    while (true) {
        closed.pop(link);
        if (!link && stop.stop_requested())
            return;
        link.reset();
    }
}

link_factory make_http_links()
{
    const auto cancels = std::make_shared<cancel_sender>();
    link_factory out;
    out.open = [](std::uint32_t number, const endpoint& upstream, link_handlers handlers) {
        const auto link = std::make_shared<upstream_link>(number, upstream, std::move(handlers));
        return link_handle{[it = link.get()](link_call call) { it->start(std::move(call)); },
                           [it = link.get()](duration timeout) { it->probe(timeout); }, link};
    };
    out.cancel = [cancels](const endpoint& upstream, const call_id& id) {
        cancels->cancel(upstream, id);
    };
    return out;
}

gate_supervisor::gate_supervisor(node_metrics& metrics, logger& log, link_factory links,
                                 gate_handlers handlers)
    : state_(std::make_unique<state>(metrics, log, std::move(links), std::move(handlers)))
{
}

gate_supervisor::~gate_supervisor()
{
    for (const auto& it : state_->all()) {
        std::map<std::uint32_t, link_handle> links;
        {
            const std::lock_guard lock{it->mutex};
            it->stopped = true;
            links.swap(it->links);
        }
    }
    state_->cleanup_thread.request_stop();
    state_->closed.push(nullptr);
    state_->cleanup_thread.join();
}

void gate_supervisor::on_view(const fleet_view_ptr& view)
{
    {
        const std::unique_lock lock{state_->mutex};
        state_->view = view;
    }
    for (const auto& it : state_->all()) {
        const upstream_placement* place = view->find(it->declaration.id);
        if (place != nullptr)
            state_->update_gate(it, *place);
    }
}

void gate_supervisor::on_held_changed(const upstream_id& upstream, bool held)
{
    std::shared_ptr<gate> it = state_->find(upstream);
    if (!it) {
        const std::unique_lock lock{state_->mutex};
        const upstream_placement* place = state_->view->find(upstream);
        if (!held || place == nullptr)
            return;
        it = std::make_shared<gate>(place->declaration);
        it->service = place->service;
        state_->gates[upstream] = it;
        it->domain_out = place->domain_out;
    }
    state_->set_held(it, held);
}

void gate_supervisor::submit(const call_request& request, const call_origin& origin)
{
    const std::shared_ptr<gate> it = state_->find(request.upstream);
    std::vector<pending_reply> out;
    if (!it) {
        call_reply refused;
        refused.id = request.id;
        refused.upstream = request.upstream;

        refused.failure = error_kind::not_holder;
        state_->handlers.reply(std::move(refused), origin);
        return;
    }
    {
        const std::lock_guard lock{it->mutex};
        const time_point now = boot_clock::now();
        it->calls.insert_or_assign(request.id, pending_call{request, origin, {}});
        const dispatcher_call call{request.id, request.caller, request.traffic, request.idempotent,
                                   now + request.remaining};
        state_->handle(*it, it, call_offered{call}, out);
    }
    state_->send(out);
}

void gate_supervisor::cancel(const call_cancel& cancel)
{
    const std::shared_ptr<gate> it = state_->find(cancel.upstream);
    if (it)
        state_->process(it, cancel_requested{cancel.id});
}

void gate_supervisor::tick()
{
    for (const auto& it : state_->all())
        state_->process(it, dispatcher_tick{});
    const time_point now = boot_clock::now();
    if (now < state_->next_median_update)
        return;
    state_->next_median_update = now + median_interval;
    state_->update_medians();
}

gate_totals gate_supervisor::totals() const
{
    gate_totals out;
    for (const auto& it : state_->all()) {
        const std::lock_guard lock{it->mutex};
        out.in_flight += it->logic.in_flight();
        out.queued += it->logic.queued();
        if (!it->held)
            continue;
        ++out.held;
        if (!it->logic.warm())
            ++out.cold;
    }
    return out;
}

} // namespace ebonywick
