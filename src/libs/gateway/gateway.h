// An entry host on the platform: composes servers, decisions and the store's view on one
// event loop.
#pragma once

#include "gateway/callerrequest.h"
#include "gateway/collectionwatch.h"
#include "gateway/heartbeatlink.h"
#include "gateway/hostregistration.h"
#include "gateway/httpserver.h"
#include "gateway/upstreamdirectory.h"
#include "gateway/upstreampool.h"
#include "logging/looplog.h"
#include "metrics/gatewaymetrics.h"
#include "peers/peertable.h"
#include "settings/gatewaysettings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace ebonywick {

/// Not thread-safe; all of it runs on `loop`.
class gateway
{
public:
    gateway(boost::asio::io_context& loop, timer_queue& timers, const gateway_settings& settings,
            loop_log& log, std::uint64_t seed);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    void start();
    /// Takes over what may change while the process runs.
    void apply(const gateway_settings& settings);
    /// Leaves in good order; `finished` is called when nothing is left to do.
    void leave(std::function<void()> finished);

private:
    void on_caller_request(http_exchange exchange);
    void on_readiness(http_exchange exchange);
    void on_directory(http_exchange exchange);
    void on_metrics(http_exchange exchange);
    void on_control(http_exchange exchange);
    // While the store is out of contact, reads what other hosts know.
    void follow_others(time_point now);
    void adopt_state(const endpoint& source, const std::optional<http_message>& reply);
    void refuse(http_exchange& exchange, int status, std::string_view reason,
                std::string_view request_id);
    void on_configuration(const std::vector<platform::stored_item>& items);
    void on_removed_domains(const std::vector<platform::stored_item>& items, bool whole);
    void on_hosts(const std::vector<platform::stored_item>& items, bool whole);
    void on_store_contact(platform::object_kind kind, std::string_view reason);
    void beat();
    void follow_newest(time_point now);
    void warm_connections();
    // Divides the rates that cold upstreams bear among the hosts.
    void share_cold_rates();
    [[nodiscard]] applied_revisions applied() const;
    void advance_leave();
    [[nodiscard]] collection_handlers handlers_for(
        const std::function<void(const std::vector<platform::stored_item>&, bool whole)>& apply);
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::size_t connection_limit(const upstream& to) const;
    [[nodiscard]] const service_name& draw_service(const service_choice& choice);

    timer_queue& timers_;
    gateway_settings settings_;
    loop_log& log_;
    random_source random_;
    incarnation_number incarnation_;
    gateway_metrics metrics_;
    peer_table peers_;
    upstream_table upstreams_;
    extra_budget budget_;
    call_statistics statistics_;
    upstream_pool pool_;
    upstream_directory upstream_directory_;
    // Null until a configuration is known.
    route_table_pointer routes_;
    std::set<failure_domain_id> domains_out_;
    collection_watch configuration_watch_;
    collection_watch upstream_watch_;
    collection_watch domain_watch_;
    collection_watch host_watch_;
    host_registration registration_;
    heartbeat_link heartbeats_;
    http_server callers_;
    http_server readiness_;
    http_server directory_;
    http_server metrics_server_;
    http_server control_;
    http_channel state_channel_;
    time_point next_state_read_{};
    loop_timer beat_timer_;
    time_point started_at_{};
    // When the next heartbeat should be sent.
    time_point beat_due_{};
    // Renewed with each heartbeat.
    std::size_t sharing_hosts_ = 1;
    bool is_entry_host_ = false;
    // Some hosts are no entry hosts.
    bool others_exist_ = false;
    // Changes that others had applied at the last heartbeat.
    applied_revisions newest_seen_;
    loop_timer log_timer_;
    loop_timer leave_timer_;
    std::function<void()> left_;
    time_point leaving_since_ = time_point::max();
    boost::intrusive::list<caller_request, boost::intrusive::constant_time_size<false>> requests_;
};

} // namespace ebonywick
