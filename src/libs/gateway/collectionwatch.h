// Keeps a local copy of one store collection up to date: lists it once, then watches it, unless
// other hosts pass on its changes.
#pragma once

#include "gateway/collectioncopy.h"
#include "gateway/httpchannel.h"
#include "gateway/revisionledger.h"
#include "gateway/storeretry.h"
#include "peers/peertable.h"
#include "platform/collectionreader.h"
#include "platform/storecodec.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonywick {

/// Reason for lost contact if a call got no reply.
inline constexpr std::string_view no_reply_reason = "no_reply";

struct collection_handlers
{
    /// The complete collection, after the first list, a gap in the history or adopt().
    std::function<void(const std::vector<platform::stored_item>&)> listed;
    /// Changed and deleted items in the order of their revisions.
    std::function<void(const std::vector<platform::stored_item>&)> changed;
    /// Changes because the store's state of retained items is accepted; see collection_copy.
    std::function<void(platform::store_collection, const std::vector<platform::stored_item>&)>
        settled = [](auto, const auto&) {
        };
    /// The copy was replaced by the state of a later epoch of the store.
    std::function<void(platform::store_collection, const collection_copy&)> restored =
        [](auto, const auto&) {
        };
    /// Contact with the store was lost (with a reason) or regained (empty reason).
    std::function<void(platform::store_collection, std::string_view)> contact_changed;
    /// A reply states an epoch of the store that is newer than all before.
    std::function<void(platform::store_collection, std::uint64_t epoch)> epoch_seen = [](auto,
                                                                                         auto) {
    };
    /// A complete list was ignored because the copy is newer.
    std::function<void(platform::store_collection, std::uint64_t list_revision)> list_ignored =
        [](auto, auto) {
        };
    /// A reply contained objects whose name or revision cannot be read; they are ignored.
    std::function<void(platform::store_collection, std::size_t count)> objects_skipped = [](auto,
                                                                                            auto) {
    };
    /// A `list` or `watch` call is about to be sent.
    std::function<void(platform::store_collection, std::string_view call, platform::freshness)>
        call_started;
    /// Whether a call may be sent now; while it may not, the watch waits.
    std::function<bool(platform::store_collection)> may_call;
    /// Changes after the revision `from` were read; see revision_ledger::note_changes().
    std::function<void(std::uint64_t from, const platform::collection_page&)> changes_read =
        [](auto, const auto&) {
        };
    /// A call that replaces one without a reply has returned changes; other hosts may lack them.
    std::function<void()> late_change = [] {
    };
    /// A watch that is renewed in turn has ended without changes; the newest change of the whole
    /// store has this revision.
    std::function<void(std::uint64_t store_revision)> renewed = [](auto) {
    };
    /// A call has ended with `ok`, `failed` or `history_gone`. Restarted calls do not count.
    std::function<void(std::string_view outcome)> call_ended;
};

/// How often and how fresh a collection is read.
struct watch_policy
{
    /// Pause between a reply with changes and the next watch. Calls to the store are charged
    /// and changes often come in groups, so one call should return several of them.
    duration pause{};
    /// stale_ok lets the store answer from a state that is some seconds old, which is
    /// cheaper.
    platform::freshness read_freshness = platform::freshness::newest;
    /// Longest time between two watches of all readers of the newest state together. A connection
    /// may go silent without a reset, which only a reply that is due shows, so the readers renew
    /// their watches in turn. duration::max(): each watch waits for gateway_constants::watch_wait.
    duration renewal_interval = duration::max();
    /// Lists read the newest state even if read_freshness is stale_ok. A stale list after a
    /// restart could show an older state than the host served before it.
    bool lists_read_newest = true;
    /// After a restoration of the store, writers repeat what it has lost within these times: items
    /// that it does not have, and items whose state is older than the known one. Afterwards its
    /// state is accepted. duration::max(): never.
    duration missing_retention = duration::max();
    duration outdated_retention = duration::max();

