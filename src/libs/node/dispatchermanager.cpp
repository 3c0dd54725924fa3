// Passes events to the dispatchers and carries out the actions that they return. Replies
// are sent after the upstream's mutex is released; actions that only affect the upstream's
// links are carried out under it.
#include "node/dispatchermanager.h"

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
// Interval at which the dispatchers receive the median call time of their service.
constexpr std::chrono::milliseconds median_interval{1000};

/// A call that is queued or running at a dispatcher.
struct pending_call
{
    call_request request;
    call_origin origin;
    // Time in the dispatcher's queue; set when the call starts.
    duration waited = duration::zero();
};

/// A reply to send once the upstream's mutex is released.
struct pending_reply
{
    call_reply reply;
    call_origin origin;
};

} // namespace

/// An upstream at one address: its dispatcher, its links and the calls that it has. A new
/// object replaces it when the address changes.
struct dispatcher_manager::managed_upstream
{
    explicit managed_upstream(const upstream_declaration& declared)
        : declaration(declared), dispatcher(declared)
    {
    }

    std::mutex mutex;
    // All members below are guarded by mutex.
    upstream_declaration declaration;
    upstream_dispatcher dispatcher;
    std::unordered_map<call_id, pending_call> calls;
    std::map<std::uint32_t, link_handle> links;
    bool held = false;
    bool domain_out = false;
    bool stopped = false;
    // Index versions in the upstream's latest report.
    std::vector<index_version> versions;
    service_name service;
};

struct dispatcher_manager::state
{
    state(node_metrics& counts, logger& logging, link_factory link_source,
          dispatch_handlers handler_set)
        : metrics(counts), log(logging), links(std::move(link_source)),
          handlers(std::move(handler_set)),
          cleanup_thread([this](const std::stop_token& stop) { destroy_closed_links(stop); })
    {
    }

    using managed_upstream_ptr = std::shared_ptr<managed_upstream>;

    managed_upstream_ptr find(const upstream_id& upstream) const;
    std::vector<managed_upstream_ptr> all() const;

    /// Passes an event to the dispatcher and carries out the actions; replies are added to
    /// `out`. The caller holds the upstream's mutex. `owner` points to `managed`.
    void handle(managed_upstream& managed, const managed_upstream_ptr& owner,
                const dispatcher_event& ev, std::vector<pending_reply>& out);
    void execute_all(managed_upstream& managed, const managed_upstream_ptr& owner,
                     const std::vector<dispatcher_action>& actions,
                     std::vector<pending_reply>& out);
    void update_upstream(const managed_upstream_ptr& owner, const upstream_placement& place);
    void set_held(const managed_upstream_ptr& owner, bool held);
    void update_medians();
    void execute(managed_upstream& managed, const start_call& action);
    void execute(managed_upstream& managed, const reject_call& action,
                 std::vector<pending_reply>& out);
    void execute(managed_upstream& managed, const managed_upstream_ptr& owner,
                 const open_link& action);
    void execute(managed_upstream& managed, const close_link& action);
    void execute(managed_upstream& managed, const limit_changed& action);
    void send(std::vector<pending_reply>& out);

    void on_link_reply(const managed_upstream_ptr& owner, const link_reply& reply);
    void finish_call(managed_upstream& managed, const link_reply& reply,
                     std::vector<pending_reply>& out);
    /// Locks the upstream, passes the event to its dispatcher and sends the replies.
    void process(const managed_upstream_ptr& owner, const dispatcher_event& ev);
    [[nodiscard]] static upstream_report make_report(const managed_upstream& managed);
    void destroy_closed_links(const std::stop_token& stop);

    node_metrics& metrics;
    logger& log;
    link_factory links;
    dispatch_handlers handlers;

    mutable std::shared_mutex mutex;
    // Guarded by mutex.
    std::unordered_map<upstream_id, managed_upstream_ptr> upstreams;
    fleet_view_ptr view = std::make_shared<fleet_view>();

    std::mutex call_times_mutex;
    // Recent call times by service; guarded by call_times_mutex.
    std::unordered_map<service_name, latency_window> call_times;
    // Used by tick() only.
    time_point next_median_update{};

    // Closed links, destroyed by cleanup_thread: the destructor of a link joins the link's
    // thread, which may be the thread that closes it. A null entry wakes the thread to stop.
    tbb::concurrent_bounded_queue<std::shared_ptr<void>> closed;
    std::jthread cleanup_thread;
};

dispatcher_manager::state::managed_upstream_ptr
dispatcher_manager::state::find(const upstream_id& upstream) const
{
    const std::shared_lock lock{mutex};
    const auto it = upstreams.find(upstream);
    return it == upstreams.end() ? nullptr : it->second;
}

