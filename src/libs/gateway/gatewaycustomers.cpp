// Customers: keys of requests, and what the configuration says of customers.
#include "gateway/gateway.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace ebonywick {

namespace {

constexpr int status_unauthorized = 401;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

} // namespace

key_trust gateway::key_trust_of(const gateway_settings& settings)
{
    return {settings.stale_keys == stale_key_policy::refuse, settings.key_max_age};
}

bool gateway::identify_customer(http_exchange& exchange,
                                const platform::caller_request_header& header, fan_out_plan& plan)
{
    const routing_configuration& config = routes_->configuration();
    if (!config.has_customers || plan.matched_route->is_public)
        return true;
    if (!key_freshness_.trusted(exchange.arrival())) {
        refuse(exchange, status_unavailable, "keys_may_be_outdated", header.id);
        return false;
    }
    const std::size_t found = keys_.find(header.key, key_secret_);
    if (found == key_table::no_customer) {
        refuse(exchange, status_unauthorized, header.key.empty() ? "key_missing" : "key_unknown",
               header.id);
        return false;
    }
    const customer_policy& customer = config.customers[found];
    plan.customer = customer.name;
    plan.priority = customer.priority.value_or(plan.priority);
    return true;
}

key_table gateway::take_keys(routing_configuration& from) const
{
    key_table out{from.customers, key_secret_};
    for (customer_policy& it : from.customers) {
        it.keys.clear();
        it.keys.shrink_to_fit();
    }
    return out;
}

void gateway::confirm_keys(time_point now)
{
    if (reads_newest_ && reads_store())
        key_freshness_.confirmed(now - configuration_watch_.reply_age());
}

void gateway::confirm_keys(const peer_message& by, time_point now)
{
    const bool reads =
        by.heartbeat.reads_store && (by.sent_at != time_point{} || by.answered_query != 0);
    const applied_revisions own = known();
    const bool newer = by.heartbeat.applied.epoch > own.epoch ||
                       (by.heartbeat.applied.epoch == own.epoch &&
                        by.heartbeat.applied.configuration > own.configuration);
    if (reads && !newer)
        key_freshness_.confirmed(now);
}

quota_bound gateway::quota_bound_of(const gateway_settings& settings)
{
    return {settings.quota_window, settings.quota_overage, settings.quota_slack};
}

bool gateway::within_quota(http_exchange& exchange, const std::string& id,
                           const std::string& customer)
{
    if (customer.empty())
        return true;
    const time_point now = timers_.now();
    const bool admitted = quotas_.take(customer, now);
    if (!std::exchange(exchanges_demand_, true))
        demand_timer_.set_after(quota_shares::exchange_interval);
    if (admitted)
        return true;
    log_.write(log_level::info, "quota_exceeded",
               {{"customer", customer},
                {"part_per_s", fmt::format("{:.3f}", quotas_.rate_of(customer, now))},
                {"part_burst", fmt::format("{:.2f}", quotas_.capacity_of(customer, now))}});
    refuse(exchange, status_too_many_requests, "quota_exceeded", id,
           quotas_.time_to_token(customer, now));
    return false;
}

void gateway::share_quotas(sharing_hosts calling, time_point now)
{
    // The list of hosts says that there is no other one.
    if (host_watch_.complete() && peers_.ids().empty())
        calling.unknown = 0;
    quotas_.set_hosts(calling, now);
}

void gateway::exchange_demand()
{
    const time_point now = timers_.now();
    const sharing_hosts calling = peers_.calling_hosts(now);
    peer_message message{.heartbeat = own_heartbeat()};
    message.customers = quotas_.report(now);
    exchanges_demand_ = !message.customers.empty();
    if (!exchanges_demand_)
        return;
    std::vector<host_id> to = quotas_.demanding_hosts(now);
    to.insert(to.end(), calling.known.begin(), calling.known.end());
    std::sort(to.begin(), to.end());
    to.erase(std::unique(to.begin(), to.end()), to.end());
    heartbeat_link_.send(message, peers_.heartbeat_addresses(to));
    demand_timer_.set_after(quota_shares::exchange_interval);
}

} // namespace ebonywick
