// Construction of the gateway, settings reload, readiness and graceful shutdown.
#include "gateway/gateway.h"

#include "gateway/constants.h"
#include "gateway/storesnapshot.h"
#include "platform/httpcodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include <sys/resource.h>

namespace ebonywick {

namespace {

using platform::store_collection;
using platform::stored_item;

constexpr duration leave_poll_interval = std::chrono::milliseconds{50};

constexpr int status_bad_request = 400;
constexpr int status_request_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_header_too_large = 431;
constexpr int status_unavailable = 503;

incarnation_number unix_time_ms()
{
    return static_cast<incarnation_number>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                               std::chrono::system_clock::now().time_since_epoch())
                                               .count());
}

std::string encode_refusal(const bad_request& invalid)
{
    int status = status_bad_request;
    std::string_view reason = "malformed_request";
    std::optional<duration> retry_after;
    if (invalid.no_room) {
        status = status_unavailable;
        reason = "no_room";
        retry_after = gateway_constants::no_room_retry_after;
    } else if (invalid.timed_out) {
        status = status_request_timeout;
        reason = "request_incomplete_in_time";
    } else if (invalid.state == read_state::header_too_large) {
        status = status_header_too_large;
        reason = "header_too_large";
    } else if (invalid.state == read_state::body_too_large) {
        status = status_body_too_large;
        reason = "body_too_large";
    }
    return platform::encode_answer(platform::error_answer{status, reason, retry_after},
                                   platform::connection_use::close);
}

std::shared_ptr<session_keeper> make_session_keeper(timer_queue& timers,
                                                    const gateway_settings& settings)
{
    rlimit system{};
    std::uint64_t descriptors = settings.max_descriptors;
    if (::getrlimit(RLIMIT_NOFILE, &system) == 0)
        descriptors = std::min<std::uint64_t>(descriptors, system.rlim_cur);
    const auto connections = static_cast<std::size_t>(static_cast<double>(descriptors) *
                                                      settings.caller_descriptor_ratio);
    const auto budget = memory::make_byte_budget(settings.memory_bytes, settings.held_bytes_ratio);
    return std::make_shared<session_keeper>(
        timers, memory::byte_account_pointer{new memory::byte_account{budget}}, connections);
}

host_record make_host_record(const gateway_settings& settings, incarnation_number incarnation)
{
    return {.id = settings.host,
            .incarnation = incarnation,
            .callers = settings.callers,
            .heartbeats = settings.heartbeats,
            .control = settings.control,
            .domain = settings.domain,
            .processor_share = settings.processor_share};
}

extra_budget_limits budget_limits(const gateway_settings& settings)
{
    return {settings.extra_call_ratio, settings.extra_call_window, settings.extra_call_slack};
}

} // namespace

