// Local copy of a store collection: what was read from the store or from another host, and the
// recent changes that other hosts may ask for.
#pragma once

#include "platform/storecodec.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebonywick {

/// State of a collection that one host passes to another.
struct collection_update
{
    // `page` holds all changes after this revision, oldest first. 0: the complete collection.
    std::uint64_t from = 0;
    platform::collection_page page;

    auto operator<=>(const collection_update&) const = default;
};

/// Never goes back: the state at revision() contains all changes up to it, and neither a late
/// reply of the store nor another host replaces it by an older one. Not thread-safe.
class collection_copy
{
public:
    /// Result of adopt().
    enum class adoption : std::uint8_t { ignored, changed, replaced };

    [[nodiscard]] bool complete() const { return revision_ != 0; }
    /// Store revision up to which the copy is complete; 0 before the first list.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// Revision of the newest change in the copy. The pages of one list may show changes after
    /// revision().
    [[nodiscard]] std::uint64_t newest_change() const { return newest_change_; }
    [[nodiscard]] const std::map<std::string, platform::stored_item>& items() const
    {
        return items_;
    }

    /// Replaces the copy with a complete list. False, without effect, if the copy is newer.
    bool replace(const platform::collection_page& list);
    /// Applies the changes that a watch returned, and returns those that were new.
    std::vector<platform::stored_item> apply(const platform::collection_page& changes);
    /// What a host whose copy is at `revision` needs; nothing if this copy is not newer.
    [[nodiscard]] std::optional<collection_update> since(std::uint64_t revision) const;
    /// Takes over the state of another host. Ignored if it is not newer, or if its changes start
    /// at another revision than that of this copy. Appends new changes to `changed`.
    adoption adopt(const collection_update& update, std::vector<platform::stored_item>& changed);

private:
    // A change and the store revision at which it was read.
    struct change
    {
        std::uint64_t read_at = 0;
        platform::stored_item item;
    };

    [[nodiscard]] bool is_new(const platform::stored_item& it) const;
    void insert(const platform::stored_item& it);
    void record_change(const platform::stored_item& it, std::uint64_t read_at);

    std::map<std::string, platform::stored_item> items_;
    std::uint64_t revision_ = 0;
    std::uint64_t newest_change_ = 0;
    // Recent changes, oldest first; contains all after changes_begin_.
    std::deque<change> changes_;
    std::uint64_t changes_begin_ = 0;
};

} // namespace ebonywick
