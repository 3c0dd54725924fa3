// Construction of the route index, and the longest-prefix search.
#include "routing/routetable.h"

#include <algorithm>
#include <cctype>
#include <cmath>

namespace ebonywick {

namespace {

std::string to_lower_case(std::string_view text)
{
    std::string out{text};
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char ch) { return static_cast<char>(std::tolower(ch)); });
    return out;
}

template <class Visit>
void for_each_service(const route& of, Visit visit)
{
    if (const auto* set = std::get_if<shard_set>(&of.target)) {
        for (const service_name& it : set->shards)
            visit(it);
        return;
    }
    for (const weighted_service& it : std::get<service_choice>(of.target).services)
        visit(it.service);
}

std::string_view strip_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

std::size_t shard_set::required_shards() const
{
    // Many ratios have no exact binary form, so that the product may exceed a whole number:
    // 0.14 of 50 shards would require 8 of them without the tolerance.
    constexpr double tolerance = 1e-9;
    const auto needed = std::ceil(min_shard_ratio * static_cast<double>(shards.size()) - tolerance);
    return std::max<std::size_t>(1, static_cast<std::size_t>(needed));
}

route_table::route_table(routing_configuration config) : config_(std::move(config))
{
    for (const route& it : config_.routes)
        by_host_[to_lower_case(it.host)].push_back(&it);
    for (auto& [host, routes] : by_host_) {
        std::stable_sort(routes.begin(), routes.end(), [](const route* a, const route* b) {
            return a->path_prefix.size() > b->path_prefix.size();
        });
    }
    for (const service_policy& it : config_.services)
        policies_.emplace(it.name, &it);

    std::unordered_map<service_name, strictest_requirements> by_service;
    for (const route& of : config_.routes) {
        for_each_service(of, [&](const service_name& service) {
            referenced_services_.insert(service);
            const auto [at, added] = by_service.try_emplace(
                service, strictest_requirements{of.target_latency, of.priority});
            at->second.min_target_latency =
                std::min(at->second.min_target_latency, of.target_latency);
            at->second.most_urgent_priority =
                std::min(at->second.most_urgent_priority, of.priority);
        });
    }
    for (const route& of : config_.routes) {
        strictest_requirements& all = strictest_requirements_.emplace_back(
            strictest_requirements{of.target_latency, of.priority});
        for_each_service(of, [&](const service_name& service) {
            const strictest_requirements& it = by_service.at(service);
            all.min_target_latency = std::min(all.min_target_latency, it.min_target_latency);
            all.most_urgent_priority = std::min(all.most_urgent_priority, it.most_urgent_priority);
        });
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = by_host_.find(to_lower_case(strip_port(host)));
    if (found == by_host_.end())
        return nullptr;
    const std::string_view path_without_query = path.substr(0, path.find('?'));
    for (const route* it : found->second) {
        if (path_without_query.starts_with(it->path_prefix))
            return it;
    }
    return nullptr;
}

const service_policy* route_table::policy(const service_name& service) const
{
    const auto found = policies_.find(service);
    return found == policies_.end() ? nullptr : found->second;
}

} // namespace ebonywick
