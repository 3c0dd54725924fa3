// Local copy of a store collection: what was read from the store or from another host, and the
// recent changes that other hosts may ask for.
#pragma once

#include "gateway/writeorder.h"
#include "platform/storecodec.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebonywick {

/// An item whose state in the copy is newer than in the store, which has lost it.
struct retained_item
{
    std::string name;
    // In the store; nothing if the store has no such object.
    std::optional<platform::stored_item> stored;

    auto operator<=>(const retained_item&) const = default;
};

/// State of a collection that one host passes to another.
struct collection_update
{
    // `page` holds all changes after this revision, oldest first. 0: the complete collection.
    std::uint64_t from = 0;
    platform::collection_page page;
    // With a complete collection: the items of `page` that the store has lost, and those that it
    // has although they are known to have been deleted, which `page` does not contain.
    std::vector<retained_item> retained = {};

    auto operator<=>(const collection_update&) const = default;
};

/// Never goes back: the state at revision() contains all changes up to it, and neither a late
/// reply of the store nor another host replaces it by an older one.
///
/// The store may be restored from an older copy, which begins a new epoch: its revisions go back
/// and are given out again, and acknowledged changes are missing until their writers repeat them.
/// Only revisions of one epoch are compared. What the copy knew at the beginning of an epoch is
/// retained against an older state in the store, until the writer writes again or settle() is
/// called. Not thread-safe.
class collection_copy
{
public:
    /// Result of adopt().
    enum class adoption : std::uint8_t { ignored, changed, replaced };
    /// Items for which settle() accepts the state of the store.
    enum class settle_scope : std::uint8_t { missing, all };
    using order_function = std::function<std::optional<write_order>(const platform::stored_item&)>;

    /// `order` returns the writer's order of an item's state. Without an order, any state in the
    /// store counts as newer than a retained one.
    explicit collection_copy(order_function order =
                                 [](const auto&) { return std::optional<write_order>{}; })
        : order_(std::move(order))
    {
    }

    [[nodiscard]] bool complete() const { return revision_ != 0; }
    /// Epoch of the store to which revision() belongs.
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
    /// Store revision up to which the copy is complete; 0 before the first list.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// Revision of the newest change in the copy. The pages of one list may show changes after
    /// revision().
    [[nodiscard]] std::uint64_t newest_change() const { return newest_change_; }
    [[nodiscard]] const std::map<std::string, platform::stored_item>& items() const
    {
        return items_;
    }
    /// All items, in the order of their names.
    [[nodiscard]] std::vector<platform::stored_item> list() const;
    /// The state of an item in the store, which a retained item differs from.
    [[nodiscard]] std::optional<platform::stored_item> stored(const std::string& name) const;
    /// Number of items whose state differs from that in the store.
    [[nodiscard]] std::size_t retained_count() const { return retained_.size(); }

    /// Replaces the copy with a complete list, except for retained items. False, without effect,
    /// if the copy is newer.
    bool replace(const platform::collection_page& list);
    /// Applies the changes that a watch returned, and returns those that were new.
    std::vector<platform::stored_item> apply(const platform::collection_page& changes);
    /// What a host needs whose copy is at `revision` of the store's `epoch`; nothing if this copy
    /// is not newer.
    [[nodiscard]] std::optional<collection_update> since(std::uint64_t epoch,
                                                         std::uint64_t revision) const;
    [[nodiscard]] std::optional<collection_update> since(std::uint64_t revision) const
    {
        return since(epoch_, revision);
    }
    /// Takes over the state of another host. Ignored if it is not newer, or if its changes start
    /// at another revision than that of this copy. Items that the other host retains are taken
    /// over from any complete state of the same epoch. Sets `changed` to the new changes.
    adoption adopt(const collection_update& update, std::vector<platform::stored_item>& changed);
    /// Accepts the store's state of retained items, because their writers had time to write
    /// again. Returns the changes.
    std::vector<platform::stored_item> settle(settle_scope scope);

private:
    // A change and the store revision at which it was read.
    struct change
    {
        std::uint64_t read_at = 0;
        platform::stored_item item;
    };
    using retained_map = std::map<std::string, std::optional<platform::stored_item>>;

    [[nodiscard]] bool is_new(const platform::stored_item& it) const;
    // The writer made `a` before `b`.
    [[nodiscard]] bool is_older(const platform::stored_item& a,
                                const platform::stored_item& b) const;
    // The item was deleted after `it`, as far as its writer's order shows.
    [[nodiscard]] bool deleted_after(const platform::stored_item& it) const;
    // The same as deleted_after(), for an item of a restored store.
    [[nodiscard]] bool is_deleted_state(const platform::stored_item& it) const;
    void insert(const platform::stored_item& it);
    void note_deleted(const platform::stored_item& it);
    void record_change(const platform::stored_item& it, std::uint64_t read_at);
    bool replace(const collection_update& full);
    void adopt_retained(const collection_update& full);
    // Applies a change of a retained item; true if the item in the copy has changed.
    bool apply_to_retained(platform::stored_item& it, std::uint64_t read_at);
    std::vector<platform::stored_item> merge_retained(const collection_update& full);

    order_function order_;
    std::map<std::string, platform::stored_item> items_;
    // Items whose state here differs from that in the store, with the latter: it is older, or the
    // item is missing here or there. Revisions of such items in items_ may belong to an earlier
    // epoch.
    retained_map retained_;
    // Last states of deleted items, to recognize them in a restored store; oldest names first in
    // deletions_.
    std::map<std::string, platform::stored_item> deleted_;
    std::deque<std::string> deletions_;
    std::uint64_t epoch_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t newest_change_ = 0;
    // Recent changes, oldest first; contains all after changes_begin_.
    std::deque<change> changes_;
    std::uint64_t changes_begin_ = 0;
    // Size of the items in changes_.
    std::size_t kept_change_bytes_ = 0;
};

} // namespace ebonywick
