// Order of changes by revision, and updates for other hosts.
#include "gateway/collectioncopy.h"

#include <algorithm>

namespace ebonywick {

namespace {

// Changes that are kept for other hosts. A host that lags further behind gets the complete
// collection, which has a few hundred items.
constexpr std::size_t max_kept_changes = 512;

} // namespace

bool collection_copy::replace(const platform::collection_page& list)
{
    if (list.revision < revision_)
        return false;
    items_.clear();
    for (const platform::stored_item& it : list.items)
        insert(it);
    revision_ = list.revision;
    changes_.clear();
    changes_begin_ = revision_;
    return true;
}

bool collection_copy::is_new(const platform::stored_item& it) const
{
    const auto found = items_.find(it.name);
    // A deletion may carry the revision of the object's last change, so it is compared with the
    // object: one that was created again later has a higher revision.
    if (it.deleted)
        return found != items_.end() && found->second.revision <= it.revision;
    // A later page of a list may have shown a newer state than the revision of the list.
    return it.revision > revision_ &&
           (found == items_.end() || found->second.revision < it.revision);
}

void collection_copy::insert(const platform::stored_item& it)
{
    if (it.deleted)
        items_.erase(it.name);
    else
        items_[it.name] = it;
    newest_change_ = std::max(newest_change_, it.revision);
}

void collection_copy::record_change(const platform::stored_item& it, std::uint64_t read_at)
{
    changes_.push_back({read_at, it});
    while (changes_.size() > max_kept_changes) {
        changes_begin_ = changes_.front().read_at;
        changes_.pop_front();
    }
}

std::vector<platform::stored_item> collection_copy::apply(const platform::collection_page& changes)
{
    std::vector<platform::stored_item> out;
    // The store repeats changes if the copy has advanced by another host meanwhile.
    if (changes.revision <= revision_)
        return out;
    for (platform::stored_item it : changes.items) {
        if (!is_new(it))
            continue;
        // Other hosts recognize a deletion as a change by its revision.
        if (it.deleted && it.revision == items_.at(it.name).revision)
            it.revision = changes.revision;
        insert(it);
        record_change(it, changes.revision);
        out.push_back(std::move(it));
    }
    revision_ = changes.revision;
    return out;
}

std::optional<collection_update> collection_copy::since(std::uint64_t revision) const
{
    if (revision >= revision_)
        return std::nullopt;
    collection_update out;
    out.page.revision = revision_;
    if (revision != 0 && revision >= changes_begin_) {
        out.from = revision;
        for (const change& it : changes_) {
            if (it.read_at > revision)
                out.page.items.push_back(it.item);
        }
        return out;
    }
    for (const auto& [name, it] : items_)
        out.page.items.push_back(it);
    return out;
}

collection_copy::adoption collection_copy::adopt(const collection_update& update,
                                                 std::vector<platform::stored_item>& changed)
{
    if (update.page.revision <= revision_)
        return adoption::ignored;
    if (update.from == 0) {
        replace(update.page);
        return adoption::replaced;
    }
    if (update.from != revision_)
        return adoption::ignored;
    changed = apply(update.page);
    return adoption::changed;
}

} // namespace ebonywick
