// Reads and watches the store objects of a node and writes changes of the roster,
// on threads of its own.
#pragma once

#include "logging/logger.h"
#include "membership/membershipagent.h"
#include "node/fleetview.h"
#include "settings/nodesettings.h"
#include "store/objectstoreclient.h"

#include <functional>
#include <memory>

namespace ebonywick {

/// What has to be done for one store object at this time.
struct sync_needs
{
    // Witnesses watch both objects; other hosts receive them from their neighbours.
    bool watch = false;
    // The object is to be read because a newer version exists, none is known, or the store may have
    // been restored from an older copy.
    bool read = false;
    // Newest state that this host knows, with its host_version(); version 0 if none.
    stored_object known;

    auto operator<=>(const sync_needs&) const = default;
};

/// Called on the threads of store_sync.
struct sync_handlers
{
    std::function<sync_needs(object_kind)> needs;
    /// Called with a host_version() that is newer than the one known, or was just written.
    std::function<void(object_kind, const stored_object&)> on_object;
    /// The newest state that this host knows.
    std::function<stored_object(object_kind)> known;
    std::function<fleet_view_ptr()> view;
    std::function<bool()> is_current;
    std::function<host_status(const host_id&)> status_of;
};

/// The constructor starts the threads.
class store_sync
{
public:
    store_sync(const node_settings& settings, incarnation_number incarnation,
               object_store_client& store, logger& log, sync_handlers handlers);
    /// Waits for store calls in progress; stop the store client first, which ends
    /// them.
    ~store_sync();
    store_sync(const store_sync&) = delete;
    store_sync& operator=(const store_sync&) = delete;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
