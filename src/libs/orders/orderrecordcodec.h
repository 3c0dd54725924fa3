// JSON encoding of the store objects `ebonywick/orders/HASH`.
#pragma once

#include "base/error.h"
#include "orders/ordercoordinator.h"

#include <string>

namespace ebonywick {

[[nodiscard]] std::string encode(const order_record& record);
/// Fails with error_kind::invalid_declaration.
[[nodiscard]] result<order_record> decode_order_record(const std::string& text);

} // namespace ebonywick
