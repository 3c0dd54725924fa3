// Decaying counts of the requests of each customer, and the level of their fair shares.
#include "admission/customershares.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <numeric>
#include <vector>

namespace ebonywick {

namespace {

// Half-life of the counts. An overload lasts for seconds.
constexpr duration count_half_life = std::chrono::seconds{2};
// Interval at which the level is computed, which looks at all customers.
constexpr duration update_interval = std::chrono::milliseconds{100};
// A customer is starved below this part of the mean.
constexpr double starved_fraction = 0.25;
// Admitted requests above the level that do not matter, and count below which a customer is
// forgotten.
constexpr double tolerance = 1.0;
constexpr double forgotten_count = 0.01;

// Highest part of each customer, so that all of them together get `room`; no limit if there is room
// for all that they ask for.
double max_min_level(std::vector<double> offered, double room)
{
    std::sort(offered.begin(), offered.end());
    for (std::size_t it = 0; it < offered.size(); ++it) {
        const double part = room / static_cast<double>(offered.size() - it);
        if (offered[it] > part)
            return part;
        room -= offered[it];
    }
    return std::numeric_limits<double>::max();
}

} // namespace

void customer_shares::decay(counts& it, time_point now)
{
    const double half_lives =
        std::chrono::duration<double>(now - it.at) / std::chrono::duration<double>(count_half_life);
    const double factor = std::exp2(-half_lives);
    it.offered *= factor;
    it.admitted *= factor;
    it.at = now;
}

void customer_shares::update(priority_group& group, time_point now)
{
    if (now < group.next_update)
        return;
    group.next_update = now + update_interval;
    std::vector<double> offered;
    double room = 0.0;
    for (auto& [name, it] : group.customers) {
        decay(it, now);
        offered.push_back(it.offered);
        room += it.admitted;
    }
    std::erase_if(group.customers,
                  [](const auto& it) { return it.second.offered < forgotten_count; });
    group.mean = offered.empty() ? 0.0 : room / static_cast<double>(offered.size());
    group.level = max_min_level(std::move(offered), room);
}

void customer_shares::record_offered(const std::string& customer, std::uint32_t priority,
                                     time_point now)
{
    counts& it = groups_[priority].customers[customer];
    decay(it, now);
    it.offered += 1.0;
}

void customer_shares::record_admitted(const std::string& customer, std::uint32_t priority,
                                      time_point now)
{
    counts& it = groups_[priority].customers[customer];
    decay(it, now);
    it.admitted = std::min(it.offered, it.admitted + 1.0);
}

customer_share customer_shares::of(const std::string& customer, std::uint32_t priority,
                                   time_point now)
{
    const auto group = groups_.find(priority);
    if (group == groups_.end())
        return customer_share::within;
    update(group->second, now);
    const auto found = group->second.customers.find(customer);
    if (found == group->second.customers.end())
        return customer_share::within;
    counts& it = found->second;
    decay(it, now);
    if (it.admitted > group->second.level + tolerance)
        return customer_share::above;
    const bool refused = it.offered - it.admitted > tolerance;
    return refused && it.admitted < starved_fraction * group->second.mean ? customer_share::starved
                                                                          : customer_share::within;
}

std::size_t customer_shares::size() const
{
    return std::accumulate(
        groups_.begin(), groups_.end(), std::size_t{0},
        [](std::size_t sum, const auto& it) { return sum + it.second.customers.size(); });
}

} // namespace ebonywick
