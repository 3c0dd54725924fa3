// Division of customers' quotas among the hosts by their demand. A host states how many requests of
// each customer with a quota it gets, and computes its own part from what the others state.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "peers/hostrecord.h"
#include "ratelimits/fleetshare.h"
#include "ratelimits/tokenbucket.h"
#include "routing/routing.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace ebonywick {

/// Requests of a customer that all hosts may run together in each sliding `window`:
/// (per_second * window + burst) * (1 + overage) + slack.
struct quota_bound
{
    duration window = std::chrono::seconds{5};
    double overage = 0.1;
    double slack = 20;

    auto operator<=>(const quota_bound&) const = default;
};

/// Quotas as seen by one host. Time is passed in and does not go back. Not thread-safe.
///
/// A part of a quota's rate, of the slack and of the burst are divided evenly among the hosts that
/// callers are told to use; the larger, the fewer requests a host gets. The rest follows the
/// demand: a host uses the lower one of the last two demands that it has sent, and for the others
/// the higher one of the last two that it has received. So a part that moves is given up before it
/// is taken, and the parts do not exceed the quota while no two messages in a row are lost.
class quota_shares
{
public:
    quota_shares(host_id self, quota_bound bound, time_point now);

    void set_bound(quota_bound bound) { bound_ = bound; }
    /// Customers of the configuration in force. Their buckets are kept, a customer that is gone
    /// loses its own.
    void set_customers(const std::vector<customer_policy>& customers, time_point now);
    /// Hosts that callers are told to use; to be called once in each exchange interval.
    void set_hosts(const sharing_hosts& hosts, time_point now);

    /// Takes a token of the customer; false if none is there. Also counts the demand. True for a
    /// customer without a quota.
    [[nodiscard]] bool take(const std::string& customer, time_point now);
    /// Gives back the token of a request that has not run and never will.
    void give_back(const std::string& customer, time_point now);
    /// Time until the customer has a token here, as far as is known now.
    [[nodiscard]] duration time_to_token(const std::string& customer, time_point now) const;

    /// What this host tells the others now, at most max_reported customers; those that do not fit
    /// are first the next time. Empty without demand.
    [[nodiscard]] std::vector<customer_demand> report(time_point now);
    /// Takes over what another host has told. An empty message says that the host is in contact.
    void reported(const host_id& from, const std::vector<customer_demand>& demand, time_point now);
    /// Hosts that have stated demand recently.
    [[nodiscard]] std::vector<host_id> demanding_hosts(time_point now) const;

    [[nodiscard]] static std::uint32_t key_of(const std::string& customer);
    /// Rate of this host's part, in requests per second, and capacity of its bucket.
    [[nodiscard]] double rate_of(const std::string& customer, time_point now);
    [[nodiscard]] double capacity_of(const std::string& customer, time_point now);

    static constexpr duration exchange_interval = std::chrono::milliseconds{300};
    /// 80 entries of at most 10 bytes and their lengths fit into 1,024 bytes.
    static constexpr std::size_t max_reported = 80;

private:
    // The last two values that were sent or received, the newer one first.
    struct recent_demand
    {
        std::array<std::uint32_t, 2> weights{};
        time_point updated_at{};

        void add(std::uint32_t weight, time_point now)
        {
            weights = {weight, weights[0]};
            updated_at = now;
        }
    };
    struct quota
    {
        double per_second = 0;
        double burst = 0;
        token_bucket bucket;
        // As of demand_at.
        double demand = 0;
        time_point demand_at{};
        recent_demand sent;
        std::map<host_id, recent_demand> others;
    };
    struct part
    {
        double per_second = 0;
        double capacity = 0;
    };

    // Hosts that may get requests, with this one.
    [[nodiscard]] double host_count() const;
    // Time in which a request's weight falls to 1/e.
    [[nodiscard]] double demand_memory_s(const quota& of) const;
    [[nodiscard]] double demand_at(const quota& it, time_point now) const;
    // Whether it has demand here or at other hosts.
    [[nodiscard]] bool is_active(const quota& it, time_point now) const;
    [[nodiscard]] part part_of(const quota& it, const std::string& name, time_point now) const;
    // Adapts the bucket to the part at `now`.
    void update(quota& it, const std::string& name, time_point now);
    // Hears a majority of the hosts that callers were told to use lately.
    [[nodiscard]] bool in_touch(time_point now) const;

    host_id self_;
    quota_bound bound_;
    time_point started_at_;
    fleet_share share_;
    // Hosts that callers are told to use, and those of earlier times that have stated demand, with
    // the time at which callers were last told to use them.
    std::map<host_id, time_point> known_hosts_;
    std::map<host_id, time_point> heard_at_;
    std::map<host_id, time_point> stated_demand_at_;
    // Further ones of which only the number is assumed.
    std::size_t assumed_hosts_ = 0;
    std::unordered_map<std::string, quota> quotas_;
    std::unordered_map<std::uint32_t, std::string> names_;
    // Customers with demand at this host or at others; all others cost nothing.
    std::set<std::string> active_;
    // The customer with which the next report begins.
    std::string next_reported_;
};

} // namespace ebonywick
