// Decides how one conditional write of a store object ends, also when replies
// are lost, other operators write, or the store is down.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "store/objectstoreclient.h"

#include <string>
#include <variant>
#include <vector>

namespace ebonywick {

/// What the decision needs to know of the stored object. Version 0: absent.
struct object_state
{
    object_version version = 0;
    // Newest first.
    std::vector<std::string> change_ids;

    auto operator<=>(const object_state&) const = default;
};

struct read_failed
{
    std::string reason;

    auto operator<=>(const read_failed&) const = default;
};

using change_event = std::variant<put_result, object_state, read_failed>;

/// Write the changed object if the stored version is `expected`.
struct write_object
{
    object_version expected = 0;
    // Time to wait first.
    duration after{};

    auto operator<=>(const write_object&) const = default;
};

struct read_object
{
    duration after{};

    auto operator<=>(const read_object&) const = default;
};

struct change_accepted
{
    object_version version = 0;
    // Another change was accepted after this one.
    bool is_replaced = false;

    auto operator<=>(const change_accepted&) const = default;
};

/// Another change came first; nothing of this one was written.
struct change_conflict
{
    object_version current = 0;

    auto operator<=>(const change_conflict&) const = default;
};

/// The store did not take the change; nothing was written.
struct change_refused
{
    std::string reason;

    auto operator<=>(const change_refused&) const = default;
};

/// The change may have been written, or may still be.
struct change_unknown
{
    std::string reason;

    auto operator<=>(const change_unknown&) const = default;
};

using change_action = std::variant<write_object, read_object, change_accepted, change_conflict,
                                   change_refused, change_unknown>;

/// One change with its change id, derived from the state `base`. start() yields
/// the first action; each event yields the next one, until one of the four
/// outcomes ends the sequence. Not thread-safe.
class change_sequence
{
public:
    change_sequence(std::string change_id, object_state base);

    [[nodiscard]] change_action start() const;
    [[nodiscard]] change_action handle(const change_event& event);

    /// Reads and writes that follow a failed one, together.
    static constexpr int most_repeats = 5;
    /// Long enough for a store that is being restarted within the five repeats.
    static constexpr duration repeat_delay = std::chrono::milliseconds{200};

private:
    [[nodiscard]] change_action on(const put_result& result);
    [[nodiscard]] change_action on(const object_state& current);
    [[nodiscard]] change_action on(const read_failed& failure);

    std::string change_id_;
    object_state base_;
    // True once a write had no reply: it may take effect at any later time as
    // long as the object keeps the version of base_.
    bool may_be_written_ = false;
    // Newest version that the store has named. Reads below it are stale.
    object_version newest_known_ = 0;
    int repeats_ = 0;
};

} // namespace ebonywick
