// Changes of the store objects on behalf of an operator.
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

enum class change_status {
    accepted,
    // The stored object equals the wanted one already.
    unchanged,
    // Another operator's change came first.
    conflict,
    invalid,
    // The store did not take the change; nothing was written.
    unavailable,
    // The change may have been written.
    unknown,
};

struct change_report
{
    change_status status = change_status::unavailable;
    // Version after the change; in a conflict, the version of the other change.
    object_version version = 0;
    // What happened and what to do about it; empty if accepted.
    std::string message;
};

template <class Object>
struct read_object_result
{
    // 0: the object does not exist.
    object_version version = 0;
    Object object;
};

/// Blocking. `print` receives lines for the operator.
class operator_session
{
public:
    operator_session(object_store_client& store, duration host_timeout,
                     std::function<void(const std::string&)> print,
                     std::function<void(duration)> sleep);

    [[nodiscard]] std::variant<read_object_result<config_object>, error> read_config();
    [[nodiscard]] std::variant<read_object_result<roster_object>, error> read_roster();

    /// Replaces the configuration. With `base`, only if the stored version is
    /// `base`, which the declaration was derived from.
    change_report apply(const configuration& wanted, std::optional<object_version> base);
    change_report switch_preset(const preset_name& preset);
    /// Appoints witnesses from the hosts that answer, without the consent of the
    /// former ones.
    change_report replace_witnesses();

private:
    template <class Object>
    change_report change(const char* key, const char* kind, read_object_result<Object> current,
                         Object wanted, const std::vector<roster_host>& hosts);
    change_report apply_to(read_object_result<config_object> current, const configuration& wanted);

    object_store_client& store_;
    duration host_timeout_;
    std::function<void(const std::string&)> print_;
    std::function<void(duration)> sleep_;
};

} // namespace ebonywick
