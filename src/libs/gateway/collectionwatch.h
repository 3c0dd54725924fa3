// Keeps a copy of one collection of the store up to date: lists it once, then watches.
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
    /// The whole collection, after a start or a gap in the history.
    std::function<void(const std::vector<platform::stored_item>&)> listed;
    /// Changes in order of their revisions.
    std::function<void(const std::vector<platform::stored_item>&)> changed;
    /// Contact with the store was lost (with the reason) or regained (empty reason).
    std::function<void(platform::object_kind, std::string_view)> contact;
    /// A call is made.
    std::function<void(platform::object_kind, std::string_view call, platform::freshness)> calling;
    /// A call has ended.
    std::function<void(std::string_view outcome)> counted;
};

/// How a collection is read.
struct watch_policy
{
    /// Pause after changes before the next watch. Each call is charged, and changes
    /// often come in groups.
    duration pause{};
    /// Seconds of delay do no harm, so the store may answer from an older state.
    platform::freshness needed = platform::freshness::newest;
    /// Lists show the newest state all the same: a list that lags could take the host
    /// below what it has shown before a restart.
    bool newest_lists = true;

    auto operator<=>(const watch_policy&) const = default;
};

/// Not thread-safe.
class collection_watch
{
public:
    collection_watch(boost::asio::io_context& loop, timer_queue& timers, const endpoint& store,
                     platform::object_kind kind, watch_policy policy, collection_handlers handlers);

    void start();
    /// The whole collection has been seen at least once.
    [[nodiscard]] bool complete() const { return revision_ != 0; }
    [[nodiscard]] bool in_contact() const { return in_contact_; }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// The collection as it is known here, by name.
    [[nodiscard]] const std::map<std::string, platform::stored_item>& items() const
    {
        return items_;
    }
    /// Takes over what another host knows, if the store is out of contact and the other
    /// state is newer.
    void adopt(const platform::object_page& state);
    /// Revision of the newest change that was seen, 0 if there was none.
    [[nodiscard]] std::uint64_t newest_change() const { return newest_change_; }
    /// Freshness of the calls from now on. A watch that may lag is replaced at once by one
    /// that may not.
    void set_freshness(platform::freshness needed);
    /// Another host has seen a change of `revision`. Reads the newest state if the change
    /// does not arrive by itself for a while.
    void catch_up(std::uint64_t revision);

private:
    void list();
    void watch();
    void history_gone();
    void on_list(const http_message& reply);
    void on_events(const http_message& reply);
    void failed(std::string_view reason);
    void succeeded();
    // Next call, after a pause that lengthens with each failure.
    void next();
    // Replaces the watch in progress.
    void replace();
    [[nodiscard]] platform::freshness next_freshness();
    void note_changes(const std::vector<platform::stored_item>& items);

    endpoint store_;
    platform::object_kind kind_;
    watch_policy policy_;
    collection_handlers handlers_;
    timer_queue& timers_;
    http_channel channel_;
    loop_timer pause_;
    std::map<std::string, platform::stored_item> items_;
    // Items of the pages seen so far, and the name after which the next one begins.
    std::vector<platform::stored_item> pages_;
    std::string after_;
    // 0 until the first list is complete.
    std::uint64_t revision_ = 0;
    std::uint64_t newest_change_ = 0;
    // When a change that others have seen was first found missing here.
    time_point behind_since_ = time_point::max();
    // The next call reads the newest state, whatever the policy.
    bool fresh_once_ = false;
    // Until then all calls read the newest state.
    time_point newest_until_{};
    // The last watch found its history gone.
    bool gap_before_ = false;
    // The call in progress was ended to be replaced.
    bool replacing_ = false;
    bool must_list_ = true;
    bool in_contact_ = false;
    store_retry retry_;
};

} // namespace ebonywick
