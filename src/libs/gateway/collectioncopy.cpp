// Order of changes by revision and by their writers, and updates for other hosts.
#include "gateway/collectioncopy.h"

#include <algorithm>
#include <utility>

namespace ebonywick {

using platform::stored_item;

namespace {

// Changes that are kept for other hosts. A host that lags further behind gets the complete
// collection, which has a few hundred items.
constexpr std::size_t max_kept_changes = 512;
constexpr std::size_t max_kept_change_bytes = std::size_t{1} << 20U;
// Deleted items that are remembered; a copy from which the store is restored is some seconds old.
constexpr std::size_t max_kept_deletions = 512;

const stored_item* find(const std::vector<stored_item>& items, const std::string& name)
{
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&](const stored_item& it) { return it.name == name; });
    return found == items.end() ? nullptr : &*found;
}

std::size_t size_of(const stored_item& it)
{
    return sizeof(it) + it.name.size() + it.content.size() + it.problem.size();
}

} // namespace

std::vector<stored_item> collection_copy::list() const
{
    std::vector<stored_item> out;
    out.reserve(items_.size());
    for (const auto& [name, it] : items_)
        out.push_back(it);
    return out;
}

std::optional<stored_item> collection_copy::stored(const std::string& name) const
{
    if (const auto retained = retained_.find(name); retained != retained_.end())
        return retained->second;
    const auto found = items_.find(name);
    return found == items_.end() ? std::nullopt : std::optional{found->second};
}

bool collection_copy::is_older(const stored_item& a, const stored_item& b) const
{
    const auto first = order_(a);
    const auto second = order_(b);
    return first && second && *first < *second;
}

bool collection_copy::deleted_after(const stored_item& it) const
{
    const auto found = deleted_.find(it.name);
    if (found == deleted_.end())
        return false;
    const auto order = order_(it);
    return order && order <= order_(found->second);
}

bool collection_copy::is_deleted_state(const stored_item& it) const
{
    const auto found = deleted_.find(it.name);
    if (found == deleted_.end())
        return false;
    return deleted_after(it) || (!order_(it) && found->second.revision == it.revision &&
                                 found->second.content == it.content);
}

void collection_copy::insert(const stored_item& it)
{
    if (it.deleted) {
        if (const auto found = items_.find(it.name); found != items_.end()) {
            note_deleted(found->second);
            items_.erase(found);
        }
    } else {
        items_[it.name] = it;
        deleted_.erase(it.name);
    }
    newest_change_ = std::max(newest_change_, it.revision);
}

void collection_copy::note_deleted(const stored_item& it)
{
    if (deleted_.insert_or_assign(it.name, it).second)
        deletions_.push_back(it.name);
    while (deletions_.size() > max_kept_deletions) {
        deleted_.erase(deletions_.front());
        deletions_.pop_front();
    }
}

bool collection_copy::replace(const platform::collection_page& list)
{
    return replace(collection_update{0, list});
}

bool collection_copy::replace(const collection_update& full)
{
    const platform::collection_page& list = full.page;
    if (list.epoch < epoch_ || (list.epoch == epoch_ && list.revision < revision_))
        return false;
    const bool restored = complete() && list.epoch > epoch_;
    auto known = std::exchange(items_, {});
    const retained_map retained = std::exchange(retained_, {});
    if (restored)
        newest_change_ = 0;
    for (const stored_item& it : list.items) {
        const bool doubtful = restored || retained.contains(it.name);
        const auto before = known.extract(it.name);
        if (doubtful && !before.empty() && is_older(it, before.mapped())) {
            items_[it.name] = before.mapped();
            retained_[it.name] = it;
        } else if (doubtful && before.empty() && is_deleted_state(it)) {
            retained_[it.name] = it;
        } else {
            insert(it);
        }
        newest_change_ = std::max(newest_change_, it.revision);
    }
    for (const auto& [name, it] : known) {
        const auto missing = retained.find(name);
        if (restored || (missing != retained.end() && !missing->second)) {
            items_[name] = it;
            retained_[name] = std::nullopt;
        } else {
            note_deleted(it);
        }
    }
    epoch_ = list.epoch;
    revision_ = list.revision;
    changes_.clear();
    kept_change_bytes_ = 0;
    changes_begin_ = revision_;
    adopt_retained(full);
    return true;
}

void collection_copy::adopt_retained(const collection_update& full)
{
    if (full.retained.empty())
        return;
    for (const auto& [name, stored] : full.retained) {
        const auto own = items_.find(name);
        if (find(full.page.items, name) == nullptr && stored) {
            // The other host knows that the item was deleted.
            if (own != items_.end() && !is_older(*stored, own->second))
                items_.erase(own);
            if (!items_.contains(name))
                note_deleted(*stored);
        }
        if (stored || items_.contains(name))
            retained_[name] = stored;
    }
    // Retained items carry revisions of earlier epochs.
    newest_change_ = 0;
    for (const auto& [name, it] : items_) {
        if (!retained_.contains(name))
            newest_change_ = std::max(newest_change_, it.revision);
    }
    for (const auto& [name, stored] : retained_) {
        if (stored)
            newest_change_ = std::max(newest_change_, stored->revision);
    }
}

