// Connects the membership agent to the network, the store and the clock. One
// mutex guards the agent; other threads read an immutable view that is replaced
// after each change.
#include "node/controlplane.h"

#include "control/objectcodec.h"
#include "node/storesync.h"
#include "wire/wireconversion.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <atomic>
#include <ctime>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace ebonywick {

namespace {

constexpr std::chrono::milliseconds tick_interval{50};
// Interval at which the seeds are asked for store objects that are not known yet.
constexpr std::chrono::milliseconds seed_request_interval{500};

std::string_view name_of(object_kind kind)
{
    return kind == object_kind::config ? "config" : "roster";
}

/// Processor time that the calling thread has used so far.
duration thread_processor_time()
{
    timespec ts{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
    return std::chrono::seconds{ts.tv_sec} + std::chrono::nanoseconds{ts.tv_nsec};
}

/// Empty if `content` is not a valid object of this kind.
std::optional<object_received> parse_object(object_kind kind, object_version version,
                                            const std::string& content)
{
    object_received out{kind, version, content, {}, {}};
    return leaf::try_handle_all(
        [&]() -> result<std::optional<object_received>> {
            if (kind == object_kind::config) {
                BOOST_LEAF_AUTO(object, decode_config(content));
                out.config = std::move(object.config);
            } else {
                BOOST_LEAF_AUTO(object, decode_roster(content));
                out.hosts = std::move(object.hosts);
            }
            return std::optional{std::move(out)};
        },
        []() -> std::optional<object_received> { return std::nullopt; });
}

} // namespace

struct control_plane::state
{
    state(const node_settings& node, incarnation_number own_incarnation,
          object_store_client& client, logger& logging, control_handlers handler_set)
        : settings(node), incarnation(own_incarnation), store(client), log(logging),
          handlers(std::move(handler_set)),
          agent(settings.self.id, own_incarnation, own_incarnation ^ 0x9e3779b97f4a7c15ULL,
                boot_clock::now())
    {
    }

    void handle_event(const membership_event& ev);
    // The functions up to refresh_fences() must be called with `mutex` held.
    void handle_locked(const membership_event& ev, time_point now);
    void execute(const membership_action& action, time_point now);
    void execute(const send_control& action);
    void execute(const adopt_object& action);
    void execute(const read_store& action);
    void execute(const holder_gained& action);
    void execute(const holder_lost& action);
    void execute(const host_changed& action);
    void execute(const currency_changed& action);
    void publish_view();
    void refresh_fences();

    void receive(std::string_view bytes);
    void run_ticks(const std::stop_token& stop);
    void request_missing_objects();
    void send_to(const endpoint& to, const control_message& message);
    /// What store_sync should do for the object; clears the request for a read.
    sync_needs take_needs(object_kind kind);
    // To be called with `mutex` held; 0 if the object is not known.
    [[nodiscard]] object_version known_version(object_kind kind) const
    {
        return kind == object_kind::config ? config_object.version : roster_object.version;
    }

    node_settings settings;
    incarnation_number incarnation;
    object_store_client& store;
    logger& log;
    control_handlers handlers;

    mutable std::mutex mutex;
    // Guarded by mutex, up to `cpu`.
    membership_agent agent;
    // Last object passed to the agent; taken into use if the agent adopts it.
    std::optional<object_received> pending_object;
    stored_object config_object;
    stored_object roster_object;
    // Adopted objects; `upstreams` stays empty and is filled in published copies.
    fleet_view working_view;
    bool view_changed = false;
    // Indexed by object_kind; set until store_sync asks for its next task.
    bool reads_wanted[2] = {false, false};
    // Processor time spent in the agent and its actions.
    duration cpu = duration::zero();

    std::atomic<std::shared_ptr<const fleet_view>> published{std::make_shared<fleet_view>()};
    // Copies of the agent's bounds in nanoseconds of the boot clock, read without
    // the mutex right before a call is written.
    std::atomic<std::int64_t> lease_until{0};
    std::atomic<std::int64_t> current_until{0};

    mutable std::shared_mutex fences_mutex;
    // Guarded by fences_mutex: held upstreams and the time at which the fences that
    // each claim depends on end. Renewals may be entered late; a lost upstream is
    // removed at once.
    std::unordered_map<upstream_id, time_point> fences_valid_until;

