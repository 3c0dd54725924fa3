// Computes until when a majority of monitors has granted.
#include "membership/majoritygrant.h"

#include <algorithm>
#include <functional>

namespace ebonywick {

void majority_grant::set_monitors(const std::vector<host_id>& monitors)
{
    monitors_ = monitors;
    std::erase_if(grants_, [&](const auto& it) {
        return std::find(monitors_.begin(), monitors_.end(), it.first) == monitors_.end();
    });
}

void majority_grant::grant(const host_id& monitor, time_point until)
{
    if (std::find(monitors_.begin(), monitors_.end(), monitor) == monitors_.end())
        return;
    time_point& known = grants_[monitor];
    known = std::max(known, until);
}

void majority_grant::clear()
{
    grants_.clear();
}

time_point majority_grant::until() const
{
    const std::size_t needed = monitors_.size() / 2 + 1;
    if (monitors_.empty() || grants_.size() < needed)
        return time_point{};
    std::vector<time_point> ends;
    for (const auto& [monitor, end] : grants_)
        ends.push_back(end);
    std::sort(ends.begin(), ends.end(), std::greater<>{});
    return ends[needed - 1];
}

} // namespace ebonywick
