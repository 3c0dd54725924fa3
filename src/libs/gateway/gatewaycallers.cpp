// Handlers of the HTTP servers: callers, directory, readiness, metrics and other hosts.
#include "gateway/gateway.h"

#include "gateway/constants.h"
#include "gateway/storesnapshot.h"
#include "platform/httpcodec.h"

namespace ebonywick {

namespace {

// Retry-After of a host that is not ready: it becomes ready as soon as the store replies.
constexpr duration new_host_retry_after = std::chrono::milliseconds{250};
// Time budget of requests that state none.
constexpr duration default_time_budget = std::chrono::seconds{60};
// A request whose time budget is smaller than the full one of its route by more than this is
// a retry of the caller; smaller differences are jitter.
constexpr duration min_budget_loss = std::chrono::milliseconds{3};
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

// Sends the answer that `encode` returns for how the connection goes on: it is closed if the
// sender asked for that, or while this host leaves.
template <class Encode>
void send_answer(http_exchange& exchange, const Encode& encode)
{
    const bool closes = exchange.closes_connection();
    exchange.answer(
        encode(closes ? platform::connection_use::close : platform::connection_use::keep),
        closes ? after_answer::close : after_answer::keep_open);
}

} // namespace

void gateway::refuse(http_exchange& exchange, int status, std::string_view reason,
                     std::string_view request_id, std::optional<duration> retry_after)
{
    log_.write(log_level::info, "request_refused",
               {{"id", request_id},
                {"status", static_cast<std::uint32_t>(status)},
                {"reason", reason},
                {"target", exchange.request().target},
                {"config", routes_ ? routes_->configuration().version : 0}});
    if (!retry_after && status == status_unavailable)
        retry_after = new_host_retry_after;
    send_answer(exchange, [&](platform::connection_use use) {
        return platform::encode_answer(platform::error_answer{status, reason, retry_after}, use);
    });
}

const service_name& gateway::pick_weighted_service(const service_choice& choice)
{
    double total = 0;
    for (const weighted_service& it : choice.services)
        total += it.weight;
    double left = random_.uniform() * total;
    for (const weighted_service& it : choice.services) {
        if (left < it.weight)
            return it.service;
        left -= it.weight;
    }
    return choice.services.back().service;
}

bool gateway::can_end_before_leaving(const route& via, duration budget, time_point now)
{
    return now - leaving_since_ <= grace_part(gateway_constants::admission_grace_ratio) &&
           now + statistics_.longest_expected(via, budget) <=
               leaving_since_ + grace_part(gateway_constants::serving_grace_ratio);
}

void gateway::on_caller_request(http_exchange exchange)
{
    const http_message& message = exchange.request();
    platform::caller_request_header header = platform::decode_caller_request_header(message);
    if (header.id.empty()) {
        refuse(exchange, status_bad_request, "request_id_missing", "");
        return;
    }
    if (!knows_state()) {
        refuse(exchange, status_unavailable, "not_ready", header.id);
        return;
    }
    const route* matched_route = routes_->find(message.field("host"), message.target);
    if (matched_route == nullptr) {
        refuse(exchange, status_not_found, "no_route", header.id);
        return;
    }
    const time_point now = exchange.arrival();
    const duration budget = header.time_left.value_or(default_time_budget);
    fan_out_plan plan;
    plan.routes = routes_;
    plan.matched_route = matched_route;
    plan.priority = matched_route->priority;
    if (!identify_customer(exchange, header, plan))
        return;
    if (leaving_since_ != time_point::max() &&
        !can_end_before_leaving(*matched_route, budget, now)) {
        refuse(exchange, status_unavailable, "leaving", header.id);
        return;
    }
    request_name name{std::move(header.id), make_request_key({.method = message.method,
                                                              .host = message.field("host"),
                                                              .target = message.target,
                                                              .customer = plan.customer,
                                                              .body = message.body})};
    if (!outside_quarantine(exchange, name, plan))
        return;
    if (!within_quota(exchange, name.id, plan.customer))
        return;
    if (const auto* choice = std::get_if<service_choice>(&matched_route->target))
        plan.service = pick_weighted_service(*choice);
    plan.arrival = now;
    plan.deadline = now + budget;
    plan.refused_before =
        statistics_.update_max_budget(matched_route->name, budget) - budget > min_budget_loss;
    rollout_table* const rollouts = rollouts_.enabled() ? &rollouts_ : nullptr;
    const request_context context{
        timers_,     pool_,      {upstreams_, budget_, statistics_, admission_, rollouts},
        log_,        metrics_,   quotas_,
        quarantine_, call_ended_};
    const caller_request_pointer request{
        new caller_request{std::move(exchange), std::move(name), std::move(plan), context}};
    requests_.push_back(*request);
    request->start();
}

void gateway::on_readiness(http_exchange exchange)
{
    send_answer(exchange, [&](platform::connection_use use) {
        return platform::encode_readiness(ready(), use);
    });
}

void gateway::on_directory(http_exchange exchange)
{
    if (!platform::is_directory_query(exchange.request())) {
        refuse(exchange, status_not_found, "unknown_path", "");
        return;
    }
    std::vector<endpoint> addresses;
    for (const host_record& it : peers_.entry_hosts(timers_.now())) {
        if (addresses.size() < gateway_constants::max_directory_addresses)
            addresses.push_back(it.callers);
    }
    send_answer(exchange, [&](platform::connection_use use) {
        return platform::encode_directory_answer(addresses, gateway_constants::directory_ttl, use);
    });
}

void gateway::on_metrics(http_exchange exchange)
{
    const time_point now = timers_.now();
    std::vector<std::pair<std::string_view, duration>> ages;
    for (const auto it :
         {platform::store_collection::configuration, platform::store_collection::upstreams,
          platform::store_collection::removed_domains, platform::store_collection::hosts})
        ages.emplace_back(to_string(it), watch_of(it).reply_age());
    if (rollouts_.enabled())
        ages.emplace_back(to_string(platform::store_collection::rollouts),
                          rollout_watch_.reply_age());
    std::vector<std::pair<std::string_view, std::uint64_t>> held;
    held.reserve(memory::charged_classes.size());
    for (const memory::byte_class it : memory::charged_classes)
        held.emplace_back(to_string(it), keeper_->account()->used(it));
    const keeper_counts& counts = keeper_->counts();
    const auto body = metrics_.exposition(
        {.config_version = routes_ ? routes_->configuration().version : 0,
         .upstreams = upstreams_.size(),
         .limited_upstreams = upstreams_.limited_count(),
         .calls_to_limited_upstreams = upstreams_.calls_to_limited(),
         .leaving_upstreams = upstreams_.leaving_count(),
         .calls_to_leaving_upstreams = upstreams_.calls_to_leaving(),
         .paused_upstreams = upstreams_.paused_count(timers_.now()),
         .calls_to_paused_upstreams = upstreams_.calls_to_paused(),
         .blocked_requests = quarantine_.blocked_count(),
         .upstream_connections = pool_.connection_count(),
         .upstream_connections_opened = pool_.connections_opened(),
         .caller_connections = caller_server_.session_count(),
         .held_bytes = std::move(held),
         .requests_without_room = counts.given_up + counts.rejected,
         .connections_without_descriptor = counts.closed,
         .entry_hosts = peers_.entry_hosts(timers_.now()).size(),
         .store_epoch = store_epoch_,
         .store_reply_ages = std::move(ages),
         .state_behind =
             behind_since_ == time_point::max() ? duration::zero() : now - behind_since_,
         .log_lines_dropped = log_.dropped()});
    send_answer(exchange, [&](platform::connection_use use) {
        return platform::encode_answer(
            upstream_reply{200, "", {{"Content-Type", "text/plain; version=0.0.4"}}, body}, use);
    });
}

void gateway::on_control(http_exchange exchange)
{
    if (!is_snapshot_target(exchange.request().target)) {
        refuse(exchange, status_not_found, "unknown_path", "");
        return;
    }
    const applied_revisions known = decode_snapshot_target(exchange.request().target);
    send_answer(exchange, [&](platform::connection_use use) {
        const std::uint64_t epoch = known.epoch;
        return encode_snapshot_answer(
            {configuration_watch_.copy().since(epoch, known.configuration),
             upstream_watch_.copy().since(epoch, known.upstreams),
             domain_watch_.copy().since(epoch, known.domains),
             host_watch_.copy().since(epoch, known.hosts),
             rollout_watch_.copy().since(epoch, known.rollouts)},
            use);
    });
}

} // namespace ebonywick