void dispatcher_manager::state::update_upstream(const managed_upstream_ptr& owner,
                                                const upstream_placement& place)
{
    std::vector<pending_reply> out;
    bool address_changed = false;
    bool held = false;
    {
        const std::lock_guard lock{owner->mutex};
        managed_upstream& managed = *owner;
        held = managed.held;
        address_changed = place.declaration.address != managed.declaration.address;
        if (address_changed) {
            // A new object takes the calls to the new address; calls in progress stay on
            // the links to the old one.
            managed.held = false;
            handle(managed, owner, holder_changed{false}, out);
        } else if (place.declaration != managed.declaration) {
            managed.declaration = place.declaration;
            execute_all(managed, owner,
                        managed.dispatcher.configure(place.declaration, boot_clock::now()), out);
        }
        if (!address_changed && place.domain_out != managed.domain_out) {
            managed.domain_out = place.domain_out;
            handle(managed, owner, domain_changed{place.domain_out}, out);
        }
    }
    send(out);
    if (!address_changed)
        return;
    const auto replacement = std::make_shared<managed_upstream>(place.declaration);
    replacement->domain_out = place.domain_out;
    replacement->service = place.service;
    {
        const std::unique_lock lock{mutex};
        upstreams[place.declaration.id] = replacement;
    }
    set_held(replacement, held);
}

void dispatcher_manager::state::set_held(const managed_upstream_ptr& owner, bool held)
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

void dispatcher_manager::state::update_medians()
{
    std::unordered_map<service_name, duration> medians;
    {
        const std::lock_guard lock{call_times_mutex};
        for (const auto& [service, window] : call_times)
            medians[service] = window.quantile(0.5);
    }
    for (const managed_upstream_ptr& it : all()) {
        const std::lock_guard lock{it->mutex};
        const auto median = medians.find(it->service);
        if (median != medians.end())
            it->dispatcher.set_group_median(median->second);
    }
}

std::vector<dispatcher_manager::state::managed_upstream_ptr> dispatcher_manager::state::all() const
{
    const std::shared_lock lock{mutex};
    std::vector<managed_upstream_ptr> out;
    out.reserve(upstreams.size());
    for (const auto& [id, it] : upstreams)
        out.push_back(it);
    return out;
}

void dispatcher_manager::state::handle(managed_upstream& managed, const managed_upstream_ptr& owner,
                                       const dispatcher_event& ev, std::vector<pending_reply>& out)
{
    execute_all(managed, owner, managed.dispatcher.handle(ev, boot_clock::now()), out);
}

void dispatcher_manager::state::execute_all(managed_upstream& managed,
                                            const managed_upstream_ptr& owner,
                                            const std::vector<dispatcher_action>& actions,
                                            std::vector<pending_reply>& out)
{
    for (const dispatcher_action& action : actions) {
        if (const auto* start = std::get_if<start_call>(&action))
            execute(managed, *start);
        else if (const auto* reject = std::get_if<reject_call>(&action))
            execute(managed, *reject, out);
        else if (const auto* cancel = std::get_if<cancel_on_upstream>(&action))
            links.cancel(managed.declaration.address, cancel->id);
        else if (const auto* open = std::get_if<open_link>(&action))
            execute(managed, owner, *open);
        else if (const auto* close = std::get_if<close_link>(&action))
            execute(managed, *close);
        else if (const auto* probe = std::get_if<probe_link>(&action)) {
            const auto it = managed.links.find(probe->link);
            if (it != managed.links.end())
                it->second.probe(probe_timeout);
        } else if (const auto* limit = std::get_if<limit_changed>(&action))
            execute(managed, *limit);
    }
}

void dispatcher_manager::state::execute(managed_upstream& managed, const start_call& action)
{
    const auto call = managed.calls.find(action.id);
    const auto link = managed.links.find(action.link);
    if (call == managed.calls.end() || link == managed.links.end())
        return;
    call->second.waited = action.waited;
    metrics.queue_wait_observed(action.waited);
    const call_request& request = call->second.request;
    link->second.start(link_call{request.id, request.shard, request.wanted, request.idempotent,
                                 action.timeout, request.body, request.idempotency_key});
}

void dispatcher_manager::state::execute(managed_upstream& managed, const reject_call& action,
                                        std::vector<pending_reply>& out)
{
    const auto it = managed.calls.find(action.id);
    if (it == managed.calls.end())
        return;
    pending_reply rejected;
    rejected.reply.id = action.id;
    rejected.reply.upstream = managed.declaration.id;
    rejected.reply.failure = action.reason.kind;
    rejected.reply.report = make_report(managed);
    rejected.origin = it->second.origin;
    out.push_back(std::move(rejected));
    managed.calls.erase(it);
}

void dispatcher_manager::state::execute(managed_upstream& managed,
                                        const managed_upstream_ptr& owner, const open_link& action)
{
    const std::weak_ptr<managed_upstream> weak = owner;
    link_handlers link;
    link.on_reply = [this, weak](const link_reply& reply) {
        if (const managed_upstream_ptr it = weak.lock())
            on_link_reply(it, reply);
    };
    link.on_probe = [this, weak](const link_probed& probed) {
        if (const managed_upstream_ptr it = weak.lock())
            process(it, probed);
    };
    link.on_opened = [this, weak](const link_opened& opened) {
        if (const managed_upstream_ptr it = weak.lock())
            process(it, opened);
    };
    link.may_send = [this, upstream = managed.declaration.id](duration timeout) {
        const time_point now = boot_clock::now();
        return handlers.may_dispatch(upstream, now, now + timeout);
    };
    execute(managed, close_link{action.link});
    managed.links.emplace(action.link,
                          links.open(action.link, managed.declaration.address, std::move(link)));
}

