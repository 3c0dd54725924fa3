// Rules for the Idempotency-Key of an order.
#pragma once

#include "base/error.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace ebonywick {

inline constexpr std::size_t longest_order_key = 200;

/// The key has 1 to 200 printable ASCII characters; otherwise what is wrong with
/// it, as invalid_request.
[[nodiscard]] std::optional<error> check_order_key(std::string_view key);

} // namespace ebonywick
