// Partial sort of pointers to the records, so that only the selected ones are copied.
#include "routing/recordmerge.h"

#include <algorithm>
#include <cstring>

namespace ebonywick {

std::string merge_top_records(const std::vector<std::string_view>& parts, std::size_t count)
{
    std::vector<const char*> records;
    for (const std::string_view part : parts) {
        for (std::size_t at = 0; at + record_size <= part.size(); at += record_size)
            records.push_back(part.data() + at);
    }
    const std::size_t kept = std::min(count, records.size());
    std::partial_sort(
        records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(),
        [](const char* a, const char* b) { return std::memcmp(a, b, record_size) > 0; });
    std::string out;
    out.reserve(kept * record_size);
    for (std::size_t it = 0; it < kept; ++it)
        out.append(records[it], record_size);
    return out;
}

} // namespace ebonywick
