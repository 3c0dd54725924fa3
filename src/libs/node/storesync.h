// Keeps the store objects of a node up to date: reads, watches and the upkeep of
// the roster, on threads of its own.
#pragma once

#include "logging/logger.h"
#include "membership/membershipagent.h"
#include "node/fleetview.h"
#include "settings/nodesettings.h"
#include "store/objectstoreclient.h"

#include <functional>
#include <memory>

namespace ebonywick {

/// What the node wants to know of one store object at this moment.
struct sync_needs
{
    // Witnesses watch both objects; other hosts learn from their neighbours.
    bool watch = false;
    bool read = false;
    // Version known here.
    object_version version = 0;

    auto operator<=>(const sync_needs&) const = default;
};

struct sync_handlers
{
    std::function<sync_needs(object_kind)> needs;
    std::function<void(object_kind, const stored_object&)> learn;
    std::function<fleet_view_ptr()> view;
    std::function<bool()> is_current;
    std::function<host_status(const host_id&)> status_of;
};

class store_sync
{
public:
    store_sync(const node_settings& settings, incarnation_number incarnation,
               object_store_client& store, logger& log, sync_handlers handlers);
    /// Waits for calls in progress; stop the store client first.
    ~store_sync();
    store_sync(const store_sync&) = delete;
    store_sync& operator=(const store_sync&) = delete;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
