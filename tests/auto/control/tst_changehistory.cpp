// Tests of the order of store objects by their changes, which decides what hosts do with an object
// of a store that was restored from an older copy.
#include "control/changehistory.h"
#include "control/objectcodec.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

const object_history known{9, {"c", "b", "a"}};

history_action compare(object_version version, const std::vector<std::string>& ids)
{
    return compare_histories(known, object_history{version, ids});
}

} // namespace

// Guards against a host that ignores a newer object or takes over the one that it has again.
Test(change_history, newer_objects_are_adopted)
{
    cr_assert((compare(12, {"d", "c", "b", "a"}) == history_action{adopt_stored{12}}));
    cr_assert((compare(9, {"c", "b", "a"}) == history_action{nothing_to_do{}}));
    // More changes than an object shows.
    cr_assert((compare(40, {"z", "y"}) == history_action{adopt_stored{40}}));
    cr_assert((compare_histories({}, object_history{3, {"a"}}) == history_action{adopt_stored{3}}));
    cr_assert((compare_histories({}, std::nullopt) == history_action{nothing_to_do{}}));
}

// The store was restored from a copy that lacks accepted changes. Guards against hosts that forget
// them, and against an object that stays away.
Test(change_history, lost_changes_are_written_again)
{
    cr_assert((compare(7, {"b", "a"}) == history_action{write_known_again{7, 9}}));
    // A store that was filled from a copy by hand gives out other versions.
    cr_assert((compare(30, {"a"}) == history_action{write_known_again{30, 9}}));
    cr_assert((compare_histories(known, std::nullopt) == history_action{write_known_again{0, 9}}));
}

// An operator has changed a restored store. Guards against an accepted change that is never in
// force, because its version has been given out before.
Test(change_history, changes_of_a_restored_store_come_into_force)
{
    for (const object_version version : {object_version{8}, object_version{9}}) {
        cr_assert(compare(version, {"x", "b", "a"}) ==
                  (history_action{renumber_stored{version, 9}}));
        cr_assert((compare(version, {"x"}) == history_action{renumber_stored{version, 9}}));
    }
    // A tool of an earlier release does not carry the offset on.
    const object_history lifted{109, {"c+100", "b"}};
    cr_assert(compare_histories(lifted, object_history{12, {"d", "c+100", "b"}}) ==
              (history_action{renumber_stored{12, 109}}));
    cr_assert(compare_histories(lifted, object_history{12, {"d+100", "c+100", "b"}}) ==
              (history_action{adopt_stored{112}}));
}

// Guards against a version for hosts that goes back with the store's version.
Test(change_history, offsets_make_versions_rise)
{
    cr_assert(offset_of({}) == 0 && offset_of({"plain-id"}) == 0 && offset_of({"x+1y"}) == 0);
    const auto id = make_change_id("host-1f", 9);
    cr_assert(offset_of({id, "older+500"}) == 9 && make_change_id("q", 0) == "q");
    cr_assert(host_version(2, {id}) == 11 && host_version(0, {id}) == 0);
    std::vector<std::string> ids;
    for (std::size_t it = 0; it < max_change_ids + 2; ++it)
        ids = add_change_id(ids, std::to_string(it));
    cr_assert(ids.size() == max_change_ids && ids.front() == std::to_string(max_change_ids + 1));
    // Two restorations in a row.
    const object_history once{host_version(3, {make_change_id("r", 9)}), {"r+9", "c"}};
    const auto again = compare_histories(once, object_history{2, {"b", "a"}});
    cr_assert((again == history_action{renumber_stored{2, 12}}));
}
