// Decodes entries, updates the table and removes lapsed upstreams.
#include "gateway/upstreamtableupdater.h"

#include "gateway/constants.h"

#include <set>

namespace ebonywick {

upstream_table_updater::upstream_table_updater(upstream_table& table, timer_queue& timers,
                                               event_loop_logger& log, gateway_metrics& metrics)
    : table_(table), timers_(timers), log_(log), metrics_(metrics),
      removal_timer_(timers, [this] { remove_lapsed(); })
{
}

void upstream_table_updater::on_listed(const std::vector<platform::stored_item>& items)
{
    std::set<upstream_id> present;
    for (const auto& it : items) {
        present.insert(upstream_id{it.name});
        apply(it);
    }
    std::erase_if(unreadable_, [&](const auto& it) { return !present.contains(it.first); });
    for (const upstream_id& it : table_.ids()) {
        if (!present.contains(it))
            mark_lapsing(it);
    }
}

void upstream_table_updater::on_changed(const std::vector<platform::stored_item>& items)
{
    for (const auto& it : items)
        apply(it);
}

void upstream_table_updater::on_settled(const std::vector<platform::stored_item>& items)
{
    for (const auto& it : items) {
        if (!it.deleted) {
            apply(it);
            continue;
        }
        const upstream_id id{it.name};
        log_.write(log_level::info, "upstream_removed", {{"upstream", it.name}});
        table_.remove(id, timers_.now());
        removal_times_.erase(id);
    }
}

void upstream_table_updater::apply(const platform::stored_item& item)
{
    const upstream_id id{item.name};
    if (item.deleted) {
        unreadable_.erase(id);
        mark_lapsing(id);
        return;
    }
    if (!item.problem.empty()) {
        on_unreadable(item, item.problem);
        return;
    }
    const auto decoded = platform::decode_upstream(item.name, item.content);
    if (const auto* failure = std::get_if<platform::decode_error>(&decoded)) {
        on_unreadable(item, failure->message);
        return;
    }
    unreadable_.erase(id);
    const auto& entry = std::get<upstream_entry>(decoded);
    removal_times_.erase(id);
    const upstream_pointer known = table_.find(id);
    if (known && known->entry() == entry && known->listed() && !known->lapsing())
        return;
    log_.write(log_level::info, "upstream_entry",
               {{"upstream", item.name},
                {"service", entry.service.value()},
                {"address", to_string(entry.address)},
                {"domain", entry.domain.value()},
                {"state", entry.leaving ? "leaving" : "ready"},
                {"incarnation", entry.incarnation},
                {"revision", item.revision}});
    table_.upsert(entry, timers_.now());
}

void upstream_table_updater::on_unreadable(const platform::stored_item& item,
                                           std::string_view reason)
{
    const upstream_id id{item.name};
    const auto [logged, is_new] = unreadable_.emplace(id, item.revision);
    if (is_new || logged->second != item.revision) {
        logged->second = item.revision;
        metrics_.objects_unreadable(to_string(platform::store_collection::upstreams), 1);
        log_.write(log_level::warning, "upstream_entry_unreadable",
                   {{"upstream", item.name}, {"revision", item.revision}, {"error", reason}});
    }
    mark_lapsing(id);
}

void upstream_table_updater::mark_lapsing(const upstream_id& id)
{
    const upstream_pointer known = table_.find(id);
    if (!known || removal_times_.contains(id))
        return;
    log_.write(log_level::info, "upstream_lapsed",
               {{"upstream", id.value()}, {"service", known->entry().service.value()}});
    table_.set_lapsing(id);
    const time_point at = timers_.now() + gateway_constants::lapsed_entry_retention;
    removal_times_.emplace(id, at);
    // If the timer is set already, remove_lapsed() sets it for this upstream later.
    if (removal_times_.size() == 1)
        removal_timer_.set(at);
}

void upstream_table_updater::remove_lapsed()
{
    const time_point now = timers_.now();
    time_point next = time_point::max();
    for (auto it = removal_times_.begin(); it != removal_times_.end();) {
        if (it->second > now) {
            next = std::min(next, it->second);
            ++it;
            continue;
        }
        log_.write(log_level::info, "upstream_removed", {{"upstream", it->first.value()}});
        table_.remove(it->first, now);
        it = removal_times_.erase(it);
    }
    removal_timer_.set(next);
}

} // namespace ebonywick
