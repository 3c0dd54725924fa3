// Tests of the merge of the shards' records.
#include "routing/recordmerge.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace ebonywick;

namespace {

std::string record(char first, char last)
{
    std::string out(record_size, 'm');
    out.front() = first;
    out.back() = last;
    return out;
}

} // namespace

// Guards against comparing bytes above 127 as negative numbers.
Test(record_merge, compares_unsigned_bytes)
{
    const std::string high = record('\xf0', 'a');
    const std::string low = record('\x10', 'z');
    cr_assert(merge_top_records({low, high}, 2) == high + low);
}

// Guards against removing duplicates.
Test(record_merge, duplicates_are_kept)
{
    const std::string same = record('a', 'a');
    cr_assert(merge_top_records({same, same}, 5) == same + same);
}

// Guards against taking an incomplete record at the end of a part for a whole one.
Test(record_merge, trailing_fragment_is_ignored)
{
    const std::string whole = record('a', 'a');
    cr_assert(merge_top_records({whole + "zzz"}, 5) == whole);
}

// Guards against results that differ from sorting all records.
Test(record_merge, equals_a_full_sort)
{
    const bool holds = rc::check([] {
        const auto parts = *rc::gen::container<std::vector<std::string>>(
            rc::gen::container<std::string>(rc::gen::inRange<char>(0, 4)));
        const auto count = *rc::gen::inRange<std::size_t>(0, 6);
        std::vector<std::string> records;
        for (const auto& part : parts) {
            for (std::size_t at = 0; at + record_size <= part.size(); at += record_size)
                records.push_back(part.substr(at, record_size));
        }
        std::sort(records.begin(), records.end(), std::greater<>{});
        std::string expected;
        for (std::size_t it = 0; it < std::min(count, records.size()); ++it)
            expected += records[it];
        RC_ASSERT(merge_top_records({parts.begin(), parts.end()}, count) == expected);
    });
    cr_assert(holds);
}
