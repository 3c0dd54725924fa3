// An entry host: HTTP servers, the request fan-out, upstream connections, heartbeats and the
// watches of the store, all on one event loop.
#pragma once

#include "customers/keyfreshness.h"
#include "customers/keytable.h"
#include "customers/quotashares.h"
#include "gateway/callerrequest.h"
#include "gateway/collectionwatch.h"
#include "gateway/heartbeatlink.h"
#include "gateway/hostregistration.h"
#include "gateway/httpserver.h"
#include "gateway/upstreampool.h"
#include "gateway/upstreamtableupdater.h"
#include "logging/eventlooplogger.h"
#include "metrics/gatewaymetrics.h"
#include "peers/digestqueries.h"
#include "peers/peertable.h"
#include "platform/httpcodec.h"
#include "quarantine/crashattribution.h"
#include "quarantine/quarantine.h"
#include "rollout/rollouttable.h"
#include "settings/gatewaysettings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace ebonywick {

/// Not thread-safe; all of it runs on `loop`.
class gateway
{
public:
    gateway(boost::asio::io_context& loop, timer_queue& timers, const gateway_settings& settings,
            event_loop_logger& log, std::uint64_t seed);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    void start();
    /// Applies the settings that may change at run time: extra-call budget, log level, grace
    /// period and seeds.
    void apply(const gateway_settings& settings);
    /// Drains and stops within the grace period, then calls `finished`. Later calls have no
    /// effect.
    void leave(std::function<void()> finished);

private:
    void on_caller_request(http_exchange exchange);
    // Sets the customer and the priority of `plan` by the key of the request. False if it has
    // refused the request.
    [[nodiscard]] bool identify_customer(http_exchange& exchange,
                                         const platform::caller_request_header& header,
                                         fan_out_plan& plan);
    // Replaces the keys of a configuration by a table of their digests.
    [[nodiscard]] key_table take_keys(routing_configuration& from) const;
    // Notes that this host, or the sender of a message, has no newer keys.
    void confirm_keys(time_point now);
    void confirm_keys(const peer_message& by, time_point now);
    // Takes a token of the quota of the plan's customer. False if it has refused the request.
    [[nodiscard]] bool within_quota(http_exchange& exchange, const std::string& id,
                                    const std::string& customer);
    // Rejects a request that crashes upstreams; false if it has. Else sets how often it may be
    // sent.
    [[nodiscard]] bool outside_quarantine(http_exchange& exchange, request_name& name,
                                          fan_out_plan& plan);
    void on_call_ended(const upstream_pointer& of, const request_run& run, call_evidence evidence);
    // The upstream has ended while these requests ran on it.
    void on_crash(const upstream_pointer& of, const std::vector<crash_record>& records);
    // `source` is "own" or "host".
    void log_quarantine(const std::vector<quarantine_change>& changes, std::string_view source);
    // Tells the other hosts at once what is new of requests that crash upstreams.
    void tell_crashes();
    void share_quotas(sharing_hosts calling, time_point now);
    // Tells the hosts that divide the quotas with this one of the demand here.
    void exchange_demand();
    [[nodiscard]] static quota_bound quota_bound_of(const gateway_settings& settings);
    [[nodiscard]] static key_trust key_trust_of(const gateway_settings& settings);
    void on_readiness(http_exchange exchange);
    void on_directory(http_exchange exchange);
    void on_metrics(http_exchange exchange);
    void on_control(http_exchange exchange);
    // Registers this host once the list of hosts is known, or is not known in time.
    void begin_registration();
    // Starts reading the store, or lets the relays of a large fleet pass on its state. Called
    // when the other hosts had time to register.
    void begin_reading();
    void start_watches();
    // Reads newer changes from another host: if this one does not watch the store, or if they
    // have not arrived from the store.
    void follow_peers(time_point now);
    // Logs when this host is behind the others for long, and when it no longer is.
    void note_behind(time_point now);
    // Reads what other hosts retain that a restored store has lost; once in an epoch, and only if
    // this host did not know the state before it.
    void read_retained(time_point now);
    // Reads what a host has after `since`. If `retained_epoch` is not 0, the snapshot includes what
    // the host retains in that epoch.
    void read_snapshot(const endpoint& source, const applied_revisions& since,
                       std::uint64_t retained_epoch);
    // False if the reply is not a snapshot.
    bool adopt_snapshot(const endpoint& source, const std::optional<http_message>& reply);
    void log_snapshot_read(const endpoint& source, std::string_view outcome,
                           const std::string& adopted);
    void refuse(http_exchange& exchange, int status, std::string_view reason,
                std::string_view request_id, std::optional<duration> retry_after = {});
    // Takes over what a reply says about the state of its upstream.
    void on_reply_reported(const upstream_pointer& from, const platform::decoded_reply& reply);
    // `source` is "reply" or "host".
    void on_leaving_stated(const upstream_pointer& by, std::string_view source);
    void on_pause_stated(const upstream_pointer& by, duration pause);
    void on_connection_refused(const upstream_pointer& by);
    // `source` as in on_leaving_stated().
    void on_limit_stated(const upstream_pointer& by, const stated_limit& limit,
                         time_point stated_at, std::string_view source);
    void on_configuration(const std::vector<platform::stored_item>& items);
    void on_removed_domains(const std::vector<platform::stored_item>& items, bool is_full_list);
    void on_rollouts(const std::vector<platform::stored_item>& items, bool is_full_list);
    // False if the order cannot be read.
    bool read_order(const platform::stored_item& item);
    // Notes the versions of upstreams whose entries have changed.
    void note_versions(const std::vector<platform::stored_item>& items);
    [[nodiscard]] rollout_surroundings surroundings_of(const rollout& it, time_point now);
    // Judges the counts, applies the stages of all roll-outs to the upstreams, and writes the
    // status that is due.
    void advance_rollouts();
    // Logs a new stage; false if it is the same as before.
    bool note_stage(const rollout& it, time_point now);
    void on_rollout_timer();
    // Sends the counts of this host to the other hosts that call upstreams.
    void send_rollout_reports(time_point now);
    void on_rollout_reports(const peer_message& message, time_point now);
    // How long this host leaves the write of a status to the hosts before it.
    [[nodiscard]] duration rollout_write_delay(time_point now);
    void write_rollout_status(time_point now);
    void send_rollout_status(const rollout_order& order, rollout_stage stage);
    void adopt_written_order(const std::string& body);
    // All collections that this host reads.
    [[nodiscard]] std::vector<collection_watch*> watches();
    void on_hosts(const std::vector<platform::stored_item>& items, bool is_full_list);
    [[nodiscard]] collection_watch& watch_of(platform::store_collection collection);
    void on_store_contact_changed(platform::store_collection collection, std::string_view reason);
    void on_store_epoch(platform::store_collection collection, std::uint64_t epoch);
    void on_restored(platform::store_collection collection, const collection_copy& copy);
    void on_settled(platform::store_collection collection,
                    const std::vector<platform::stored_item>& items);
    void on_heartbeat_due();
    void on_peer_message(const peer_message& message, const endpoint& from);
    // Tells the other hosts at once of changes that they do not have yet.
    void announce_change();
    // Tells the hosts for which this relay is responsible of changes that were announced to it.
    void pass_on_announcement();
    void send_announcement(const std::vector<endpoint>& to);
    // Asks relays for digests; only in a large fleet.
    void query_relays(time_point now);
    [[nodiscard]] host_heartbeat own_heartbeat() const;
    // A heartbeat with what the other hosts need to know besides.
    [[nodiscard]] peer_message own_message();
    void update_watch_freshness(time_point now);
    void warm_connections();
    // A revision of each copy in the newest epoch among them; 0 for copies of earlier epochs.
    [[nodiscard]] applied_revisions
    revisions(const std::function<std::uint64_t(const collection_copy&)>& revision_of) const;
    [[nodiscard]] applied_revisions applied() const;
    // Revisions of the local copies.
    [[nodiscard]] applied_revisions known() const;
    // Watches the store and is in contact with it.
    [[nodiscard]] bool reads_store() const;
    // Logs what callers have lost for want of room, if that has changed.
    void log_cut_callers(time_point now);
    void check_leave_progress();
    [[nodiscard]] duration grace_part(double ratio) const;
    // Whether this host, which is leaving, can still answer a request that arrives now.
    [[nodiscard]] bool can_end_before_leaving(const route& via, duration budget, time_point now);
    [[nodiscard]] collection_handlers configuration_handlers();
    [[nodiscard]] collection_handlers upstream_handlers();
    // Checks that no collection has missed a change up to renewed_revision_.
    void verify_collections();
    // Registers this host again if a restored store has lost its entry.
    void repeat_registration();
    [[nodiscard]] collection_handlers handlers_for(
        const std::function<void(const std::vector<platform::stored_item>&, bool is_full_list)>&
            apply);
    // The configuration, the upstreams and the removed failure domains are known.
    [[nodiscard]] bool knows_state() const;
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::size_t connection_limit(const upstream& to) const;
    [[nodiscard]] const service_name& pick_weighted_service(const service_choice& choice);

