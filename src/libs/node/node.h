// A node: owns all parts of a host's process and runs them from start to drain.
#pragma once

#include "logging/logger.h"
#include "settings/nodesettings.h"

#include <cstddef>
#include <memory>

namespace ebonywick {

/// start(), begin_drain() and advance_drain() are called from one thread.
class node
{
public:
    node(const node_settings& settings, logger& log);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Binds all addresses and starts serving. Throws std::exception if an
    /// address is in use.
    void start();
    /// Begins a graceful shutdown: the host announces that it leaves and asks
    /// callers to close their connections.
    void begin_drain();
    /// Advances the shutdown as far as the work in progress allows; true when it is
    /// complete. To be called every 10 to 100 ms.
    [[nodiscard]] bool advance_drain();
    /// Callers' requests in progress.
    [[nodiscard]] std::size_t active_requests() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
