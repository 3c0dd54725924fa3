// HTTP interface of a node for callers and operators.
#pragma once

#include "base/randomsource.h"
#include "logging/logger.h"
#include "metrics/nodemetrics.h"
#include "node/controlplane.h"
#include "node/orderservice.h"
#include "node/queryservice.h"
#include "settings/nodesettings.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>

namespace ebonywick {

/// Parts of the node that the HTTP interface uses; they must outlive it.
struct frontend_dependencies
{
    control_plane& control;
    query_service& queries;
    order_service& orders;
    node_metrics& metrics;
    logger& log;
    /// Values of the gauges at this moment.
    std::function<node_metrics::gauges()> gauges;
    incarnation_number incarnation = 0;
};

/// Thread-safe.
class http_frontend
{
public:
    http_frontend(const node_settings& settings, frontend_dependencies deps);
    ~http_frontend();
    http_frontend(const http_frontend&) = delete;
    http_frontend& operator=(const http_frontend&) = delete;

    /// Starts to listen and returns. Throws std::runtime_error if the address is in
    /// use.
    void start();
    /// Stops the server after the requests in progress are answered.
    void stop();
    /// From now on each response asks the caller to close its connection.
    void close_connections();
    /// From now on requests are refused as not run.
    void refuse_requests();

    /// Callers' requests in progress.
    [[nodiscard]] std::size_t active() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
