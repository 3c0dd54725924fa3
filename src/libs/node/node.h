// One node: all parts put together, from start to drain.
#pragma once

#include "logging/logger.h"
#include "settings/nodesettings.h"

#include <cstddef>
#include <memory>

namespace ebonywick {

class node
{
public:
    node(const node_settings& settings, logger& log);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Binds all addresses and starts serving. Throws std::exception if an
    /// address is taken.
    void start();
    /// Begins a graceful shutdown.
    void begin_drain();
    /// Moves the shutdown on; true when it is complete. To be called every 10 to
    /// 100 ms.
    [[nodiscard]] bool advance_drain();
    /// Callers' requests in progress.
    [[nodiscard]] std::size_t active_requests() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
