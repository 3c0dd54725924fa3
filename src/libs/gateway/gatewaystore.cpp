// Handlers of changes in the store: configuration, removed failure domains and hosts.
#include "gateway/gateway.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace ebonywick {

using platform::store_collection;
using platform::stored_item;

collection_watch& gateway::watch_of(store_collection collection)
{
    switch (collection) {
    case store_collection::configuration:
        return configuration_watch_;
    case store_collection::upstreams:
        return upstream_watch_;
    case store_collection::removed_domains:
        return domain_watch_;
    case store_collection::rollouts:
        return rollout_watch_;
    case store_collection::hosts:
        break;
    }
    return host_watch_;
}

std::vector<collection_watch*> gateway::watches()
{
    std::vector<collection_watch*> out{&configuration_watch_, &upstream_watch_, &domain_watch_,
                                       &host_watch_};
    if (rollouts_.enabled())
        out.push_back(&rollout_watch_);
    return out;
}

void gateway::on_store_contact_changed(store_collection collection, std::string_view reason)
{
    if (reason.empty()) {
        log_.write(log_level::info, "store_regained", {{"collection", to_string(collection)}});
        return;
    }
    log_.write(log_level::warning, "store_lost",
               {{"collection", to_string(collection)},
                {"reason", reason},
                {"waited_ms", whole_milliseconds(watch_of(collection).call_age())}});
    if (reason != no_reply_reason)
        return;
    for (collection_watch* it : watches()) {
        if (it != &watch_of(collection))
            it->check_connection();
    }
}

void gateway::verify_collections()
{
    for (collection_watch* it : watches()) {
        if (it != &configuration_watch_)
            it->verify(renewed_revision_, known_changes_);
    }
}

void gateway::on_store_epoch(store_collection collection, std::uint64_t epoch)
{
    const std::uint64_t before = std::exchange(store_epoch_, std::max(store_epoch_, epoch));
    if (epoch <= before)
        return;
    known_changes_.clear();
    verification_timer_.cancel();
    for (collection_watch* it : watches())
        it->set_store_epoch(epoch);
    if (before == 0)
        return;
    retained_epoch_ = epoch;
    metrics_.store_restored();
    log_.write(log_level::warning, "store_restored",
               {{"collection", to_string(collection)}, {"epoch", epoch}, {"before", before}});
}

void gateway::on_restored(store_collection collection, const collection_copy& copy)
{
    log_.write(log_level::warning, "state_restored",
               {{"collection", to_string(collection)},
                {"epoch", copy.epoch()},
                {"revision", copy.revision()},
                {"retained", static_cast<std::uint64_t>(copy.retained_count())}});
}

void gateway::on_settled(store_collection collection, const std::vector<stored_item>& items)
{
    constexpr std::size_t max_names = 8;
    std::string names;
    for (std::size_t it = 0; it < std::min(items.size(), max_names); ++it)
        names += (names.empty() ? "" : ",") + items[it].name;
    log_.write(log_level::warning, "retained_settled",
               {{"collection", to_string(collection)},
                {"items", static_cast<std::uint64_t>(items.size())},
                {"first", names}});
}

void gateway::on_configuration(const std::vector<stored_item>& items)
{
    for (const stored_item& it : items) {
        if (it.deleted)
            continue;
        auto decoded = platform::decode_configuration(it.content);
        if (const auto* failure = std::get_if<platform::decode_error>(&decoded)) {
            const std::string& reason = it.problem.empty() ? failure->message : it.problem;
            metrics_.objects_unreadable(to_string(store_collection::configuration), 1);
            log_.write(log_level::error, "configuration_unreadable",
                       {{"object", it.name},
                        {"revision", it.revision},
                        {"error", std::string_view{reason}}});
            continue;
        }
        auto& config = std::get<routing_configuration>(decoded);
        const std::uint64_t before = routes_ ? routes_->configuration().version : 0;
        // An operator may give a version that a restored store has lost to other content.
        key_table keys = take_keys(config);
        const bool same = routes_ && config == routes_->configuration() && keys == keys_;
        if (routes_ && (config.version < before || same))
            continue;
        if (keys.ambiguous_keys() > 0)
            log_.write(log_level::warning, "keys_ambiguous",
                       {{"version", config.version},
                        {"keys", static_cast<std::uint64_t>(keys.ambiguous_keys())}});
        keys_ = std::move(keys);
        caller_server_.set_limits(config.limits);
        for (const service_policy& policy : config.services)
            upstreams_.set_cold_rate(policy.name, policy.cold_rate, timers_.now());
        routes_ = std::make_shared<const route_table>(std::move(config));
        quotas_.set_customers(routes_->configuration().customers, timers_.now());
        log_.write(
            log_level::info, "configuration_applied",
            {{"version", routes_->configuration().version},
             {"before", before},
             {"revision", it.revision},
             {"routes", static_cast<std::uint64_t>(routes_->configuration().routes.size())},
             {"customers", static_cast<std::uint64_t>(routes_->configuration().customers.size())},
             {"keys", static_cast<std::uint64_t>(keys_.size())}});
        // The other hosts of a large fleet learn of changes from relays that ask each other and are
        // asked once a second, too rarely if their watches have gone silent.
        if (reads_newest_ && !peers_.small_fleet())
            announcement_timer_.set_after(duration::zero());
    }
}

void gateway::on_removed_domains(const std::vector<stored_item>& items, bool is_full_list)
{
    const auto before = domains_out_;
    if (is_full_list)
        domains_out_.clear();
    for (const stored_item& it : items) {
        if (it.deleted)
            domains_out_.erase(failure_domain_id{it.name});
        else
            domains_out_.insert(failure_domain_id{it.name});
    }
    if (before == domains_out_)
        return;
    upstreams_.set_domains_out(domains_out_);
    std::string names;
    for (const auto& it : domains_out_)
        names += (names.empty() ? "" : ",") + it.value();
    log_.write(log_level::info, "domains_out", {{"domains", names}});
}

void gateway::on_hosts(const std::vector<stored_item>& items, bool is_full_list)
{
    std::set<host_id> present;
    for (const stored_item& it : items) {
        const host_id id{it.name};
        if (it.deleted) {
            peers_.remove(id);
            continue;
        }
        const auto record = decode_host_record(it.name, it.content);
        if (!record) {
            metrics_.objects_unreadable(to_string(store_collection::hosts), 1);
            log_.write(log_level::warning, "host_record_unreadable",
                       {{"host", it.name}, {"error", std::string_view{it.problem}}});
            continue;
        }
        present.insert(id);
        peers_.upsert(*record, timers_.now());
    }
    if (!is_full_list)
        return;
    for (const host_id& it : peers_.ids()) {
        if (!present.contains(it))
            peers_.remove(it);
    }
    if (registration_begun_)
        repeat_registration();
    else
        begin_registration();
}

void gateway::repeat_registration()
{
    const auto stored = host_watch_.copy().stored(settings_.host.value());
    const auto record = stored ? decode_host_record(stored->name, stored->content) : std::nullopt;
    if (!registration_.done() || registration_.is_kept(record))
        return;
    log_.write(log_level::warning, "registration_lost", {{"epoch", host_watch_.copy().epoch()}});
    registration_.start(record);
}

} // namespace ebonywick
