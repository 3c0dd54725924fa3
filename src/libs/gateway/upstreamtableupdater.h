// Applies the store's upstream entries to the upstream table.
#pragma once

#include "gateway/timerqueue.h"
#include "logging/eventlooplogger.h"
#include "metrics/gatewaymetrics.h"
#include "platform/storecodec.h"
#include "upstreams/upstreamtable.h"

#include <map>
#include <vector>

namespace ebonywick {

/// An upstream whose entry has disappeared stays in the table for a while as a last resort,
/// because entries also lapse during an outage of the store. Not thread-safe.
class upstream_table_updater
{
public:
    upstream_table_updater(upstream_table& table, timer_queue& timers, event_loop_logger& log,
                           gateway_metrics& metrics);

    /// The complete collection; upstreams that are not in it have disappeared.
    void on_listed(const std::vector<platform::stored_item>& items);
    void on_changed(const std::vector<platform::stored_item>& items);
    /// Changes of items that had time to come back; missing upstreams are removed at once.
    void on_settled(const std::vector<platform::stored_item>& items);

private:
    void apply(const platform::stored_item& item);
    // The upstream may no longer be as its earlier entry said, so the entry counts as removed.
    void on_unreadable(const platform::stored_item& item, std::string_view reason);
    void mark_lapsing(const upstream_id& id);
    void remove_lapsed();

    upstream_table& table_;
    timer_queue& timers_;
    event_loop_logger& log_;
    gateway_metrics& metrics_;
    // Revisions of unreadable entries that have been logged.
    std::map<upstream_id, std::uint64_t> unreadable_;
    // When upstreams whose entries have disappeared are removed from the table.
    std::map<upstream_id, time_point> removal_times_;
    loop_timer removal_timer_;
};

} // namespace ebonywick
