// Reads and changes the store objects on behalf of an operator.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "control/objectcodec.h"
#include "operatorclient/hostclient.h"
#include "store/objectstoreclient.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ebonywick {

/// Outcome of a change.
enum class change_status {
    accepted,
    // The stored object already equals the requested one.
    unchanged,
    // Another operator's change was written first.
    conflict,
    // The change breaks a rule or cannot be made; nothing was written.
    invalid,
    // The store did not accept the change; nothing was written.
    unavailable,
    // The change may have been written.
    unknown,
};

struct change_report
{
    change_status status = change_status::unavailable;
    // Version after the change; in a conflict, the version of the other change.
    object_version version = 0;
    // The failure and its remedy; empty if accepted or unchanged.
    std::string message;
};

/// A store object and its version.
template <class Object>
struct versioned_object
{
    // The host_version(); 0: the object does not exist.
    object_version version = 0;
    Object object;
};

/// Reads and changes the configuration and the roster. All functions block. Accepted changes
/// are also pushed to the hosts.
class operator_session
{
public:
    /// `store` must outlive the session. `host_timeout` limits each call to a host, `print`
    /// receives lines for the operator, and `sleep` waits between repeated calls to the store.
    operator_session(object_store_client& store, duration host_timeout,
                     std::function<void(const std::string&)> print,
                     std::function<void(duration)> sleep);

    [[nodiscard]] std::variant<versioned_object<config_object>, error> read_config();
    [[nodiscard]] std::variant<versioned_object<roster_object>, error> read_roster();

    /// Replaces the configuration. If `base` is given, the stored version must be `base`, the
    /// version that `wanted` was derived from; otherwise the change is a conflict.
    change_report apply(const configuration& wanted, std::optional<object_version> base);
    /// Puts the declared preset in force.
    change_report switch_preset(const preset_name& preset);
    /// Appoints witnesses among the hosts that answer, without the consent of the previous
    /// witnesses. For use after the permanent loss of their majority.
    change_report replace_witnesses();

private:
    // Writes `wanted` on condition that `current` is still stored, then pushes it to `hosts`.
    template <class Object>
    change_report change(const char* key, const char* kind, versioned_object<Object> current,
                         Object wanted, const std::vector<roster_host>& hosts);
    // Reads the configuration. If hosts know a newer one, waits for them to write it again: a
    // change that is derived from an older one would undo what they have accepted.
    [[nodiscard]] std::variant<versioned_object<config_object>, error> read_config_to_change();
    // Validates `wanted` and prints its differences to `current`, then writes it.
    change_report apply_to(versioned_object<config_object> current, const configuration& wanted);

    object_store_client& store_;
    duration host_timeout_;
    std::function<void(const std::string&)> print_;
    std::function<void(duration)> sleep_;
};

} // namespace ebonywick