    auto operator<=>(const watch_policy&) const = default;
};

/// Where the changes of a collection come from once it is complete.
enum class change_source : std::uint8_t { store, other_hosts };

/// Not thread-safe.
class collection_watch
{
public:
    collection_watch(boost::asio::io_context& loop, timer_queue& timers, const endpoint& store,
                     platform::store_collection collection, watch_policy policy,
                     collection_handlers handlers);

    void start();
    /// The complete collection is known, from a list or from another host.
    [[nodiscard]] bool complete() const { return copy_.complete(); }
    /// The store answers. One failed call does not count, because the store may cut watches.
    [[nodiscard]] bool store_reachable() const
    {
        return ever_in_contact_ && retry_.failures() < max_failures_in_contact;
    }
    [[nodiscard]] const collection_copy& copy() const { return copy_; }
    /// Takes over what another host passed on. False if that is not newer than the local copy.
    bool adopt(const collection_update& update);
    /// Sets the freshness of the following calls. A change from stale_ok to newest also
    /// restarts the watch in progress.
    void set_freshness(platform::freshness needed);
    /// Sets the position of this host among the readers of the newest state. If its turns have
    /// moved, a watch that waits for changes is repeated until the next one.
    void set_position(reader_position position);
    /// Another call on a connection to the store got no reply. A watch that waits for changes is
    /// repeated on a new connection, because its own may have gone silent as well.
    void check_connection();
    /// The whole store is at this revision. Unless the changes since the last reply are all known,
    /// as changes of other collections, a watch that waits for changes is repeated on a new
    /// connection.
    void verify(std::uint64_t store_revision, const revision_ledger& known);
    /// With other_hosts, no call is sent as long as the collection is complete.
    void set_source(change_source source);
    /// Whether another live host reads the store, so that its changes arrive by adopt() while
    /// stale reads of this host fail. If that becomes true, a call that failed is repeated at
    /// once.
    void set_other_readers(bool exist);
    /// Sets the upper bound of the interval between calls that fail.
    void set_max_retry_pause(duration pause) { retry_.set_max_pause(pause); }
    /// Since the store last answered a call of this collection, or since the first call.
    [[nodiscard]] duration reply_age() const { return timers_.now() - replied_at_; }
    /// Since the call in progress, or the one that has just ended, was sent.
    [[nodiscard]] duration call_age() const { return timers_.now() - called_at_; }
    /// The store did not answer the last call, or refused it.
    [[nodiscard]] bool store_unavailable() const { return store_unavailable_; }
    /// Another host has applied a change with this revision of the store's `epoch`. If the change
    /// does not arrive here within gateway_constants::catch_up_delay, the watch is restarted and
    /// reads the newest state. To be called regularly.
    void catch_up(std::uint64_t epoch, std::uint64_t revision);
    /// Another host has applied a change with this revision of the store's `epoch`, and this copy
    /// does not contain it although it counts as complete beyond that revision. The newest state is
    /// listed once for each such revision. Returns whether it is now.
    bool list_missing_change(std::uint64_t epoch, std::uint64_t revision);
    /// The store is in this epoch, as another collection's reply states. A copy of an earlier epoch
    /// is replaced.
    void set_store_epoch(std::uint64_t epoch);
    /// Another host has seen this epoch. The watch in progress is repeated once, to see the epoch
    /// that the store states.
    void check_store_epoch(std::uint64_t epoch);

private:
    static constexpr std::uint32_t max_failures_in_contact = 2;

