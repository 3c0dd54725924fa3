// Tests of the local copy of a store collection, which is fed by the store and by other hosts.
#include "gateway/collectioncopy.h"
#include "gateway/storesnapshot.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using adoption = collection_copy::adoption;
using platform::stored_item;

namespace {

stored_item item(const char* name, std::uint64_t revision, const char* content = "1")
{
    return {name, revision, false, content};
}

stored_item deletion(const char* name, std::uint64_t revision)
{
    return {name, revision, true, ""};
}

/// A copy at revision 10 with the items `a` and `b`.
collection_copy listed_copy()
{
    collection_copy out;
    out.replace({{item("a", 3), item("b", 7)}, false, 10});
    return out;
}

adoption adopt(collection_copy& into, const collection_update& update)
{
    std::vector<stored_item> changed;
    return into.adopt(update, changed);
}

} // namespace

// Guards against an older list, such as a stale read or the state of a host that lags, that
// brings back an item which was withdrawn.
Test(collection_copy, older_state_is_ignored)
{
    collection_copy copy = listed_copy();
    copy.apply({{deletion("a", 12)}, false, 12});
    cr_assert(!copy.replace({{item("a", 3), item("b", 7)}, false, 11}));
    cr_assert(adopt(copy, {0, {{item("a", 3)}, false, 11}}) == adoption::ignored);
    cr_assert(adopt(copy, {0, {{item("a", 3)}, false, 12}}) == adoption::ignored);
    cr_assert(copy.items().size() == 1 && copy.revision() == 12);
}

// A watch of the store was sent before another host passed on newer changes. Guards against its
// late reply, which repeats older ones.
Test(collection_copy, late_events_do_not_undo_newer_changes)
{
    collection_copy copy = listed_copy();
    const collection_update newer{10, {{item("a", 11, "2"), deletion("b", 13)}, false, 13}};
    cr_assert(adopt(copy, newer) == adoption::changed);
    cr_assert(copy.apply({{item("a", 11, "2"), item("b", 12, "2")}, false, 12}).empty());
    cr_assert(copy.items().size() == 1 && copy.revision() == 13);
    // A reply that is newer on the whole starts with the same old changes.
    const auto changed =
        copy.apply({{item("b", 12, "2"), deletion("b", 13), item("a", 14, "3")}, false, 14});
    cr_assert(changed.size() == 1 && changed.front().name == "a");
    cr_assert(!copy.items().contains("b"));
}

// Guards against a deletion that is missed or that removes an object which was created again.
Test(collection_copy, deletions_apply_to_the_object_they_name)
{
    collection_copy copy = listed_copy();
    // The deletion carries the revision of the object's last change.
    const auto changed = copy.apply({{deletion("a", 3)}, false, 15});
    cr_assert(changed.size() == 1 && !copy.items().contains("a"));
    cr_assert(copy.newest_change() == 15);
    copy.apply({{item("b", 16)}, false, 16});
    cr_assert(copy.apply({{deletion("b", 7)}, false, 17}).empty());
    cr_assert(copy.items().contains("b"));
}

// Guards against changes from a host that start later than the copy ends, so that some are
// missing between.
Test(collection_copy, changes_must_start_where_the_copy_ends)
{
    collection_copy copy = listed_copy();
    cr_assert(adopt(copy, {12, {{item("c", 13)}, false, 13}}) == adoption::ignored);
    cr_assert(adopt(copy, {9, {{item("c", 13)}, false, 13}}) == adoption::ignored);
    cr_assert(copy.revision() == 10 && !copy.items().contains("c"));
}

// Guards against updates for other hosts that lack changes or deletions. Any host, however far
// behind, must end with the same items.
Test(collection_copy, updates_bring_any_host_up_to_date)
{
    collection_copy source = listed_copy();
    std::vector<collection_copy> followers{collection_copy{}, listed_copy()};
    for (std::uint64_t revision = 11; revision < 2000; ++revision) {
        const auto name = std::to_string(revision % 17);
        if (revision % 5 == 0)
            source.apply({{deletion(name.c_str(), revision)}, false, revision});
        else
            source.apply({{item(name.c_str(), revision)}, false, revision});
        if (revision % 100 == 0)
            followers.push_back(source);
    }
    for (collection_copy& it : followers) {
        if (const auto update = source.since(it.revision()))
            adopt(it, *update);
        cr_assert(it.items() == source.items());
        cr_assert(it.revision() == source.revision());
        cr_assert(!source.since(it.revision()));
    }
    // A host that is close behind gets the changes only.
    cr_assert(source.since(source.revision() - 1)->from != 0);
    cr_assert(source.since(source.revision() - 1)->page.items.size() == 1);
}

// Guards against messages between hosts that lose a field.
Test(store_snapshot, request_and_answer_survive_encoding)
{
    store_snapshot it;
    it.upstreams = collection_update{5, {{item("a", 6, R"({"x":1})"), deletion("b", 7)}, false, 8}};
    it.hosts = collection_update{0, {{item("h", 1)}, false, 9}};
    const std::string answer = encode_snapshot_answer(it, platform::connection_use::keep);
    cr_assert(decode_snapshot(answer.substr(answer.find("\r\n\r\n") + 4)) == it);
    cr_assert(!decode_snapshot("[]"));
    cr_assert(!decode_snapshot(R"({"hosts":{"revision":1}})"));
    const std::string request = encode_snapshot_request({"10.0.0.1", 80}, {1, 22, 333, 4444});
    const std::string target = request.substr(4, request.find(" HTTP") - 4);
    cr_assert(is_snapshot_target(target));
    cr_assert(decode_snapshot_target(target) == (applied_revisions{1, 22, 333, 4444}));
    cr_assert(decode_snapshot_target(snapshot_path) == applied_revisions{});
    cr_assert(!is_snapshot_target("/v1/statement"));
}
