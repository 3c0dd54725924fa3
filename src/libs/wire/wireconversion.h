// Conversion between serialized protobuf messages and plain structs.
#pragma once

#include "base/error.h"
#include "membership/membershipagent.h"
#include "wire/dispatchmessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace ebonywick {

/// Serializes a message; `from` is the sending host. The member `from` of the message
/// is not used.
[[nodiscard]] std::string encode_control(const host_id& from, const control_message& message);
/// Empty if the bytes are not a valid message.
[[nodiscard]] std::optional<control_message> decode_control(std::string_view bytes);

/// A decoded message with its sender.
struct received_dispatch
{
    host_id from;
    incarnation_number incarnation = 0;
    dispatch_message message;

    auto operator<=>(const received_dispatch&) const = default;
};

/// Serializes a message; `from` and `incarnation` are those of the sending host.
[[nodiscard]] std::string encode_dispatch(const host_id& from, incarnation_number incarnation,
                                          const dispatch_message& message);
/// Empty if the bytes are not a valid message.
[[nodiscard]] std::optional<received_dispatch> decode_dispatch(std::string_view bytes);

} // namespace ebonywick
