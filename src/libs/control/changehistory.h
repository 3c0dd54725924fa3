// Order of the states of a store object by their changes, independent of the store's version
// numbers, which go back if the store is restored from an older copy.
#pragma once

#include "base/identifiers.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ebonywick {

/// Returns the id of a change. `unique` is random text without a plus sign. `offset` is what the
/// version that hosts use exceeds the store's by; see host_version().
[[nodiscard]] std::string make_change_id(std::string_view unique, object_version offset);
/// Offset in the newest of the change ids; 0 if it states none.
[[nodiscard]] object_version offset_of(const std::vector<std::string>& change_ids);
/// Version by which hosts and operators order the states of an object that the store has at
/// version `stored`. Unlike the store's it never goes back: a state that is written again after a
/// restoration gets an offset that exceeds all earlier versions.
[[nodiscard]] object_version host_version(object_version stored,
                                          const std::vector<std::string>& change_ids);
/// `base` with the id of one more change; at most max_change_ids.
[[nodiscard]] std::vector<std::string> add_change_id(std::vector<std::string> base, std::string id);

/// Version and change ids of a state of an object.
struct object_history
{
    // The host_version() of a known state, the store's version of a stored one.
    object_version version = 0;
    // Newest first.
    std::vector<std::string> change_ids;

    auto operator<=>(const object_history&) const = default;
};

/// The stored state is newer and gets this version.
struct adopt_stored
{
    object_version version = 0;

    auto operator<=>(const adopt_stored&) const = default;
};

/// The store has lost changes. The known state has to be written on condition that the stored
/// version is `expected`; 0: that there is no object.
struct write_known_again
{
    object_version expected = 0;
    object_version offset = 0;

    auto operator<=>(const write_known_again&) const = default;
};

/// The stored state has to be written again with an offset, on condition that its version is
/// `expected`, because hosts would take it for an older one.
struct renumber_stored
{
    object_version expected = 0;
    object_version offset = 0;

    auto operator<=>(const renumber_stored&) const = default;
};

/// The stored state is the known one.
struct nothing_to_do
{
    auto operator<=>(const nothing_to_do&) const = default;
};

using history_action =
    std::variant<nothing_to_do, adopt_stored, write_known_again, renumber_stored>;

/// Compares the state that a host knows with the one that the store returned (nothing: the object
/// does not exist). The store's reply may also be a stale one; the conditions of the returned
/// writes are not met then.
[[nodiscard]] history_action compare_histories(const object_history& known,
                                               const std::optional<object_history>& stored);

} // namespace ebonywick
