// Tests of the account of the store's revisions.
#include "gateway/revisionledger.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

platform::collection_page page(std::uint64_t at, std::vector<platform::stored_item> changes)
{
    return {.items = std::move(changes), .revision = at};
}

} // namespace

// Guards against a missed change that is hidden by a later change of another collection.
Test(revision_ledger, unknown_revision_is_not_hidden_by_later_ones)
{
    revision_ledger ledger;
    ledger.note_changes(10, page(12, {{"a", 11, false, ""}, {"b", 12, false, ""}}));
    cr_assert(ledger.accounts_for(10, 12));
    cr_assert(!ledger.accounts_for(9, 12));
    ledger.note_changes(12, page(14, {{"a", 14, false, ""}}));
    cr_assert(!ledger.accounts_for(12, 14));
    cr_assert(ledger.accounts_for(13, 14));
    cr_assert(ledger.accounts_for(14, 14) && ledger.accounts_for(15, 14));
    ledger.clear();
    cr_assert(!ledger.accounts_for(10, 12));
}

// A deletion may carry an old revision. Guards against calls after each deletion, and against a
// revision that is taken for that of a deletion although it may belong to another collection.
Test(revision_ledger, deletions_without_a_revision_of_their_own)
{
    revision_ledger ledger;
    ledger.note_changes(10, page(12, {{"a", 3, true, ""}, {"b", 12, false, ""}}));
    cr_assert(ledger.accounts_for(10, 12));
    ledger.note_changes(12, page(14, {{"c", 4, true, ""}}));
    cr_assert(!ledger.accounts_for(12, 14));
    revision_ledger numbered;
    numbered.note_changes(10, page(11, {{"a", 11, true, ""}}));
    cr_assert(numbered.accounts_for(10, 11));
}

// Guards against memory that grows with each change.
Test(revision_ledger, is_bounded)
{
    revision_ledger ledger;
    for (std::uint64_t it = 1; it < 100'000; ++it)
        ledger.note_changes(it, page(it + 1, {{"a", it + 1, false, ""}}));
    cr_assert(ledger.accounts_for(99'900, 100'000));
    cr_assert(!ledger.accounts_for(1, 100'000));
}
