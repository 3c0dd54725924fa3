// Bounded set of known revisions.
#include "gateway/revisionledger.h"

#include <iterator>

namespace ebonywick {

void revision_ledger::note_changes(std::uint64_t from, const platform::collection_page& changes)
{
    // A deletion may carry the revision of the object's last change instead of its own.
    std::uint64_t unnumbered = 0;
    for (const platform::stored_item& it : changes.items) {
        if (it.deleted && from == 0)
            continue;
        if (it.revision > from)
            known_.insert(it.revision);
        else if (it.deleted)
            ++unnumbered;
    }
    // The remaining revisions can only be those of the deletions.
    if (unnumbered != 0 && unknown_count(from, changes.revision) == unnumbered) {
        for (std::uint64_t it = from + 1; it <= changes.revision; ++it)
            known_.insert(it);
    }
    while (known_.size() > max_kept_revisions)
        known_.erase(known_.begin());
}

std::uint64_t revision_ledger::unknown_count(std::uint64_t from, std::uint64_t to) const
{
    if (to <= from)
        return 0;
    const auto known = std::distance(known_.upper_bound(from), known_.upper_bound(to));
    return to - from - static_cast<std::uint64_t>(known);
}

} // namespace ebonywick
