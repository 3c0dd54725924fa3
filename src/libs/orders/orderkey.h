// Validation of the Idempotency-Key of an order.
#pragma once

#include "base/error.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace ebonywick {

inline constexpr std::size_t max_order_key_length = 200;

/// A valid key has 1 to max_order_key_length printable ASCII characters. Returns an
/// invalid_request error for any other key, and nothing for a valid one.
[[nodiscard]] std::optional<error> check_order_key(std::string_view key);

} // namespace ebonywick
