// Roll-outs: orders and their status in the store, counts of other hosts, and the versions that the
// upstream table may use.
#include "gateway/gateway.h"

#include "platform/storedobject.h"

#include <fmt/format.h>

#include <algorithm>

namespace ebonywick {

namespace {

using platform::stored_item;

// Messages within the time in which a bad version has to be out of use.
constexpr int reports_per_rollback_time = 20;
// Each host waits this much longer than the one before it until it writes a status.
constexpr duration writer_step = std::chrono::milliseconds{300};
constexpr duration status_write_timeout = std::chrono::milliseconds{1000};
// While no order is open.
constexpr duration idle_check_interval = std::chrono::seconds{1};
// A write that was not taken is repeated, or the change that prevented it has been read by then.
constexpr duration status_write_pause = std::chrono::milliseconds{300};

std::string_view to_string(rollout_stage stage)
{
    switch (stage) {
    case rollout_stage::probing:
        return "probing";
    case rollout_stage::switching:
        return "switching";
    case rollout_stage::completed:
        return "completed";
    case rollout_stage::rolled_back:
        return "rolled_back";
    }
    return "probing";
}

} // namespace

void gateway::on_rollouts(const std::vector<stored_item>& items, bool is_full_list)
{
    std::set<service_name> present;
    for (const stored_item& it : items) {
        if (it.deleted) {
            rollouts_.remove(service_name{it.name});
            continue;
        }
        // An order that cannot be read does not end the one that was known.
        present.insert(service_name{it.name});
        static_cast<void>(read_order(it));
    }
    if (is_full_list) {
        for (const service_name& it : rollouts_.ordered_services()) {
            if (!present.contains(it))
                rollouts_.remove(it);
        }
    }
    advance_rollouts();
}

bool gateway::read_order(const stored_item& item)
{
    const auto decoded = platform::decode_rollout_order(item.name, item.content, item.revision);
    if (const auto* failure = std::get_if<platform::decode_error>(&decoded)) {
        const std::string& reason = item.problem.empty() ? failure->message : item.problem;
        metrics_.objects_unreadable(to_string(platform::store_collection::rollouts), 1);
        log_.write(log_level::warning, "rollout_unreadable",
                   {{"service", item.name},
                    {"revision", item.revision},
                    {"error", std::string_view{reason}}});
        return false;
    }
    const auto& order = std::get<rollout_order>(decoded);
    const rollout* known = rollouts_.find(order.service);
    if (known == nullptr || known->order().key != order.key)
        log_.write(log_level::info, "rollout_ordered",
                   {{"service", item.name},
                    {"target", order.target_version},
                    {"length_ms", whole_milliseconds(order.length)},
                    {"status", order.written ? to_string(*order.written) : "none"},
                    {"revision", item.revision}});
    rollouts_.upsert(order, timers_.now());
    return true;
}

void gateway::note_versions(const std::vector<stored_item>& items)
{
    if (!rollouts_.enabled())
        return;
    for (const stored_item& it : items) {
        if (const upstream_pointer found = upstreams_.find(upstream_id{it.name}))
            rollouts_.observe_version(found->entry().service, found->entry().version,
                                      timers_.now());
    }
    advance_rollouts();
}

rollout_surroundings gateway::surroundings_of(const rollout& it, time_point now)
{
    rollout_surroundings out;
    for (const host_record& host : peers_.entry_hosts(now)) {
        if (host.id != settings_.host)
            out.live_hosts.insert(host.id);
    }
    out.clear = true;
    for (const upstream_pointer& to : upstreams_.of_service(it.order().service)) {
        if (to->entry().version == it.order().target_version)
            out.target_usable = out.target_usable || to->accepts_calls(now);
        else
            out.clear = out.clear && to->calls() == 0;
    }
    return out;
}

void gateway::advance_rollouts()
{
    if (!rollouts_.enabled())
        return;
    const time_point now = timers_.now();
    bool changed = false;
    for (const service_name& service : rollouts_.services()) {
        if (rollout* it = rollouts_.find(service)) {
            it->advance(surroundings_of(*it, now), now);
            changed = note_stage(*it, now) || changed;
        }
        upstreams_.set_version_rule(service, rollouts_.rule(service, now));
    }
    // Before any other call: the verdict must not wait for the store.
    if (changed)
        send_rollout_reports(now);
    write_rollout_status(now);
    // Without an open order, only versions that wait for one are to be released.
    if (rollouts_.any_open())
        rollout_timer_.set(now + settings_.rollback / reports_per_rollback_time);
    else if (!rollouts_.services().empty())
        rollout_timer_.set(now + idle_check_interval);
}

bool gateway::note_stage(const rollout& it, time_point now)
{
    const rollout_order& order = it.order();
    const auto [known, is_new] = noted_stages_.try_emplace(order.service, order.key, it.stage());
    if (!is_new && known->second == std::pair{order.key, it.stage()})
        return false;
    known->second = {order.key, it.stage()};
    const answer_counts target = it.target_answers();
    const answer_counts others = it.other_answers();
    log_.write(it.stage() == rollout_stage::rolled_back ? log_level::warning : log_level::info,
               "rollout_stage",
               {{"service", order.service.value()},
                {"target", order.target_version},
                {"stage", to_string(it.stage())},
                {"requests", it.fleet_requests()},
                {"target_calls", it.fleet_target_calls()},
                {"target_answers", target.answers},
                {"target_failed", target.failed},
                {"target_timed", target.timed},
                {"target_slow", target.slow},
                {"other_answers", others.answers},
                {"other_failed", others.failed},
                {"other_timed", others.timed},
                {"other_slow", others.slow},
                {"score", fmt::format("{:.1f}", it.score())},
                {"threshold", fmt::format("{:.1f}", version_judge::threshold)},
                {"oldest_report_ms", whole_milliseconds(it.oldest_report(now))}});
    return true;
}

void gateway::on_rollout_timer()
{
    advance_rollouts();
    if (rollouts_.any_open())
        send_rollout_reports(timers_.now());
}

void gateway::send_rollout_reports(time_point now)
{
    std::vector<endpoint> to;
    for (const host_record& it : peers_.entry_hosts(now)) {
        if (it.id != settings_.host)
            to.push_back(it.heartbeats);
    }
    if (to.empty())
        return;
    peer_message message = own_message();
    message.rollouts = rollouts_.reports();
    heartbeat_link_.send(message, to);
}

void gateway::on_rollout_reports(const peer_message& message, time_point now)
{
    if (message.rollouts.empty())
        return;
    rollouts_.record(message.heartbeat.id, message.heartbeat.incarnation, message.rollouts, now);
    advance_rollouts();
}

duration gateway::rollout_write_delay(time_point now)
{
    std::vector<host_id> writers;
    for (const host_record& it : peers_.entry_hosts(now))
        writers.push_back(it.id);
    std::sort(writers.begin(), writers.end());
    const auto own = std::find(writers.begin(), writers.end(), settings_.host);
    return writer_step * (own - writers.begin());
}

void gateway::write_rollout_status(time_point now)
{
    if (rollout_channel_.busy() || now < next_status_write_)
        return;
    const duration delay = rollout_write_delay(now);
    for (const service_name& service : rollouts_.ordered_services()) {
        const rollout* it = rollouts_.find(service);
        const auto due = it->due_write();
        if (!due) {
            write_due_since_.erase(service);
            continue;
        }
        auto& since = write_due_since_[service];
        const std::pair wanted{it->order().key, *due};
        if (since.first != wanted)
            since = {wanted, now};
        if (now - since.second < delay)
            continue;
        send_rollout_status(it->order(), *due);
        return;
    }
}

void gateway::send_rollout_status(const rollout_order& order, rollout_stage stage)
{
    rollout_channel_.call(
        platform::encode_rollout_status(order, stage, settings_.store), status_write_timeout,
        [this, service = order.service, stage](const std::optional<http_message>& reply) {
            const bool taken = reply && reply->status >= 200 && reply->status < 300;
            log_.write(log_level::info, "rollout_status_written",
                       {{"service", service.value()},
                        {"stage", to_string(stage)},
                        {"status", static_cast<std::uint32_t>(reply ? reply->status : 0)}});
            next_status_write_ = timers_.now() + status_write_pause;
            // The reply of a write or a conflict states the object.
            if (reply && (taken || platform::already_exists(reply->status)))
                adopt_written_order(reply->body);
            if (taken)
                next_status_write_ = {};
            advance_rollouts();
        });
}

void gateway::adopt_written_order(const std::string& body)
{
    try {
        const auto item =
            platform::decode_object(platform::store_collection::rollouts, body, false);
        const rollout* known = rollouts_.find(service_name{item.name});
        if (known != nullptr && item.revision > known->order().revision)
            static_cast<void>(read_order(item));
    } catch (const std::exception&) {
        // The watch returns the object soon.
        next_status_write_ = timers_.now() + status_write_timeout;
    }
}

} // namespace ebonywick
