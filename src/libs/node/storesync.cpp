// Threads that read and watch the store objects and write changes of the roster.
#include "node/storesync.h"

#include "control/changehistory.h"
#include "control/objectcodec.h"
#include "control/rostermaintainer.h"

#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace ebonywick {

namespace {

// Bounds of the wait of one watch. A connection may go silent without a reset, which only a reply
// that is due shows; with the timeout of a call, a change is then still read within 3 s. The
// witnesses draw their waits, so that one of them usually notices sooner.
constexpr std::chrono::milliseconds min_watch_wait{600};
constexpr std::chrono::milliseconds max_watch_wait{1200};
// Interval of reads between watches; see sync_object().
constexpr std::chrono::milliseconds refresh_interval{10000};
constexpr std::chrono::milliseconds idle_pause{50};
constexpr std::chrono::milliseconds maintenance_interval{250};
// Bounds of the pause after a failed call. It doubles with each failure and has
// random jitter, so that hosts do not all call a recovering store at once.
constexpr std::chrono::milliseconds initial_pause{200};
constexpr std::chrono::milliseconds max_pause{3000};
// Pause between reads while no version of the object is known.
constexpr std::chrono::milliseconds read_interval{500};

template <class... Visitors>
struct overloaded : Visitors...
{
    using Visitors::operator()...;
};
template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

const char* key_of(object_kind kind)
{
    return kind == object_kind::config ? config_key : roster_key;
}

/// Empty if the content is no such object.
std::vector<std::string> change_ids_of(object_kind kind, const std::string& content)
{
    return leaf::try_handle_all(
        [&]() -> result<std::vector<std::string>> {
            if (kind == object_kind::config) {
                BOOST_LEAF_AUTO(object, decode_config(content));
                return object.change_ids;
            }
            BOOST_LEAF_AUTO(object, decode_roster(content));
            return object.change_ids;
        },
        [] { return std::vector<std::string>{}; });
}

/// The object with the id of one more change; empty if the content is no such object.
std::string with_change_id(object_kind kind, const std::string& content, const std::string& id)
{
    return leaf::try_handle_all(
        [&]() -> result<std::string> {
            if (kind == object_kind::config) {
                BOOST_LEAF_AUTO(object, decode_config(content));
                object.change_ids = add_change_id(std::move(object.change_ids), id);
                return encode(object);
            }
            BOOST_LEAF_AUTO(object, decode_roster(content));
            object.change_ids = add_change_id(std::move(object.change_ids), id);
            return encode(object);
        },
        [] { return std::string{}; });
}

/// Exponential backoff with jitter: each pause is between half and all of the bound.
class backoff
{
public:
    explicit backoff(std::uint64_t seed) : random_(seed) {}

    std::chrono::milliseconds next()
    {
        const std::chrono::milliseconds max_delay = pause_;
        pause_ = std::min(pause_ * 2, max_pause);
        std::uniform_int_distribution<std::int64_t> delay{max_delay.count() / 2, max_delay.count()};
        return std::chrono::milliseconds{delay(random_)};
    }

    void reset() { pause_ = initial_pause; }

private:
    std::mt19937_64 random_;
    std::chrono::milliseconds pause_ = initial_pause;
};

void interruptible_sleep(const std::stop_token& stop, std::chrono::milliseconds pause)
{
    const auto until = std::chrono::steady_clock::now() + pause;
    while (!stop.stop_requested() && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(std::min(idle_pause, pause));
}

} // namespace

struct store_sync::state
{
    state(const node_settings& node, incarnation_number own_incarnation,
          object_store_client& client, logger& logging, sync_handlers handler_set)
        : settings(node), incarnation(own_incarnation), store(client), log(logging),
          handlers(std::move(handler_set)), random(own_incarnation),
          maintainer(node.self, own_incarnation, boot_clock::now())
    {
    }

    void sync_object(object_kind kind, const std::stop_token& stop);
    // Reads the object, or waits for a version that is newer than the known one.
    bool read_object(object_kind kind, duration wait);
    void reconcile(object_kind kind, const std::optional<stored_object>& stored);
    // Writes `content` as a further change, so that it follows all states that hosts know.
    void write_again(object_kind kind, const std::string& content, object_version expected,
                     object_version offset, std::string_view source);
    void run_roster_maintenance(const std::stop_token& stop);
    void write_roster(const roster_update& update);

