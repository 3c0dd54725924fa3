// The roll-outs of all services, and the versions that may get calls.
#pragma once

#include "rollout/rollout.h"
#include "rollout/versionrule.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ebonywick {

/// Not thread-safe.
class rollout_table
{
public:
    explicit rollout_table(rollout_policy policy) : policy_(policy) {}

    /// False: the deployment has no roll-outs; nothing is counted and no version is left out.
    [[nodiscard]] bool enabled() const { return policy_.exposure_share > 0; }

    /// An order was read. Another one under the same name begins anew, an older state is ignored.
    void upsert(const rollout_order& order, time_point now);
    /// The operator has deleted the order. A version that was rolled back, and the versions before
    /// one that was completed, stay out.
    void remove(const service_name& service);
    /// An upstream of this version is registered.
    void observe_version(const service_name& service, const std::string& version, time_point now);
    void set_sharing_hosts(std::size_t count);

    [[nodiscard]] version_rule rule(const service_name& service, time_point now) const;
    /// Services with an order or a rule.
    [[nodiscard]] std::set<service_name> services() const;
    [[nodiscard]] std::vector<service_name> ordered_services() const;
    /// Null if there is no order.
    [[nodiscard]] rollout* find(const service_name& service);
    [[nodiscard]] const rollout* find(const service_name& service) const;
    /// An order is open, so that the hosts exchange counts.
    [[nodiscard]] bool any_open() const;

    void request_started(const service_name& service);
    /// Whether a call to `service` may go to the target version as a trial.
    [[nodiscard]] bool may_try(const service_name& service, time_point now) const;
    /// Whether a version on trial may get a call because nothing else can take it.
    [[nodiscard]] bool may_fall_back(const service_name& service, time_point now) const;
    void call_started(const service_name& service, const std::string& version);
    /// Within 300 ms after a slow answer or a broken connection of `upstream`, as in a pause or at
    /// its end, further ones say nothing new and are not judged.
    void answered(const upstream_id& upstream, const service_name& service,
                  const std::string& version, version_answer answer, time_point now);

    /// Reports of some orders, in turn, that fit into a datagram.
    [[nodiscard]] std::vector<rollout_report> reports();
    void record(const host_id& from, incarnation_number incarnation,
                const std::vector<rollout_report>& reports, time_point now);

private:
    // Versions that stay out after the end of an order.
    void retire(const rollout& it);

    rollout_policy policy_;
    std::size_t sharing_hosts_ = 0;
    std::map<service_name, rollout> rollouts_;
    std::map<service_name, std::set<std::string>> retired_;
    // When each version was first registered.
    std::map<service_name, std::map<std::string, time_point>> versions_;
    // When the last slow answer or broken connection of an upstream was judged.
    std::map<upstream_id, time_point> last_incidents_;
    // Of the order with which the next reports begin.
    std::size_t next_report_ = 0;
};

} // namespace ebonywick
