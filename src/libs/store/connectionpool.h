// Kept HTTP connections to one address, shared by the threads of a process.
#pragma once

#include "base/clock.h"
#include "settings/declaration.h"

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace httplib {
class Client;
}

namespace ebonywick {

/// Thread-safe. A connection is used by one call at a time.
class connection_pool
{
public:
    /// `limit`: connections open at once. `timeout` bounds connecting and the
    /// wait for a free connection.
    connection_pool(endpoint address, std::size_t limit, duration timeout);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// A connection whose reads and writes wait at most `timeout`; null if none
    /// became free in time or the pool is stopped.
    [[nodiscard]] std::unique_ptr<httplib::Client> acquire(duration timeout);
    /// Takes back a connection from acquire(). `healthy` false closes it together
    /// with all idle ones: a failed call is often the first sign that open
    /// connections have gone silent, and each would cost a caller a timeout.
    void release(std::unique_ptr<httplib::Client> connection, bool healthy);
    /// Aborts calls in progress and returns once they have ended.
    void stop();

private:
    [[nodiscard]] std::unique_ptr<httplib::Client> connect() const;

    const endpoint address_;
    const std::size_t limit_;
    const duration timeout_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::unique_ptr<httplib::Client>> idle_;
    // idle_.size() + in_use_.size() <= limit_.
    std::vector<httplib::Client*> in_use_;
    bool stopped_ = false;
};

} // namespace ebonywick