gateway::gateway(boost::asio::io_context& loop, timer_queue& timers,
                 const gateway_settings& settings, event_loop_logger& log, std::uint64_t seed)
    : timers_(timers), settings_(settings), log_(log), random_(seed), incarnation_(unix_time_ms()),
      peers_(make_host_record(settings, incarnation_)),
      queries_(make_host_record(settings, incarnation_)),
      upstreams_(settings.host, settings.domain, random_.next()), budget_(budget_limits(settings)),
      rollouts_({settings.exposure_share, settings.exposure_slack, settings.rollback}),
      pool_(
          loop, timers, [this](const upstream& to) { return connection_limit(to); },
          [this](const upstream_pointer& from, const platform::decoded_reply& reply) {
              on_reply_reported(from, reply);
          },
          [this](const upstream_pointer& by) { on_leaving_stated(by, "reply"); },
          [this](const upstream_pointer& by) { on_connection_refused(by); }),
      upstream_updater_(upstreams_, timers, log, metrics_), key_secret_{random_.next(),
                                                                        random_.next()},
      key_freshness_(key_trust_of(settings)),
      quotas_(settings.host, quota_bound_of(settings), timers.now()), quarantine_(settings.host),
      call_ended_([this](const upstream_pointer& of, const request_run& run,
                         call_evidence evidence) { on_call_ended(of, run, evidence); }),
      configuration_watch_(loop, timers, settings.store, store_collection::configuration,
                           {.pause = gateway_constants::configuration_pause,
                            .read_freshness = platform::freshness::stale_ok,
                            .renewal_interval = gateway_constants::renewal_interval},
                           configuration_handlers()),
      upstream_watch_(loop, timers, settings.store, store_collection::upstreams,
                      {.pause = gateway_constants::upstream_pause,
                       .read_freshness = platform::freshness::stale_ok,
                       .missing_retention = gateway_constants::restored_entry_wait,
                       .outdated_retention = gateway_constants::restored_state_wait},
                      upstream_handlers()),
      domain_watch_(loop, timers, settings.store, store_collection::removed_domains,
                    {.pause = gateway_constants::configuration_pause,
                     .read_freshness = platform::freshness::stale_ok,
                     .lists_read_newest = false,
                     .missing_retention = gateway_constants::restored_state_wait,
                     .outdated_retention = gateway_constants::restored_state_wait},
                    handlers_for([this](const auto& items, bool is_full_list) {
                        on_removed_domains(items, is_full_list);
                    })),
      host_watch_(loop, timers, settings.store, store_collection::hosts,
                  {.pause = gateway_constants::host_pause,
                   .read_freshness = platform::freshness::stale_ok,
                   .lists_read_newest = false},
                  handlers_for([this](const auto& items, bool is_full_list) {
                      on_hosts(items, is_full_list);
                  })),
      rollout_watch_(loop, timers, settings.store, store_collection::rollouts,
                     {.pause = gateway_constants::configuration_pause,
                      .read_freshness = platform::freshness::stale_ok,
                      .missing_retention = gateway_constants::restored_state_wait,
                      .outdated_retention = gateway_constants::restored_state_wait},
                     handlers_for([this](const auto& items, bool is_full_list) {
                         on_rollouts(items, is_full_list);
                     })),
      rollout_channel_(loop, timers, settings.store),
      rollout_timer_(timers, [this] { on_rollout_timer(); }),
      registration_(loop, timers, settings.store, make_host_record(settings, incarnation_),
                    [this] { log_.write(log_level::info, "host_registered", {}); }),
      heartbeat_link_(
          loop, settings.heartbeats,
          [this](const peer_message& it, const endpoint& from) { on_peer_message(it, from); }),
      keeper_(make_session_keeper(timers, settings)),
      caller_server_(
          loop, timers, settings.callers,
          {[this](http_exchange it) { on_caller_request(std::move(it)); }, encode_refusal},
          keeper_),
      readiness_server_(loop, timers, settings.readiness,
                        {[this](http_exchange it) { on_readiness(std::move(it)); }, encode_refusal},
                        keeper_),
      directory_server_(loop, timers, settings.directory,
                        {[this](http_exchange it) { on_directory(std::move(it)); }, encode_refusal},
                        keeper_),
      metrics_server_(loop, timers, settings.metrics,
                      {[this](http_exchange it) { on_metrics(std::move(it)); }, encode_refusal},
                      keeper_),
      control_server_(loop, timers, settings.control,
                      {[this](http_exchange it) { on_control(std::move(it)); }, encode_refusal},
                      keeper_),
      snapshot_channel_(loop, timers, settings.control), reading_timer_(timers,
                                                                        [this] {
                                                                            if (reading_begun_)
                                                                                start_watches();
                                                                            else
                                                                                begin_reading();
                                                                        }),
      heartbeat_timer_(timers, [this] { on_heartbeat_due(); }),
      log_timer_(timers,
                 [this] {
                     log_cut_callers(timers_.now());
                     log_.flush(timers_.now());
                     log_timer_.set_after(gateway_constants::log_flush_interval);
                 }),
      leave_timer_(timers, [this] { check_leave_progress(); }),
      announcement_timer_(timers, [this] { announce_change(); }),
      follow_timer_(timers, [this] { follow_peers(timers_.now()); }),
      demand_timer_(timers, [this] { exchange_demand(); }),
      crash_timer_(timers, [this] { tell_crashes(); }),
      verification_timer_(timers, [this] { verify_collections(); })
{
}

gateway::~gateway() = default;

