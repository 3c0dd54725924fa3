// Fair shares of the room at the upstreams between customers.
#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace ebonywick {

/// How the requests of a customer that were admitted recently compare with its fair share.
enum class customer_share : std::uint8_t {
    // Below a quarter of the mean of all customers, although some of its requests were refused.
    starved,
    within,
    above,
};

/// Max-min fair shares between the customers of one priority at one host: who asks for less than
/// an equal part gets it, and the others divide the rest equally. Requests count with an
/// exponential decay. Repeated requests of a customer do not raise its share. Not thread-safe.
class customer_shares
{
public:
    /// A request of `customer` has arrived. It counts as refused unless record_admitted() follows.
    void record_offered(const std::string& customer, std::uint32_t priority, time_point now);
    void record_admitted(const std::string& customer, std::uint32_t priority, time_point now);
    /// `within` for an unknown customer, and for all as long as no request is refused.
    [[nodiscard]] customer_share of(const std::string& customer, std::uint32_t priority,
                                    time_point now);
    /// Customers with recent requests.
    [[nodiscard]] std::size_t size() const;

private:
    // As of `at`.
    struct counts
    {
        double offered = 0.0;
        // At most `offered`.
        double admitted = 0.0;
        time_point at{};
    };
    struct priority_group
    {
        std::unordered_map<std::string, counts> customers;
        // Most admitted requests within the fair share, and mean of the admitted requests.
        double level = 0.0;
        double mean = 0.0;
        time_point next_update{};
    };

    static void decay(counts& it, time_point now);
    static void update(priority_group& group, time_point now);

    std::map<std::uint32_t, priority_group> groups_;
};

} // namespace ebonywick