void dispatcher_manager::state::execute(managed_upstream& managed, const close_link& action)
{
    const auto it = managed.links.find(action.link);
    if (it == managed.links.end())
        return;
    closed.push(std::move(it->second.owner));
    managed.links.erase(it);
}

void dispatcher_manager::state::execute(managed_upstream& managed, const limit_changed& action)
{
    log.write(log_level::info, "limit_changed",
              {{"searcher", managed.declaration.id.value()},
               {"limit", action.limit},
               {"slots", managed.declaration.slots},
               {"reason", std::string_view{action.reason}}});
}

upstream_report dispatcher_manager::state::make_report(const managed_upstream& managed)
{
    upstream_report out;
    out.upstream = managed.declaration.id;
    out.versions = managed.versions;
    out.queue_length = managed.dispatcher.queued();
    out.cold = !managed.dispatcher.warm();
    out.leaving = managed.dispatcher.leaving();
    return out;
}

void dispatcher_manager::state::finish_call(managed_upstream& managed, const link_reply& reply,
                                            std::vector<pending_reply>& out)
{
    const auto it = managed.calls.find(reply.id);
    if (it == managed.calls.end())
        return;
    pending_reply done;
    done.reply.id = reply.id;
    done.reply.upstream = managed.declaration.id;
    done.reply.from = reply.from;
    done.reply.shard = reply.shard;
    done.reply.waited = it->second.waited;
    done.reply.report = make_report(managed);
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
    managed.calls.erase(it);
    out.push_back(std::move(done));
}

void dispatcher_manager::state::on_link_reply(const managed_upstream_ptr& owner,
                                              const link_reply& reply)
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

void dispatcher_manager::state::process(const managed_upstream_ptr& owner,
                                        const dispatcher_event& ev)
{
    std::vector<pending_reply> out;
    {
        const std::lock_guard lock{owner->mutex};
        handle(*owner, owner, ev, out);
    }
    send(out);
}

void dispatcher_manager::state::send(std::vector<pending_reply>& out)
{
    for (pending_reply& it : out)
        handlers.reply(std::move(it.reply), it.origin);
}

void dispatcher_manager::state::destroy_closed_links(const std::stop_token& stop)
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

dispatcher_manager::dispatcher_manager(node_metrics& metrics, logger& log, link_factory links,
                                       dispatch_handlers handlers)
    : state_(std::make_unique<state>(metrics, log, std::move(links), std::move(handlers)))
{
}

dispatcher_manager::~dispatcher_manager()
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

void dispatcher_manager::on_view(const fleet_view_ptr& view)
{
    {
        const std::unique_lock lock{state_->mutex};
        state_->view = view;
    }
    for (const auto& it : state_->all()) {
        const upstream_placement* place = view->find(it->declaration.id);
        if (place != nullptr)
            state_->update_upstream(it, *place);
    }
}

void dispatcher_manager::on_held_changed(const upstream_id& upstream, bool held)
{
    std::shared_ptr<managed_upstream> it = state_->find(upstream);
    if (!it) {
        const std::unique_lock lock{state_->mutex};
        const upstream_placement* place = state_->view->find(upstream);
        if (!held || place == nullptr)
            return;
        it = std::make_shared<managed_upstream>(place->declaration);
        it->service = place->service;
        state_->upstreams[upstream] = it;
        it->domain_out = place->domain_out;
    }
    state_->set_held(it, held);
}

void dispatcher_manager::submit(const call_request& request, const call_origin& origin)
{
    const std::shared_ptr<managed_upstream> it = state_->find(request.upstream);
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

void dispatcher_manager::cancel(const call_cancel& cancel)
{
    const std::shared_ptr<managed_upstream> it = state_->find(cancel.upstream);
    if (it)
        state_->process(it, cancel_requested{cancel.id});
}

void dispatcher_manager::tick()
{
    for (const auto& it : state_->all())
        state_->process(it, dispatcher_tick{});
    const time_point now = boot_clock::now();
    if (now < state_->next_median_update)
        return;
    state_->next_median_update = now + median_interval;
    state_->update_medians();
}

dispatch_totals dispatcher_manager::totals() const
{
    dispatch_totals out;
    for (const auto& it : state_->all()) {
        const std::lock_guard lock{it->mutex};
        out.in_flight += it->dispatcher.in_flight();
        out.queued += it->dispatcher.queued();
        if (!it->held)
            continue;
        ++out.held;
        if (!it->dispatcher.warm())
            ++out.cold;
    }
    return out;
}

} // namespace ebonywick
