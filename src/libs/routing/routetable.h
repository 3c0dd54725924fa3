// Index over one routing configuration.
#pragma once

#include "routing/routing.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace ebonywick {

/// Immutable; requests in progress share the table that they began with, so that all
/// parts of an answer come from one configuration version.
class route_table
{
public:
    explicit route_table(routing_configuration config);
    ~route_table() = default;
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;

    /// The route of `host` with the longest prefix that begins `path`; null if none.
    /// `host` may carry a port; `path` may carry a query.
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;
    /// Null if the service is not configured.
    [[nodiscard]] const service_policy* policy(const service_name& service) const;
    /// Some route sends requests to the service.
    [[nodiscard]] bool references(const service_name& service) const
    {
        return named_.contains(service);
    }
    /// What routes that share a service with `it` have in common, for decisions that
    /// concern the service's queues.
    struct competing_routes
    {
        // Shortest target latency of these routes.
        duration min_target_latency{};
        // Priority of the most urgent one.
        std::uint32_t most_urgent_priority = 0;

        auto operator<=>(const competing_routes&) const = default;
    };
    /// `it` must be a route of this table.
    [[nodiscard]] const competing_routes& competing_routes_of(const route& it) const
    {
        return sharing_[static_cast<std::size_t>(&it - config_.routes.data())];
    }
    [[nodiscard]] const routing_configuration& configuration() const { return config_; }

private:
    routing_configuration config_;
    // Routes of each lower-case host, longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> by_host_;
    std::unordered_map<service_name, const service_policy*> policies_;
    std::unordered_set<service_name> named_;
    // Indexed like the routes of the configuration.
    std::vector<competing_routes> sharing_;
};

using route_table_pointer = std::shared_ptr<const route_table>;

} // namespace ebonywick
