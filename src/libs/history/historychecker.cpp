// Runs the checks of all subjects and collects their violations.
#include "history/historychecker.h"

#include <algorithm>
#include <iterator>

namespace ebonywick::history {

std::vector<violation> check_history(std::vector<record> records)
{
    std::stable_sort(records.begin(), records.end(),
                     [](const record& a, const record& b) { return a.time < b.time; });
    std::vector<violation> all;
    for (const auto check : {check_requests, check_upstreams, check_orders, check_hosts}) {
        auto found = check(records);
        std::move(found.begin(), found.end(), std::back_inserter(all));
    }
    return all;
}

} // namespace ebonywick::history
