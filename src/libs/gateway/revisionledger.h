// Which revisions of the store belong to changes that this host knows.
#pragma once

#include "platform/storecodec.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace ebonywick {

/// A reply for one collection states the newest revision of the whole store. If all revisions up to
/// it belong to known changes of any collection, no collection has missed a change; if not, the
/// others have to be read. Revisions of one epoch of the store; not thread-safe.
class revision_ledger
{
public:
    /// A watch from the revision `from` has returned these changes. 0: they are a complete state,
    /// or come from another host, whose deletions may have other revisions than in the store.
    void note_changes(std::uint64_t from, const platform::collection_page& changes);
    /// Whether each revision after `from`, up to and including `to`, belongs to a known change.
    [[nodiscard]] bool accounts_for(std::uint64_t from, std::uint64_t to) const
    {
        return unknown_count(from, to) == 0;
    }
    /// The store has begun a new epoch, whose revisions begin anew.
    void clear() { known_.clear(); }

private:
    static constexpr std::size_t max_kept_revisions = 512;

    [[nodiscard]] std::uint64_t unknown_count(std::uint64_t from, std::uint64_t to) const;

    // The newest ones.
    std::set<std::uint64_t> known_;
};

} // namespace ebonywick