collection_handlers gateway::handlers_for(
    const std::function<void(const std::vector<stored_item>&, bool is_full_list)>& apply)
{
    return {[apply](const auto& items) { apply(items, true); },
            [apply](const auto& items) { apply(items, false); },
            [this, apply](store_collection collection, const auto& items) {
                on_settled(collection, items);
                apply(items, false);
            },
            [this](store_collection collection, const collection_copy& copy) {
                on_restored(collection, copy);
            },
            [this](store_collection collection, std::string_view reason) {
                on_store_contact_changed(collection, reason);
            },
            [this](store_collection collection, std::uint64_t epoch) {
                on_store_epoch(collection, epoch);
            },
            [this](store_collection collection, std::uint64_t list_revision) {
                log_.write(log_level::warning, "list_ignored",
                           {{"collection", to_string(collection)}, {"revision", list_revision}});
            },
            [this](store_collection collection, std::size_t count) {
                metrics_.objects_unreadable(to_string(collection), count);
                log_.write(log_level::warning, "objects_skipped",
                           {{"collection", to_string(collection)},
                            {"count", static_cast<std::uint64_t>(count)}});
            },
            [this](store_collection collection, std::string_view call, platform::freshness needed) {
                log_.write(log_level::debug, "store_call",
                           {{"collection", to_string(collection)},
                            {"call", call},
                            {"newest", needed == platform::freshness::newest ? "yes" : "no"}});
            },
            // While the configuration cannot be read, the store is probably unavailable, and the
            // other collections wait until it can.
            [this](store_collection collection) {
                return collection == store_collection::configuration ||
                       !configuration_watch_.store_unavailable();
            },
            [this](std::uint64_t from, const platform::collection_page& page) {
                known_changes_.note_changes(from, page);
            },
            [this] { announcement_timer_.set_after(duration::zero()); },
            [](std::uint64_t /*store_revision*/) {},
            [this](std::string_view outcome) {
                metrics_.store_call(outcome);
            }};
}

collection_handlers gateway::configuration_handlers()
{
    collection_handlers out =
        handlers_for([this](const auto& items, bool /*is_full_list*/) { on_configuration(items); });
    out.renewed = [this](std::uint64_t store_revision) {
        renewed_revision_ = store_revision;
        verification_timer_.set_after(gateway_constants::verification_delay);
    };
    return out;
}

collection_handlers gateway::upstream_handlers()
{
    collection_handlers out = handlers_for([this](const auto& items, bool is_full_list) {
        if (is_full_list)
            upstream_updater_.on_listed(items);
        else
            upstream_updater_.on_changed(items);
        note_versions(items);
    });
    out.settled = [this](store_collection collection, const auto& items) {
        on_settled(collection, items);
        upstream_updater_.on_settled(items);
    };
    return out;
}

void gateway::on_reply_reported(const upstream_pointer& from, const platform::decoded_reply& reply)
{
    if (reply.load)
        upstreams_.load_reported(*from, *reply.load, timers_.now());
    if (reply.cold_remaining)
        upstreams_.cold_reported(*from, *reply.cold_remaining, timers_.now());
    if (reply.limit)
        on_limit_stated(from, *reply.limit, timers_.now(), "reply");
    if (reply.pause)
        on_pause_stated(from, *reply.pause);
}

void gateway::on_leaving_stated(const upstream_pointer& by, std::string_view source)
{
    if (by->stated_leaving())
        return;
    upstreams_.leaving_stated(*by);
    log_.write(log_level::info, "upstream_leaving",
               {{"upstream", by->entry().id.value()},
                {"service", by->entry().service.value()},
                {"incarnation", by->entry().incarnation},
                {"source", source},
                {"entry", by->entry().leaving ? "leaving" : "ready"}});
}

void gateway::on_connection_refused(const upstream_pointer& by)
{
    metrics_.connection_refused();
    on_crash(by, attribution_.upstream_ended(upstream_table::key_of(by->entry()), timers_.now()));
    // Callers come again and again while the entry is still listed; one line tells that nothing
    // listens there.
    constexpr std::size_t max_noted = 1024;
    if (refusing_.size() >= max_noted)
        refusing_.clear();
    if (!refusing_.insert(upstream_table::key_of(by->entry())).second)
        return;
    log_.write(log_level::info, "upstream_connection_refused",
               {{"upstream", by->entry().id.value()},
                {"service", by->entry().service.value()},
                {"incarnation", by->entry().incarnation},
                {"entry", by->entry().leaving ? "leaving" : "ready"}});
}

void gateway::on_pause_stated(const upstream_pointer& by, duration pause)
{
    const time_point before = by->paused_until();
    upstreams_.pause_stated(*by, timers_.now() + pause);
    if (by->paused_until() == before)
        return;
    log_.write(log_level::info, "upstream_pause",
               {{"upstream", by->entry().id.value()},
                {"service", by->entry().service.value()},
                {"pause_ms", fmt::format("{:.0f}", to_milliseconds(pause))}});
}

