// Validation of an Idempotency-Key, and the store key that is derived from it.
#include "orders/orderkey.h"

#include "base/hashing.h"
#include "orders/ordercoordinator.h"

#include <fmt/format.h>

#include <algorithm>

namespace ebonywick {

std::optional<error> check_order_key(std::string_view key)
{
    if (key.empty() || key.size() > max_order_key_length) {
        return make_error(error_kind::invalid_request,
                          fmt::format("Idempotency-Key has {} characters; 1 to {} are allowed",
                                      key.size(), max_order_key_length));
    }
    const bool printable =
        std::all_of(key.begin(), key.end(), [](char it) { return it >= ' ' && it <= '~'; });
    if (!printable) {
        return make_error(error_kind::invalid_request,
                          "Idempotency-Key has a character that is not printable ASCII");
    }
    return std::nullopt;
}

std::string order_record_key(const service_name& service, const std::string& key)
{
    // A service name contains no NUL, so different pairs give different texts.
    const std::string text = service.value() + '\0' + key;
    return fmt::format("ebonywick/orders/{:016x}{:016x}", stable_hash(text, 0),
                       stable_hash(text, 1));
}

} // namespace ebonywick
