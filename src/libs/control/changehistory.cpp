// Finds out whether a stored state precedes or follows the known one.
#include "control/changehistory.h"

#include "control/objectcodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace ebonywick {

namespace {

constexpr char offset_mark = '+';

bool contains(const std::vector<std::string>& ids, const std::string& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

std::string make_change_id(std::string_view unique, object_version offset)
{
    return offset == 0 ? std::string{unique} : fmt::format("{}{}{}", unique, offset_mark, offset);
}

object_version offset_of(const std::vector<std::string>& change_ids)
{
    if (change_ids.empty())
        return 0;
    const std::string& newest = change_ids.front();
    const auto mark = newest.rfind(offset_mark);
    if (mark == std::string::npos)
        return 0;
    object_version out = 0;
    const char* last = newest.data() + newest.size();
    const auto [end, ec] = std::from_chars(newest.data() + mark + 1, last, out);
    return ec == std::errc{} && end == last ? out : 0;
}

object_version host_version(object_version stored, const std::vector<std::string>& change_ids)
{
    return stored == 0 ? 0 : stored + offset_of(change_ids);
}

std::vector<std::string> add_change_id(std::vector<std::string> base, std::string id)
{
    base.insert(base.begin(), std::move(id));
    if (base.size() > max_change_ids)
        base.resize(max_change_ids);
    return base;
}

history_action compare_histories(const object_history& known,
                                 const std::optional<object_history>& stored)
{
    if (known.version == 0) {
        if (!stored)
            return nothing_to_do{};
        return adopt_stored{host_version(stored->version, stored->change_ids)};
    }
    if (!stored)
        return write_known_again{0, known.version};
    const object_version version = host_version(stored->version, stored->change_ids);
    const bool comparable = !known.change_ids.empty() && !stored->change_ids.empty();
    const bool same = comparable && known.change_ids.front() == stored->change_ids.front();
    const bool precedes = comparable && !same &&
                          contains(known.change_ids, stored->change_ids.front()) &&
                          !contains(stored->change_ids, known.change_ids.front());
    if (precedes)
        return write_known_again{stored->version, known.version};
    if (version > known.version)
        return adopt_stored{version};
    if (version == known.version && (same || !comparable))
        return nothing_to_do{};
    return renumber_stored{stored->version, known.version};
}

} // namespace ebonywick
