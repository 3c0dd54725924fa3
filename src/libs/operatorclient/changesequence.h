// State machine of one conditional write of a store object. It determines the outcome also if
// replies are lost, other operators write, or the store is down.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "store/objectstoreclient.h"

#include <string>
#include <variant>
#include <vector>

namespace ebonywick {

/// Version and change ids of the stored object. Version 0: the object does not exist.
struct object_state
{
    object_version version = 0;
    // Ids of the latest changes, newest first; at most max_change_ids.
    std::vector<std::string> change_ids;

    auto operator<=>(const object_state&) const = default;
};

/// The object could not be read.
struct read_failed
{
    std::string reason;

    auto operator<=>(const read_failed&) const = default;
};

using change_event = std::variant<put_result, object_state, read_failed>;

/// Write the changed object on condition that the stored version is `expected`.
struct write_object
{
    object_version expected = 0;
    // Time to wait before the write.
    duration delay{};

    auto operator<=>(const write_object&) const = default;
};

/// Read the object and its change ids.
struct read_object
{
    // Time to wait before the read.
    duration delay{};

    auto operator<=>(const read_object&) const = default;
};

/// The change was written.
struct change_accepted
{
    // Version of the stored object; that of a later change if superseded.
    object_version version = 0;
    // Another change was accepted after this one.
    bool is_superseded = false;

    auto operator<=>(const change_accepted&) const = default;
};

/// Another change was written first; this one was not written.
struct change_conflict
{
    // Version of the other change or of a later one.
    object_version current = 0;

    auto operator<=>(const change_conflict&) const = default;
};

/// The store did not accept the change; nothing was written.
struct change_refused
{
    std::string reason;

    auto operator<=>(const change_refused&) const = default;
};

/// The change may have been written or may still take effect.
struct change_unknown
{
    std::string reason;

    auto operator<=>(const change_unknown&) const = default;
};

using change_action = std::variant<write_object, read_object, change_accepted, change_conflict,
                                   change_refused, change_unknown>;

/// One change, identified by its change id and derived from the state `base` of the object.
/// start() returns the first action. The caller performs each action and passes its result to
/// handle(), which returns the next one, until an action is one of the four outcomes
/// (change_*). Not thread-safe.
class change_sequence
{
public:
    change_sequence(std::string change_id, object_state base);

    [[nodiscard]] change_action start() const;
    [[nodiscard]] change_action handle(const change_event& event);

    /// Maximum number of repeated reads and writes in total.
    static constexpr int max_retries = 5;
    /// The five retries together last long enough for a restart of the store.
    static constexpr duration retry_delay = std::chrono::milliseconds{200};

private:
    [[nodiscard]] change_action on(const put_result& result);
    [[nodiscard]] change_action on(const object_state& current);
    [[nodiscard]] change_action on(const read_failed& failure);

    std::string change_id_;
    // The state that the change was derived from.
    object_state base_state_;
    // True once a write had no reply. It may take effect at any later time, as long as the
    // object has the version of base_state_.
    bool write_may_take_effect_ = false;
    // Newest version in the store's replies. A read that returns an older one is stale.
    object_version newest_version_ = 0;
    int retries_ = 0;
};

} // namespace ebonywick