    // Epoch that a reply states.
    [[nodiscard]] std::uint64_t note_epoch(const http_message& reply);
    // Whether the copy belongs to an earlier epoch of the store.
    [[nodiscard]] bool outdated() const { return complete() && copy_.epoch() < store_epoch_; }
    // Starts the time in which writers repeat what a restored store has lost.
    void retain();
    void settle_due();
    void send_list();
    void send_watch();
    // Repeats the watch in progress, whose connection may have gone silent.
    void repeat_in_doubt();
    // How long the next watch waits for changes.
    [[nodiscard]] duration next_wait() const;
    // This host reads the newest state and renews its watches in turn with the others.
    [[nodiscard]] bool renews_in_turn() const
    {
        return policy_.renewal_interval != duration::max() &&
               policy_.read_freshness == platform::freshness::newest;
    }
    // Sends a call whose reply `reader_` decodes.
    void send(platform::collection_call kind, std::string request, duration timeout);
    void on_reply(platform::collection_call kind, const std::optional<http_message>& reply);
    // The changes after the copy's revision cannot be read.
    void on_gap();
    void on_list(std::uint64_t epoch);
    void on_events(std::uint64_t epoch);
    void on_failure(std::string_view reason);
    void on_success();
    // Sends a list or a watch, whichever is due.
    void start_next_call();
    // Aborts the watch in progress and sends a new one.
    void restart_call();
    [[nodiscard]] platform::freshness next_freshness();

    endpoint store_;
    platform::store_collection collection_;
    watch_policy policy_;
    collection_handlers handlers_;
    timer_queue& timers_;
    http_channel channel_;
    loop_timer pause_timer_;
    // Of the call in progress.
    std::optional<platform::collection_reader> reader_;
    // The next watch starts at its revision.
    collection_copy copy_;
    // The pages of the list in progress so far, with the revision of the first one, and the name
    // after which the next page starts (empty for the first page).
    platform::collection_page listed_so_far_;
    std::string list_after_;
    change_source source_ = change_source::store;
    bool other_readers_ = false;
    reader_position position_;
    // Up to this revision of verified_epoch_, the collection has no change that is not in the copy.
    std::uint64_t verified_ = 0;
    std::uint64_t verified_epoch_ = 0;
    // Newest revision for which list_missing_change() has listed the state.
    std::uint64_t listed_for_ = 0;
    std::uint64_t listed_for_epoch_ = 0;
    // The call in progress is a watch that waits for changes.
    bool waits_for_changes_ = false;
    // The call in progress replaces one whose connection may have gone silent.
    bool in_doubt_ = false;
    // When catch_up() first found that a change of another host was missing here;
    // time_point::max() if none is missing.
    time_point behind_since_ = time_point::max();
    // The next call reads the newest state regardless of the policy.
    bool next_call_newest_ = false;
    // All calls before this time read the newest state.
    time_point newest_until_{};
    // The last watch found that the store no longer has the history after revision_.
    bool last_watch_had_gap_ = false;
    // The call in progress was aborted by restart_call(), which is not a failure.
    bool restarting_ = false;
    bool needs_list_ = true;
    bool in_contact_ = false;
    bool ever_in_contact_ = false;
    // Waits after a gap in the history, while other hosts read the newest state.
    bool gap_pause_ = false;
    // Has waited once since the last success, without effect.
    bool gap_waited_ = false;
    bool store_unavailable_ = false;
    time_point called_at_{};
    time_point replied_at_{};
    // Newest epoch that a reply of the store has stated; 0 before the first one.
    std::uint64_t store_epoch_ = 0;
    // Newest epoch for which check_store_epoch() has repeated the watch.
    std::uint64_t checked_epoch_ = 0;
    // The next watch does not wait for changes. After a restoration, its revision may have been
    // given out again, and a waiting watch would not show that.
    bool probe_next_ = false;
    // When the copy was replaced in a new epoch, or the store was last found unavailable after
    // that.
    time_point retained_since_{};
    // Epoch for which retained_since_ was set.
    std::uint64_t retained_epoch_ = 0;
    // Epoch of the copy when it was last replaced.
    std::uint64_t copied_epoch_ = 0;
    loop_timer settle_timer_;
    store_retry retry_;
};

} // namespace ebonywick
