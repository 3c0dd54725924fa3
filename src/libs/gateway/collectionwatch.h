// Keeps a local copy of one store collection up to date: lists it once, then watches it.
#pragma once

#include "gateway/httpchannel.h"
#include "gateway/storeretry.h"
#include "platform/storecodec.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ebonywick {

struct collection_handlers
{
    /// The complete collection, after the first list, a gap in the history or adopt().
    std::function<void(const std::vector<platform::stored_item>&)> listed;
    /// Changed and deleted items in the order of their revisions.
    std::function<void(const std::vector<platform::stored_item>&)> changed;
    /// Contact with the store was lost (with a reason) or regained (empty reason).
    std::function<void(platform::store_collection, std::string_view)> contact_changed;
    /// A `list` or `watch` call is about to be sent.
    std::function<void(platform::store_collection, std::string_view call, platform::freshness)>
        call_started;
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
    /// Lists read the newest state even if read_freshness is stale_ok. A stale list after a
    /// restart could show an older state than the host served before it.
    bool lists_read_newest = true;

    auto operator<=>(const watch_policy&) const = default;
};

/// Not thread-safe.
class collection_watch
{
public:
    collection_watch(boost::asio::io_context& loop, timer_queue& timers, const endpoint& store,
                     platform::store_collection collection, watch_policy policy,
                     collection_handlers handlers);

    void start();
    /// The complete collection is known, from a list or from another host.
    [[nodiscard]] bool complete() const { return revision_ != 0; }
    [[nodiscard]] bool in_contact() const { return in_contact_; }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// The local copy of the collection, by name.
    [[nodiscard]] const std::map<std::string, platform::stored_item>& items() const
    {
        return items_;
    }
    /// Replaces the local copy with that of another host. Does nothing while the store is
    /// reachable or if `state` is not newer.
    void adopt(const platform::collection_page& state);
    /// Highest revision of an item seen so far; 0 before the first item.
    [[nodiscard]] std::uint64_t newest_change() const { return newest_change_; }
    /// Sets the freshness of the following calls. A change from stale_ok to newest also
    /// restarts the watch in progress.
    void set_freshness(platform::freshness needed);
    /// Another host has applied a change with this revision. If the change does not arrive
    /// here within gateway_constants::catch_up_delay, the watch is restarted and reads the
    /// newest state. To be called regularly.
    void catch_up(std::uint64_t revision);

private:
    void send_list();
    void send_watch();
    void on_history_gone();
    void on_list(const http_message& reply);
    void on_events(const http_message& reply);
    void on_failure(std::string_view reason);
    void on_success();
    // Sends a list or a watch, whichever is due.
    void start_next_call();
    // Aborts the watch in progress and sends a new one.
    void restart_call();
    [[nodiscard]] platform::freshness next_freshness();
    void update_items(const std::vector<platform::stored_item>& items);

    endpoint store_;
    platform::store_collection collection_;
    watch_policy policy_;
    collection_handlers handlers_;
    timer_queue& timers_;
    http_channel channel_;
    loop_timer pause_timer_;
    std::map<std::string, platform::stored_item> items_;
    // Items on the pages of the list in progress, and the name after which the next page
    // starts (empty for the first page).
    std::vector<platform::stored_item> listed_so_far_;
    std::string list_after_;
    // Revision up to which the local copy is complete; the next watch starts there. 0 before
    // the first list.
    std::uint64_t revision_ = 0;
    std::uint64_t newest_change_ = 0;
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
    store_retry retry_;
};

} // namespace ebonywick
