// Merge of the record lists that the shards return for a query.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ebonywick {

/// Size of a record in bytes.
inline constexpr std::size_t record_size = 16;

/// Returns the greatest `count` records of all parts in descending order, compared as unsigned
/// bytes. Duplicates are kept. A trailing fragment of a part that is shorter than a record is
/// ignored.
[[nodiscard]] std::string merge_top_records(const std::vector<std::string_view>& parts,
                                            std::size_t count);

} // namespace ebonywick
