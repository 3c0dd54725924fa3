// Parts of quotas, and the demand from which they are computed.
#include "customers/quotashares.h"

#include "base/hashing.h"

#include <algorithm>
#include <cmath>

namespace ebonywick {

namespace {

using std::chrono::seconds;

// Part of the tolerance that is used, so that the bound holds although views differ by a message.
constexpr double used_tolerance = 0.85;
// Part of the rate that is divided evenly: for quotas of many requests a host, whose demand is well
// known, and for those of few, which a host often does not see within the memory of demand.
constexpr double even_rate_ratio = 0.1;
constexpr double max_even_rate_ratio = 0.3;
// The same of the burst; more if each host can have one token by that, up to max_even_ratio.
constexpr double even_burst_ratio = 0.25;
constexpr double max_even_ratio = 0.6;
// A request counts for 1/e of the demand after this time: longer than the gaps between the requests
// that a host gets of the customer, and otherwise shorter than callers take to move to another
// host.
constexpr double min_demand_memory_s = 4.0;
constexpr double max_demand_memory_s = 20.0;
constexpr double remembered_requests = 2.0;
constexpr double weight_unit = 16.0;
// A host that hears no majority for this time keeps only its even part.
constexpr duration contact_timeout = seconds{4};
// The demand of a silent host counts for this time: it gives up its part after contact_timeout,
// and its last requests have then left the window.
constexpr duration silent_retention = seconds{10};
// For this time a host that has stated demand counts for majorities, although callers are no longer
// told to use it.
constexpr duration host_memory = std::chrono::minutes{10};

} // namespace

quota_shares::quota_shares(host_id self, quota_bound bound, time_point now)
    : self_(self), bound_(bound), started_at_(now), share_(std::move(self))
{
}

std::uint32_t quota_shares::key_of(const std::string& customer)
{
    return static_cast<std::uint32_t>(stable_hash(customer));
}

void quota_shares::set_customers(const std::vector<customer_policy>& customers, time_point now)
{
    std::unordered_map<std::string, quota> kept;
    names_.clear();
    for (const customer_policy& it : customers) {
        if (it.per_second <= 0)
            continue;
        quota& to = kept[it.name];
        if (const auto found = quotas_.find(it.name); found != quotas_.end())
            to = std::move(found->second);
        to.per_second = it.per_second;
        to.burst = it.burst;
        names_[key_of(it.name)] = it.name;
    }
    quotas_ = std::move(kept);
    for (auto& [name, it] : quotas_)
        update(it, name, now);
}

void quota_shares::set_hosts(const sharing_hosts& hosts, time_point now)
{
    assumed_hosts_ = hosts.unknown;
    for (const host_id& it : hosts.known) {
        if (it != self_)
            known_hosts_[it] = now;
    }
    std::erase_if(heard_at_, [&](const auto& it) { return now - it.second > host_memory; });
    std::erase_if(stated_demand_at_, [&](const auto& it) { return now - it.second > host_memory; });
    std::erase_if(known_hosts_, [&](const auto& it) {
        return it.second != now && !stated_demand_at_.contains(it.first);
    });
    // Hosts that are forgotten early would leave their part to each side of a partition.
    sharing_hosts remembered{{}, hosts.unknown};
    if (std::find(hosts.known.begin(), hosts.known.end(), self_) != hosts.known.end())
        remembered.known.push_back(self_);
    for (const auto& [id, last] : known_hosts_)
        remembered.known.push_back(id);
    share_.set_hosts(std::move(remembered));
}

bool quota_shares::in_touch(time_point now) const
{
    const auto heard = std::count_if(known_hosts_.begin(), known_hosts_.end(), [&](const auto& it) {
        const auto found = heard_at_.find(it.first);
        return found != heard_at_.end() && now - found->second <= contact_timeout;
    });
    // This host counts for itself.
    return static_cast<std::size_t>(heard + 1) * 2 > known_hosts_.size() + 1 + assumed_hosts_;
}

double quota_shares::host_count() const
{
    return static_cast<double>(known_hosts_.size() + assumed_hosts_ + 1);
}

double quota_shares::demand_memory_s(const quota& of) const
{
    return std::clamp(remembered_requests * host_count() / of.per_second, min_demand_memory_s,
                      max_demand_memory_s);
}

double quota_shares::demand_at(const quota& it, time_point now) const
{
    const double age = std::chrono::duration<double>(now - it.demand_at).count();
    return it.demand * std::exp(-age / demand_memory_s(it));
}

bool quota_shares::is_active(const quota& it, time_point now) const
{
    return demand_at(it, now) * weight_unit >= 1 || it.sent.weights != recent_demand{}.weights ||
           std::any_of(it.others.begin(), it.others.end(), [&](const auto& other) {
               return now - other.second.updated_at <= silent_retention;
           });
}

quota_shares::part quota_shares::part_of(const quota& it, const std::string& name,
                                         time_point now) const
{
    const double overage = 1.0 + bound_.overage * used_tolerance;
    const double rate = it.per_second * overage;
    const double capacity = it.burst * overage + bound_.slack * used_tolerance;
    const double hosts = host_count();
    const double even_capacity =
        std::max(capacity * even_burst_ratio, std::min(hosts, capacity * max_even_ratio));
    const double seen_by_host = it.per_second * min_demand_memory_s / hosts;
    const double even_rate =
        rate * std::max(even_rate_ratio, max_even_rate_ratio / (1.0 + seen_by_host));
    part out;
    out.per_second = share_.equal_part_of(even_rate);
    // A bucket of less than one token would never let a request through.
    out.capacity = share_.equal_part_of(even_capacity);
    if (out.capacity < 1 && out.capacity > 0)
        out.capacity = share_.part_of(even_capacity, name) >= 1 ? 1 : 0;
    const double own = std::min(it.sent.weights[0], it.sent.weights[1]);
    if (own <= 0 || !in_touch(now))
        return out;
    double all = own;
    double demanding = 1;
    for (const auto& [id, other] : it.others) {
        const std::uint32_t weight = std::max(other.weights[0], other.weights[1]);
        if (now - other.updated_at > silent_retention || weight == 0)
            continue;
        all += weight;
        ++demanding;
    }
    out.per_second += (rate - even_rate) * own / all;
    // A bucket serves the fluctuations of a host's demand, which are large where demand is low.
    out.capacity += (capacity - even_capacity) * (own / all + 1.0 / demanding) / 2;
    return out;
}

void quota_shares::update(quota& it, const std::string& name, time_point now)
{
    const part own = part_of(it, name, now);
    const bool fresh = it.bucket == token_bucket{};
    it.bucket.set_rate(own.per_second, own.capacity, now);
    // As if the bucket had been empty when the host started.
    if (fresh) {
        const double age = std::chrono::duration<double>(now - started_at_).count();
        it.bucket.set_tokens(age * own.per_second, now);
    }
}

bool quota_shares::take(const std::string& customer, time_point now)
{
    const auto found = quotas_.find(customer);
    if (found == quotas_.end())
        return true;
    quota& it = found->second;
    const bool first = it.demand_at == time_point{};
    it.demand = demand_at(it, now) + 1.0;
    it.demand_at = now;
    active_.insert(customer);
    update(it, customer, now);
    // What this host let through before it was restarted has left the window by then.
    if (first && now - started_at_ >= bound_.window)
        it.bucket.set_tokens(it.bucket.capacity(), now);
    if (!it.bucket.available(now))
        return false;
    it.bucket.take(now);
    return true;
}

void quota_shares::give_back(const std::string& customer, time_point now)
{
    const auto found = quotas_.find(customer);
    if (found == quotas_.end())
        return;
    update(found->second, customer, now);
    found->second.bucket.put_back(now);
}

duration quota_shares::time_to_token(const std::string& customer, time_point now) const
{
    // Until a part has followed the demand.
    constexpr duration part_wait = exchange_interval * 3;
    const auto found = quotas_.find(customer);
    if (found == quotas_.end())
        return duration::zero();
    const time_point at = found->second.bucket.available_at(now);
    const bool never = at == time_point::max() || found->second.bucket.capacity() < 1;
    return never ? part_wait : at - now;
}

std::vector<customer_demand> quota_shares::report(time_point now)
{
    std::erase_if(active_, [&](const std::string& name) {
        const auto found = quotas_.find(name);
        return found == quotas_.end() || !is_active(found->second, now);
    });
    std::vector<std::string> due;
    for (const std::string& name : active_) {
        const quota& it = quotas_.at(name);
        if (demand_at(it, now) * weight_unit >= 1 || it.sent.weights != recent_demand{}.weights)
            due.push_back(name);
    }
    const auto first = std::lower_bound(due.begin(), due.end(), next_reported_);
    std::rotate(due.begin(), first, due.end());
    next_reported_ = due.size() > max_reported ? due[max_reported] : "";
    due.resize(std::min(due.size(), max_reported));
    std::vector<customer_demand> out;
    for (const std::string& name : due) {
        quota& it = quotas_.at(name);
        const double weight = std::min(demand_at(it, now) * weight_unit, 1e9);
        it.sent.add(static_cast<std::uint32_t>(weight), now);
        out.push_back({key_of(name), it.sent.weights[0]});
        update(it, name, now);
    }
    return out;
}

void quota_shares::reported(const host_id& from, const std::vector<customer_demand>& demand,
                            time_point now)
{
    if (from == self_)
        return;
    heard_at_[from] = now;
    if (!demand.empty())
        stated_demand_at_[from] = now;
    for (const customer_demand& it : demand) {
        const auto name = names_.find(it.customer);
        if (name == names_.end())
            continue;
        quota& to = quotas_.at(name->second);
        to.others[from].add(it.weight, now);
        active_.insert(name->second);
        std::erase_if(to.others, [&](const auto& other) {
            return now - other.second.updated_at > silent_retention;
        });
        update(to, name->second, now);
    }
}

std::vector<host_id> quota_shares::demanding_hosts(time_point now) const
{
    std::vector<host_id> out;
    for (const std::string& name : active_) {
        const auto found = quotas_.find(name);
        if (found == quotas_.end())
            continue;
        for (const auto& [id, other] : found->second.others) {
            if (now - other.updated_at <= silent_retention)
                out.push_back(id);
        }
    }
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

double quota_shares::rate_of(const std::string& customer, time_point now)
{
    return part_of(quotas_.at(customer), customer, now).per_second;
}

double quota_shares::capacity_of(const std::string& customer, time_point now)
{
    return part_of(quotas_.at(customer), customer, now).capacity;
}

} // namespace ebonywick