    std::optional<peer_transport> transport;
    std::optional<store_sync> sync;
    std::jthread ticker;
};

void control_plane::state::handle_event(const membership_event& ev)
{
    const duration cpu_before = thread_processor_time();
    {
        const std::lock_guard lock{mutex};
        handle_locked(ev, boot_clock::now());
        cpu += thread_processor_time() - cpu_before;
    }
}

void control_plane::state::handle_locked(const membership_event& ev, time_point now)
{
    for (const membership_action& it : agent.handle(ev, now))
        execute(it, now);
    if (std::holds_alternative<membership_tick>(ev))
        refresh_fences();
    lease_until.store(agent.lease_until().time_since_epoch().count());
    current_until.store(agent.current_until().time_since_epoch().count());
    if (view_changed) {
        view_changed = false;
        publish_view();
    }
}

void control_plane::state::refresh_fences()
{
    const std::unique_lock lock{fences_mutex};
    for (auto& [upstream, until] : fences_valid_until)
        until = agent.fences_valid_until(upstream);
}

void control_plane::state::execute(const membership_action& action, time_point /*now*/)
{
    std::visit([this](const auto& it) { execute(it); }, action);
}

void control_plane::state::execute(const send_control& action)
{
    const roster_host* peer = working_view.hosts.find(action.to);
    if (peer != nullptr)
        send_to(peer->control, action.message);
}

void control_plane::state::execute(const adopt_object& action)
{
    if (!pending_object || pending_object->kind != action.kind ||
        pending_object->version != action.version)
        return;
    stored_object& object = action.kind == object_kind::config ? config_object : roster_object;
    object = stored_object{pending_object->version, pending_object->content};
    if (action.kind == object_kind::config) {
        working_view.config = pending_object->config;
        working_view.config_version = pending_object->version;
    } else {
        working_view.hosts = pending_object->hosts;
        working_view.roster_version = pending_object->version;
    }
    view_changed = true;
    log.write(log_level::info, "object_adopted",
              {{"object", name_of(action.kind)}, {"version", action.version}});
}

void control_plane::state::execute(const read_store& action)
{
    reads_wanted[static_cast<std::size_t>(action.kind)] = true;
}

void control_plane::state::execute(const holder_gained& action)
{
    log.write(log_level::info, "placement",
              {{"searcher", action.upstream.value()},
               {"holder", settings.self.id.value()},
               {"decision", "hold"},
               {"reason", std::string_view{action.reason}}});
    view_changed = true;
    {
        const std::unique_lock lock{fences_mutex};
        fences_valid_until[action.upstream] = agent.fences_valid_until(action.upstream);
    }
    handlers.on_held_changed(action.upstream, true);
}

void control_plane::state::execute(const holder_lost& action)
{
    log.write(log_level::info, "placement",
              {{"searcher", action.upstream.value()},
               {"holder", settings.self.id.value()},
               {"decision", "give_up"},
               {"reason", std::string_view{action.reason}}});
    view_changed = true;
    {
        const std::unique_lock lock{fences_mutex};
        fences_valid_until.erase(action.upstream);
    }
    handlers.on_held_changed(action.upstream, false);
}

void control_plane::state::execute(const host_changed& action)
{
    log.write(log_level::info, "host_changed",
              {{"host", action.host.value()}, {"status", to_string(action.status)}});
    view_changed = true;
}

void control_plane::state::execute(const currency_changed& action)
{
    log.write(action.current ? log_level::info : log_level::warning, "currency_changed",
              {{"current", std::string_view{action.current ? "yes" : "no"}},
               {"config_version", working_view.config_version},
               {"roster_version", working_view.roster_version}});
}

void control_plane::state::publish_view()
{
    auto view = std::make_shared<fleet_view>(working_view);
    view->upstreams.clear();
    for (const service_declaration& service : view->config.services) {
        for (const shard_map& map : service.shard_maps) {
            for (const shard_declaration& shard : map.shards) {
                for (const upstream_declaration& it : shard.replicas) {
                    view->upstreams.insert_or_assign(
                        it.id, upstream_placement{it, service.name, agent.expected_holder(it.id),
                                                  view->config.is_domain_out(it.domain)});
                }
            }
        }
    }
    published.store(view);
    handlers.on_view(view);
}

void control_plane::state::send_to(const endpoint& to, const control_message& message)
{
    if (transport)
        transport->send(to, encode_control(settings.self.id, message));
}

void control_plane::state::receive(std::string_view bytes)
{
    auto message = decode_control(bytes);
    if (!message) {
        log.write(log_level::warning, "control_message_invalid",
                  {{"bytes", static_cast<std::uint64_t>(bytes.size())}});
        return;
    }
    if (const auto* push = std::get_if<object_push>(&*message)) {
        auto parsed = parse_object(push->kind, push->version, push->content);
        if (!parsed)
            return;
        const duration cpu_before = thread_processor_time();
        const std::lock_guard lock{mutex};
        pending_object = std::move(parsed);
        handle_locked(*pending_object, boot_clock::now());
        cpu += thread_processor_time() - cpu_before;
        return;
    }
    handle_event(message_received{std::move(*message)});
}

void control_plane::state::request_missing_objects()
{
    bool missing[2] = {false, false};
    {
        const std::lock_guard lock{mutex};
        missing[0] = working_view.config_version == 0;
        missing[1] = working_view.roster_version == 0;
    }
    for (const object_kind kind : {object_kind::config, object_kind::roster}) {
        if (!missing[static_cast<std::size_t>(kind)])
            continue;
        for (const endpoint& it : settings.seeds)
            send_to(it, object_fetch{settings.self.id, kind});
    }
}

void control_plane::state::run_ticks(const std::stop_token& stop)
{
    time_point next_seed_request{};
    while (!stop.stop_requested()) {
        std::this_thread::sleep_for(tick_interval);
        handle_event(membership_tick{});
        if (boot_clock::now() < next_seed_request)
            continue;
        next_seed_request = boot_clock::now() + seed_request_interval;
        request_missing_objects();
    }
}

sync_needs control_plane::state::take_needs(object_kind kind)
{
    const std::lock_guard lock{mutex};
    const auto& witnesses = working_view.hosts.witnesses;
    sync_needs out;
    out.watch = std::find(witnesses.begin(), witnesses.end(), settings.self.id) != witnesses.end();
    out.known = kind == object_kind::config ? config_object : roster_object;
    out.read = std::exchange(reads_wanted[static_cast<std::size_t>(kind)], false) ||
               out.known.version == 0;
    return out;
}

control_plane::control_plane(const node_settings& settings, incarnation_number incarnation,
                             object_store_client& store, logger& log, control_handlers handlers)
    : state_(std::make_unique<state>(settings, incarnation, store, log, std::move(handlers)))
{
}

control_plane::~control_plane()
{
    stop();
}

void control_plane::start()
{
    state& s = *state_;
    s.transport.emplace(s.settings.self.control,
                        [&s](std::string_view bytes) { s.receive(bytes); });
    sync_handlers sync;
    sync.needs = [&s](object_kind kind) {
        return s.take_needs(kind);
    };
    sync.on_object = [this](object_kind kind, const stored_object& object) {
        accept_object(kind, object.version, object.content);
    };
    sync.known = [this](object_kind kind) {
        return known_object(kind);
    };
    sync.view = [this] {
        return view();
    };
    sync.is_current = [this] {
        return is_current(boot_clock::now());
    };
    sync.status_of = [this](const host_id& host) {
        return status_of(host);
    };
    s.sync.emplace(s.settings, s.incarnation, s.store, s.log, std::move(sync));
    s.ticker = std::jthread{[&s](const std::stop_token& stop) {
        s.run_ticks(stop);
    }};
}

void control_plane::stop()
{
    state& s = *state_;
    if (s.ticker.joinable()) {
        s.ticker.request_stop();
        s.ticker.join();
    }
    s.sync.reset();
    s.transport.reset();
}

fleet_view_ptr control_plane::view() const
{
    return state_->published.load();
}

bool control_plane::is_current(time_point now) const
{
    return now.time_since_epoch().count() < state_->current_until.load();
}

bool control_plane::may_dispatch(const upstream_id& upstream, time_point now,
                                 time_point until) const
{
    if (!is_current(now) || until.time_since_epoch().count() >= state_->lease_until.load())
        return false;
    const std::shared_lock lock{state_->fences_mutex};
    const auto it = state_->fences_valid_until.find(upstream);
    return it != state_->fences_valid_until.end() && until < it->second;
}

std::vector<known_host> control_plane::hosts() const
{
    const std::lock_guard lock{state_->mutex};
    std::vector<known_host> out;
    for (const roster_host& it : state_->working_view.hosts.hosts)
        out.push_back(known_host{it, state_->agent.status_of(it.id)});
    return out;
}

host_status control_plane::status_of(const host_id& host) const
{
    const std::lock_guard lock{state_->mutex};
    return state_->agent.status_of(host);
}

std::vector<upstream_id> control_plane::held() const
{
    const fleet_view_ptr seen = view();
    const std::lock_guard lock{state_->mutex};
    std::vector<upstream_id> out;
    for (const auto& [id, place] : seen->upstreams) {
        if (state_->agent.holds(id, boot_clock::now()))
            out.push_back(id);
    }
    std::sort(out.begin(), out.end());
    return out;
}

bool control_plane::accept_object(object_kind kind, object_version version,
                                  const std::string& content)
{
    auto parsed = parse_object(kind, version, content);
    if (!parsed) {
        state_->log.write(log_level::error, "object_invalid",
                          {{"object", name_of(kind)},
                           {"version", version},
                           {"remedy", "apply a valid declaration"}});
        return false;
    }
    const duration cpu_before = thread_processor_time();
    const std::lock_guard lock{state_->mutex};
    // An operator's change in a restored store may have a version that looks old.
    if (version < state_->known_version(kind))
        state_->reads_wanted[static_cast<std::size_t>(kind)] = true;
    state_->pending_object = std::move(parsed);
    state_->handle_locked(*state_->pending_object, boot_clock::now());
    state_->cpu += thread_processor_time() - cpu_before;
    return true;
}

stored_object control_plane::known_object(object_kind kind) const
{
    const std::lock_guard lock{state_->mutex};
    return kind == object_kind::config ? state_->config_object : state_->roster_object;
}

void control_plane::begin_leave()
{
    state_->handle_event(leave_requested{});
}

void control_plane::release_lease()
{
    state_->handle_event(calls_drained{});
}

peer_transport::counters control_plane::traffic() const
{
    return state_->transport ? state_->transport->totals() : peer_transport::counters{};
}

duration control_plane::processor_time() const
{
    const std::lock_guard lock{state_->mutex};
    return state_->cpu;
}

} // namespace ebonywick