bool collection_copy::is_new(const stored_item& it) const
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

void collection_copy::record_change(const stored_item& it, std::uint64_t read_at)
{
    changes_.push_back({read_at, it});
    kept_change_bytes_ += size_of(it);
    while (changes_.size() > max_kept_changes || kept_change_bytes_ > max_kept_change_bytes) {
        changes_begin_ = changes_.front().read_at;
        kept_change_bytes_ -= size_of(changes_.front().item);
        changes_.pop_front();
    }
}

bool collection_copy::apply_to_retained(stored_item& it, std::uint64_t read_at)
{
    std::optional<stored_item>& stored = retained_.at(it.name);
    const auto own = items_.find(it.name);
    if (it.deleted) {
        if (!stored || stored->revision > it.revision)
            return false;
        if (it.revision == stored->revision)
            it.revision = read_at;
        const bool was_visible = own != items_.end();
        insert(it);
        retained_.erase(it.name);
        record_change(it, read_at);
        return was_visible;
    }
    if (it.revision <= revision_ || (stored && stored->revision >= it.revision))
        return false;
    record_change(it, read_at);
    const bool outdated = own != items_.end() ? is_older(it, own->second) : deleted_after(it);
    if (outdated) {
        stored = it;
        newest_change_ = std::max(newest_change_, it.revision);
        return false;
    }
    retained_.erase(it.name);
    insert(it);
    return true;
}

std::vector<stored_item> collection_copy::apply(const platform::collection_page& changes)
{
    std::vector<stored_item> out;
    // The store repeats changes if the copy has advanced by another host meanwhile.
    if (changes.epoch != epoch_ || changes.revision <= revision_)
        return out;
    for (stored_item it : changes.items) {
        if (retained_.contains(it.name)) {
            if (apply_to_retained(it, changes.revision))
                out.push_back(std::move(it));
            continue;
        }
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

std::optional<collection_update> collection_copy::since(std::uint64_t epoch,
                                                        std::uint64_t revision) const
{
    if (epoch > epoch_ || (epoch == epoch_ && revision >= revision_))
        return std::nullopt;
    collection_update out;
    out.page.epoch = epoch_;
    out.page.revision = revision_;
    if (epoch == epoch_ && revision != 0 && revision >= changes_begin_) {
        out.from = revision;
        for (const change& it : changes_) {
            if (it.read_at > revision)
                out.page.items.push_back(it.item);
        }
        return out;
    }
    out.page.items = list();
    for (const auto& [name, stored] : retained_)
        out.retained.push_back({name, stored});
    return out;
}

std::vector<stored_item> collection_copy::merge_retained(const collection_update& full)
{
    std::vector<stored_item> out;
    for (const auto& [name, stored] : full.retained) {
        if (retained_.contains(name))
            continue;
        const auto own = items_.find(name);
        const stored_item* theirs = find(full.page.items, name);
        if (theirs != nullptr && (own == items_.end() || is_older(own->second, *theirs))) {
            items_[name] = *theirs;
            retained_[name] = stored;
            out.push_back(*theirs);
        } else if (theirs == nullptr && stored && own != items_.end() &&
                   own->second.revision <= stored->revision) {
            note_deleted(own->second);
            items_.erase(own);
            retained_[name] = stored;
            out.push_back({name, stored->revision, true, ""});
        }
    }
    return out;
}

collection_copy::adoption collection_copy::adopt(const collection_update& update,
                                                 std::vector<stored_item>& changed)
{
    const bool newer = update.page.epoch > epoch_ ||
                       (update.page.epoch == epoch_ && update.page.revision > revision_);
    if (update.from == 0) {
        if (newer)
            return replace(update) ? adoption::replaced : adoption::ignored;
        if (update.page.epoch == epoch_)
            changed = merge_retained(update);
        return changed.empty() ? adoption::ignored : adoption::changed;
    }
    if (!newer || update.page.epoch != epoch_ || update.from != revision_)
        return adoption::ignored;
    changed = apply(update.page);
    return adoption::changed;
}

std::vector<stored_item> collection_copy::settle(settle_scope scope)
{
    std::vector<stored_item> out;
    for (auto it = retained_.begin(); it != retained_.end();) {
        const auto& [name, stored] = *it;
        if (stored && scope == settle_scope::missing) {
            ++it;
            continue;
        }
        if (stored) {
            items_[name] = *stored;
            deleted_.erase(name);
            out.push_back(*stored);
        } else {
            const auto own = items_.find(name);
            note_deleted(own->second);
            out.push_back({name, own->second.revision, true, ""});
            items_.erase(own);
        }
        it = retained_.erase(it);
    }
    return out;
}

} // namespace ebonywick