    timer_queue& timers_;
    gateway_settings settings_;
    event_loop_logger& log_;
    random_source random_;
    incarnation_number incarnation_;
    gateway_metrics metrics_;
    peer_table peers_;
    digest_queries queries_;
    upstream_table upstreams_;
    extra_budget budget_;
    call_statistics statistics_;
    admission_state admission_;
    rollout_table rollouts_;
    upstream_pool pool_;
    upstream_table_updater upstream_updater_;
    // Null until a configuration is known.
    route_table_pointer routes_;
    digest_secret key_secret_;
    // Keys of the customers of routes_.
    key_table keys_;
    key_freshness key_freshness_;
    quota_shares quotas_;
    crash_attribution attribution_;
    quarantine quarantine_;
    // Refers to on_call_ended(); passed to all requests.
    std::function<void(const upstream_pointer&, const request_run&, call_evidence)> call_ended_;
    // demand_timer_ is set.
    bool exchanges_demand_ = false;
    std::set<failure_domain_id> domains_out_;
    // Lifetimes of upstreams at which a refused connection has been logged.
    std::set<lifetime_key> refusing_;
    collection_watch configuration_watch_;
    collection_watch upstream_watch_;
    collection_watch domain_watch_;
    collection_watch host_watch_;
    // Not started unless roll-outs are served.
    collection_watch rollout_watch_;
    http_channel rollout_channel_;
    loop_timer rollout_timer_;
    time_point next_status_write_{};
    // Since when a write of a status has been due, with the order and the stage.
    std::map<service_name, std::pair<std::pair<std::uint64_t, rollout_stage>, time_point>>
        write_due_since_;
    // Order and stage that were logged last.
    std::map<service_name, std::pair<std::uint64_t, rollout_stage>> noted_stages_;
    host_registration registration_;
    heartbeat_link heartbeat_link_;
    std::shared_ptr<session_keeper> keeper_;
    // As last logged, and when.
    keeper_counts logged_counts_;
    time_point counts_logged_at_{};
    http_server caller_server_;
    http_server readiness_server_;
    http_server directory_server_;
    http_server metrics_server_;
    http_server control_server_;
    http_channel snapshot_channel_;
    time_point next_snapshot_read_{};
    // The host whose snapshot could not be read last.
    std::optional<endpoint> failed_snapshot_source_;
    // Since when another host has had changes that this one lacks; time_point::max() if none has.
    time_point behind_since_ = time_point::max();
    // That this host is behind has been logged.
    bool behind_logged_ = false;
    time_point snapshot_read_at_{};
    // Relays pass on the state of the store; this host does not watch it.
    bool follows_ = false;
    // This host is one of those that read the newest state, and states its clock to the others.
    bool reads_newest_ = false;
    // When another live host was last known to read the store.
    time_point other_reader_seen_{};
    bool registration_begun_ = false;
    // When begin_reading() was called.
    time_point reading_since_{};
    bool reading_begun_ = false;
    loop_timer reading_timer_;
    loop_timer heartbeat_timer_;
    time_point started_at_{};
    // When the next heartbeat is due; its lateness shows how busy the event loop is.
    time_point heartbeat_due_{};
    // After the event loop stood still, datagrams that waited meanwhile are ignored until then:
    // they would make their senders seem alive.
    time_point ignore_datagrams_until_{};
    // The event loop was late with the last heartbeat.
    bool strained_ = false;
    // Hosts among which limits are divided; updated with each heartbeat.
    std::size_t sharing_hosts_ = 1;
    bool is_entry_host_ = false;
    // Number of registered hosts that are not entry hosts.
    std::size_t non_entry_hosts_ = 0;
    // Newest epoch of the store that its replies have shown; see platform::decode_store_epoch().
    std::uint64_t store_epoch_ = 0;
    // Epoch at whose beginning this host knew the state before it, or has read what other hosts
    // retain.
    std::uint64_t retained_epoch_ = 0;
    // Newest changes that other hosts had applied when this one sent its last heartbeat.
    applied_revisions newest_peer_changes_;
    loop_timer log_timer_;
    loop_timer leave_timer_;
    loop_timer announcement_timer_;
    loop_timer follow_timer_;
    loop_timer demand_timer_;
    loop_timer crash_timer_;
    // Another host has announced a change, which is to be read from it without the usual wait for
    // the store.
    bool change_announced_ = false;
    // What this host has passed on last of the changes that were announced to it.
    applied_revisions passed_on_;
    loop_timer verification_timer_;
    // Store revision that the last renewed watch of the configuration has stated.
    std::uint64_t renewed_revision_ = 0;
    revision_ledger known_changes_;
    std::function<void()> on_left_;
    // Requests that this host has ended without a result because it is leaving.
    std::uint64_t requests_given_up_ = 0;
    // time_point::max() unless the host is leaving.
    time_point leaving_since_ = time_point::max();
    boost::intrusive::list<caller_request, boost::intrusive::constant_time_size<false>> requests_;
};

} // namespace ebonywick