void gateway::on_limit_stated(const upstream_pointer& by, const stated_limit& limit,
                              time_point stated_at, std::string_view source)
{
    const stated_limit before = by->limit();
    upstreams_.limit_stated(*by, limit, stated_at, timers_.now());
    if (by->limit() == before)
        return;
    const auto text = [](const stated_limit& it) {
        return it.calls_per_second ? fmt::format("{:.2f}", *it.calls_per_second) : "none";
    };
    log_.write(log_level::info, "upstream_limit",
               {{"upstream", by->entry().id.value()},
                {"service", by->entry().service.value()},
                {"limit", text(limit)},
                {"before", text(before)},
                {"source", source}});
}

void gateway::start()
{
    log_.write(log_level::info, "started",
               {{"host", settings_.host.value()},
                {"domain", settings_.domain.value()},
                {"incarnation", incarnation_},
                {"callers", to_string(settings_.callers)},
                {"store", to_string(settings_.store)}});
    started_at_ = timers_.now();
    log_.flush(started_at_);
    host_watch_.start();
    reading_timer_.set_after(gateway_constants::host_list_wait);
    on_heartbeat_due();
    log_timer_.set_after(gateway_constants::log_flush_interval);
}

void gateway::apply(const gateway_settings& settings)
{
    budget_.set_limits(budget_limits(settings));
    log_.set_level(static_cast<log_level>(settings.log_level));
    settings_.grace = settings.grace;
    settings_.seeds = settings.seeds;
    key_freshness_.set_trust(key_trust_of(settings));
    quotas_.set_bound(quota_bound_of(settings));
    log_.write(log_level::info, "settings_reloaded",
               {{"extra_call_slack", std::to_string(settings.extra_call_slack)},
                {"grace_ms", std::to_string(to_milliseconds(settings.grace))}});
}

void gateway::log_cut_callers(time_point now)
{
    const keeper_counts& counts = keeper_->counts();
    if (counts == logged_counts_ ||
        now - counts_logged_at_ < gateway_constants::cut_callers_log_interval)
        return;
    logged_counts_ = counts;
    counts_logged_at_ = now;
    log_.write(log_level::warning, "callers_cut",
               {{"held_back", counts.held_back},
                {"given_up", counts.given_up},
                {"rejected", counts.rejected},
                {"closed", counts.closed}});
}

bool gateway::knows_state() const
{
    return routes_ && upstream_watch_.complete() && domain_watch_.complete() &&
           (!rollouts_.enabled() || rollout_watch_.complete());
}

bool gateway::ready() const
{
    return knows_state() && leaving_since_ == time_point::max();
}

void gateway::leave(std::function<void()> finished)
{
    if (leaving_since_ != time_point::max())
        return;
    leaving_since_ = timers_.now();
    on_left_ = std::move(finished);
    log_.write(
        log_level::info, "leaving",
        {{"caller_connections", static_cast<std::uint64_t>(caller_server_.session_count())}});
    caller_server_.start_draining();
    peers_.set_own_state(false, false, reads_store());
    on_heartbeat_due();
    check_leave_progress();
}

duration gateway::grace_part(double ratio) const
{
    return std::chrono::duration_cast<duration>(settings_.grace * ratio);
}

void gateway::check_leave_progress()
{
    const duration since = timers_.now() - leaving_since_;
    const bool admitting = since < grace_part(gateway_constants::admission_grace_ratio);
    const bool over = since >= grace_part(gateway_constants::serving_grace_ratio);
    if (over || (!admitting && requests_.empty())) {
        requests_given_up_ +=
            static_cast<std::uint64_t>(std::distance(requests_.begin(), requests_.end()));
        // Callers get a final status instead of a closed connection.
        while (!requests_.empty())
            requests_.front().finish_for_shutdown();
        caller_server_.close_idle();
        if (caller_server_.session_count() == 0 ||
            since >= grace_part(gateway_constants::sending_grace_ratio)) {
            log_.write(
                log_level::info, "left",
                {{"requests_given_up", requests_given_up_},
                 {"connections_cut", static_cast<std::uint64_t>(caller_server_.session_count())}});
            log_.flush(timers_.now());
            on_left_();
            return;
        }
    }
    leave_timer_.set_after(leave_poll_interval);
}

} // namespace ebonywick
