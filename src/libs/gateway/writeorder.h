// Order that the writers of an object give its states, independent of the store's revisions.
#pragma once

#include "platform/storecodec.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace ebonywick {

/// Of two states of an object the later one has the higher value, also if the store was restored
/// in between.
struct write_order
{
    // Start of the writer, if the object is written by the process that it describes; otherwise 0.
    std::uint64_t incarnation = 0;
    // Number of the write in this incarnation, or the version that an operator has given.
    std::uint64_t number = 0;

    auto operator<=>(const write_order&) const = default;
};

/// Nothing if the collection's objects state no order, or if the content cannot be decoded.
[[nodiscard]] std::optional<write_order> order_of(platform::store_collection collection,
                                                  const platform::stored_item& item);

} // namespace ebonywick
