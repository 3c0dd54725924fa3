// Lookup of routes and policies in one version of the routing configuration.
#pragma once

#include "routing/routing.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace ebonywick {

/// Immutable. A request keeps the table that it started with, so that its whole answer follows
/// one version of the configuration.
class route_table
{
public:
    explicit route_table(routing_configuration config);
    ~route_table() = default;
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;

    /// Returns the route of `host` whose path prefix is the longest that matches `path`; null if
    /// none does. `host` may contain a port and `path` a query string; both are ignored. The
    /// route belongs to this table.
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;
    /// Null if the service is not configured.
    [[nodiscard]] const service_policy* policy(const service_name& service) const;
    /// True if a route sends requests to the service.
    [[nodiscard]] bool references(const service_name& service) const
    {
        return referenced_services_.contains(service);
    }
    /// Strictest requirements of a route and of all routes that share a service with it. They
    /// compete for the same queues.
    struct strictest_requirements
    {
        // Shortest target latency.
        duration min_target_latency{};
        // Smallest priority value.
        std::uint32_t most_urgent_priority = 0;

        auto operator<=>(const strictest_requirements&) const = default;
    };
    /// `it` must be a route of this table.
    [[nodiscard]] const strictest_requirements& strictest_requirements_of(const route& it) const
    {
        return strictest_requirements_[static_cast<std::size_t>(&it - config_.routes.data())];
    }
    [[nodiscard]] const routing_configuration& configuration() const { return config_; }

private:
    routing_configuration config_;
    // Routes of each lower-case host, longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> by_host_;
    std::unordered_map<service_name, const service_policy*> policies_;
    std::unordered_set<service_name> referenced_services_;
    // By index into config_.routes.
    std::vector<strictest_requirements> strictest_requirements_;
};

using route_table_pointer = std::shared_ptr<const route_table>;

} // namespace ebonywick