    node_settings settings;
    incarnation_number incarnation;
    object_store_client& store;
    logger& log;
    sync_handlers handlers;
    // Used by the maintenance thread only.
    std::mt19937_64 random;
    roster_maintainer maintainer;
    std::jthread config_thread;
    std::jthread roster_thread;
    std::jthread maintenance_thread;
};

bool store_sync::state::read_object(object_kind kind, duration wait)
{
    const std::string key = key_of(kind);
    return leaf::try_handle_all(
        [&]() -> result<bool> {
            std::optional<stored_object> object;
            if (wait > duration::zero()) {
                const stored_object known = handlers.known(kind);
                const object_version after =
                    known.version - offset_of(change_ids_of(kind, known.content));
                BOOST_LEAF_ASSIGN(object, store.watch(key, after, wait));
                // Without a change, the watch tells nothing of an object that is older or missing.
                if (!object)
                    return true;
            } else {
                BOOST_LEAF_ASSIGN(object, store.get(key));
            }
            reconcile(kind, object);
            return true;
        },
        [] { return false; });
}

void store_sync::state::reconcile(object_kind kind, const std::optional<stored_object>& stored)
{
    const stored_object known = handlers.known(kind);
    std::optional<object_history> history;
    if (stored)
        history = object_history{stored->version, change_ids_of(kind, stored->content)};
    const history_action action =
        compare_histories({known.version, change_ids_of(kind, known.content)}, history);
    std::visit(overloaded{[](const nothing_to_do&) {},
                          [&](const adopt_stored& it) {
                              handlers.on_object(kind, {it.version, stored->content});
                          },
                          [&](const write_known_again& it) {
                              write_again(kind, known.content, it.expected, it.offset, "known");
                          },
                          [&](const renumber_stored& it) {
                              write_again(kind, stored->content, it.expected, it.offset, "stored");
                          }},
               action);
}

void store_sync::state::write_again(object_kind kind, const std::string& content,
                                    object_version expected, object_version offset,
                                    std::string_view source)
{
    const std::string id = make_change_id(
        fmt::format("{}-{:x}", settings.self.id.value(), std::random_device{}()), offset);
    const std::string renewed = with_change_id(kind, content, id);
    if (renewed.empty())
        return;
    const put_result result = store.put(key_of(kind), renewed, expected);
    const auto* accepted = std::get_if<put_accepted>(&result);
    log.write(log_level::warning, "object_written_again",
              {{"object", key_of(kind)},
               {"state", source},
               {"expected", expected},
               {"offset", offset},
               {"version", accepted != nullptr ? accepted->version : 0},
               {"result", accepted != nullptr ? "accepted" : "not accepted"}});
    if (accepted != nullptr)
        handlers.on_object(kind, {accepted->version + offset, renewed});
}

void store_sync::state::sync_object(object_kind kind, const std::stop_token& stop)
{
    backoff retry_backoff{incarnation + static_cast<std::uint64_t>(kind)};
    std::mt19937_64 waits_random{incarnation ^ static_cast<std::uint64_t>(kind)};
    std::uniform_int_distribution<std::int64_t> waits{min_watch_wait.count(),
                                                      max_watch_wait.count()};
    // Reads come between the watches: in a store that was restored from an older copy, a watch
    // after the known version would wait without a result. A read also follows each failure.
    bool read_next = true;
    time_point read_at{};
    std::uint64_t read_epochs = 0;
    while (!stop.stop_requested()) {
        const sync_needs needs = handlers.needs(kind);
        if (!needs.watch && !needs.read) {
            std::this_thread::sleep_for(idle_pause);
            continue;
        }
        const bool reads =
            needs.read || std::exchange(read_next, false) || needs.known.version == 0;
        const std::chrono::milliseconds wait{reads ? 0 : waits(waits_random)};
        if (reads) {
            read_at = boot_clock::now();
            read_epochs = store.epochs();
        }
        if (!read_object(kind, wait)) {
            read_next = true;
            interruptible_sleep(stop, retry_backoff.next());
            continue;
        }
        retry_backoff.reset();
        if (!reads)
            read_next =
                boot_clock::now() - read_at >= refresh_interval || store.epochs() != read_epochs;
        else if (!needs.watch || needs.known.version == 0)
            interruptible_sleep(stop, read_interval);
    }
}

void store_sync::state::write_roster(const roster_update& update)
{
    const stored_object known = handlers.known(object_kind::roster);
    // A newer roster came meanwhile, and the update has to be decided again.
    if (known.version != update.expected)
        return;
    const auto known_ids = change_ids_of(object_kind::roster, known.content);
    const object_version offset = offset_of(known_ids);
    const object_version expected = update.expected - offset;
    const std::string id =
        make_change_id(fmt::format("{}-{}", settings.self.id.value(), random()), offset);
    const std::string content = encode(roster_object{update.hosts, add_change_id(known_ids, id)});
    const put_result result = store.put(roster_key, content, expected);
    const auto* accepted = std::get_if<put_accepted>(&result);
    log.write(log_level::info, "roster_update",
              {{"reason", update.reason},
               {"expected", update.expected},
               {"result", accepted != nullptr ? "accepted" : "not accepted"}});
    if (accepted != nullptr) {
        handlers.on_object(object_kind::roster, stored_object{accepted->version + offset, content});
        return;
    }
    // A write without a reply may have taken effect; reading the object tells.
    maintainer.note_conflict(boot_clock::now());
    read_object(object_kind::roster, duration::zero());
}

void store_sync::state::run_roster_maintenance(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        std::this_thread::sleep_for(maintenance_interval);
        const fleet_view_ptr view = handlers.view();
        roster_view seen;
        seen.hosts = view->hosts;
        seen.version = view->roster_version;
        seen.status_of = handlers.status_of;
        seen.current = handlers.is_current();
        if (const auto update = maintainer.propose(seen, boot_clock::now()))
            write_roster(*update);
    }
}

store_sync::store_sync(const node_settings& settings, incarnation_number incarnation,
                       object_store_client& store, logger& log, sync_handlers handlers)
    : state_(std::make_unique<state>(settings, incarnation, store, log, std::move(handlers)))
{
    state* s = state_.get();
    s->config_thread = std::jthread{[s](const std::stop_token& stop) {
        s->sync_object(object_kind::config, stop);
    }};
    s->roster_thread = std::jthread{[s](const std::stop_token& stop) {
        s->sync_object(object_kind::roster, stop);
    }};
    s->maintenance_thread = std::jthread{[s](const std::stop_token& stop) {
        s->run_roster_maintenance(stop);
    }};
}

store_sync::~store_sync() = default;

} // namespace ebonywick
