// Orders by service, rules for versions, and reports in turn.
#include "rollout/rollouttable.h"

#include <algorithm>

namespace ebonywick {

namespace {

// How long a version that appears beside another one waits for its order.
constexpr duration order_wait = std::chrono::seconds{3};
// Answers of one upstream in this time share one cause; a pause takes 250 ms.
constexpr duration incident_time = std::chrono::milliseconds{300};
// Size of the reports in a datagram, with the encoded size of a report and of a route.
constexpr std::size_t max_report_bytes = 1536;
constexpr std::size_t report_bytes = 32;
constexpr std::size_t route_bytes = 36;

bool is_open(const rollout& it)
{
    const auto written = it.order().written;
    return written != rollout_stage::completed && written != rollout_stage::rolled_back;
}

} // namespace

void rollout_table::upsert(const rollout_order& order, time_point now)
{
    const auto found = rollouts_.find(order.service);
    if (found != rollouts_.end()) {
        if (found->second.order().key == order.key) {
            found->second.update(order, now);
            return;
        }
        retire(found->second);
        rollouts_.erase(found);
    }
    retired_[order.service].erase(order.target_version);
    rollout it{order, policy_, now};
    it.set_sharing_hosts(sharing_hosts_);
    rollouts_.emplace(order.service, std::move(it));
}

void rollout_table::retire(const rollout& it)
{
    const rollout_order& order = it.order();
    auto& out = retired_[order.service];
    if (it.stage() == rollout_stage::rolled_back)
        out.insert(order.target_version);
    if (it.stage() != rollout_stage::completed)
        return;
    for (const auto& [version, seen] : versions_[order.service]) {
        if (version != order.target_version)
            out.insert(version);
    }
}

void rollout_table::remove(const service_name& service)
{
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end())
        return;
    retire(found->second);
    rollouts_.erase(found);
}

void rollout_table::observe_version(const service_name& service, const std::string& version,
                                    time_point now)
{
    if (enabled())
        versions_[service].emplace(version, now);
}

void rollout_table::set_sharing_hosts(std::size_t count)
{
    sharing_hosts_ = count;
    for (auto& [service, it] : rollouts_)
        it.set_sharing_hosts(count);
}

version_rule rollout_table::rule(const service_name& service, time_point now) const
{
    version_rule out;
    if (!enabled())
        return out;
    if (const auto found = retired_.find(service); found != retired_.end())
        out.excluded = found->second;
    if (const rollout* it = find(service)) {
        const std::string& target = it->order().target_version;
        switch (it->stage()) {
        case rollout_stage::probing:
            out.trial = target;
            break;
        case rollout_stage::switching:
        case rollout_stage::completed:
            out.only = target;
            break;
        case rollout_stage::rolled_back:
            out.excluded.insert(target);
            break;
        }
        return out;
    }
    const auto found = versions_.find(service);
    if (found == versions_.end())
        return out;
    time_point first = time_point::max();
    for (const auto& [version, seen] : found->second)
        first = std::min(first, seen);
    for (const auto& [version, seen] : found->second) {
        if (seen > first && now - seen < order_wait)
            out.trial = version;
    }
    return out;
}

std::set<service_name> rollout_table::services() const
{
    std::set<service_name> out;
    for (const auto& [service, it] : rollouts_)
        out.insert(service);
    for (const auto& [service, it] : retired_)
        out.insert(service);
    for (const auto& [service, it] : versions_) {
        if (it.size() > 1)
            out.insert(service);
    }
    return out;
}

std::vector<service_name> rollout_table::ordered_services() const
{
    std::vector<service_name> out;
    for (const auto& [service, it] : rollouts_)
        out.push_back(service);
    return out;
}

rollout* rollout_table::find(const service_name& service)
{
    const auto found = rollouts_.find(service);
    return found == rollouts_.end() ? nullptr : &found->second;
}

const rollout* rollout_table::find(const service_name& service) const
{
    const auto found = rollouts_.find(service);
    return found == rollouts_.end() ? nullptr : &found->second;
}

bool rollout_table::any_open() const
{
    return std::any_of(rollouts_.begin(), rollouts_.end(),
                       [](const auto& it) { return is_open(it.second); });
}

void rollout_table::request_started(const service_name& service)
{
    if (rollout* it = find(service))
        it->request_started();
}

bool rollout_table::may_try(const service_name& service, time_point now) const
{
    const rollout* it = find(service);
    return it != nullptr && it->may_try(now);
}

bool rollout_table::may_fall_back(const service_name& service, time_point now) const
{
    const rollout* it = find(service);
    return it == nullptr || it->may_try(now);
}

void rollout_table::call_started(const service_name& service, const std::string& version)
{
    rollout* it = find(service);
    if (it != nullptr && it->order().target_version == version)
        it->target_called();
}

void rollout_table::answered(const upstream_id& upstream, const service_name& service,
                             const std::string& version, version_answer answer, time_point now)
{
    rollout* it = find(service);
    if (it == nullptr)
        return;
    const auto last = last_incidents_.find(upstream);
    const bool in_incident = last != last_incidents_.end() && now - last->second < incident_time;
    if (in_incident && answer.lost)
        return;
    if (in_incident)
        answer.slow.reset();
    else if (answer.lost || answer.slow.value_or(false))
        last_incidents_[upstream] = now;
    answer.from_target = it->order().target_version == version;
    it->answered(answer);
}

std::vector<rollout_report> rollout_table::reports()
{
    std::vector<const rollout*> open;
    for (const auto& [service, it] : rollouts_) {
        if (is_open(it))
            open.push_back(&it);
    }
    std::vector<rollout_report> out;
    if (open.empty())
        return out;
    const auto first = static_cast<std::ptrdiff_t>(next_report_ % open.size());
    std::rotate(open.begin(), open.begin() + first, open.end());
    // Verdicts that the store does not have yet hold by these messages.
    std::stable_partition(open.begin(), open.end(), [](const rollout* it) {
        return it->stage() == rollout_stage::rolled_back;
    });
    std::size_t size = 0;
    for (const rollout* it : open) {
        rollout_report report = it->report();
        size += report_bytes + report.routes.size() * route_bytes;
        if (size > max_report_bytes && !out.empty())
            break;
        out.push_back(std::move(report));
    }
    next_report_ += out.size();
    return out;
}

void rollout_table::record(const host_id& from, incarnation_number incarnation,
                           const std::vector<rollout_report>& reports, time_point now)
{
    for (const rollout_report& report : reports) {
        for (auto& [service, it] : rollouts_)
            it.record(from, incarnation, report, now);
    }
}

} // namespace ebonywick
