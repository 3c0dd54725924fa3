// Merge of the record lists that the shards of a query return.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ebonywick {

inline constexpr std::size_t record_bytes = 16;

/// The greatest `count` records of all parts, greatest first, compared byte by byte.
/// Equal records all count. A remainder of a part that is shorter than a record is
/// ignored.
[[nodiscard]] std::string merge_top_records(const std::vector<std::string_view>& parts,
                                            std::size_t count);

} // namespace ebonywick
