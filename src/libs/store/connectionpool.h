// Pool of persistent HTTP connections to one address, shared by the threads of a process.
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

/// Thread-safe. Each connection serves one call at a time.
class connection_pool
{
public:
    /// At most `limit` connections are open at once. `timeout` bounds the attempt to connect and
    /// the wait for a free connection.
    connection_pool(endpoint address, std::size_t limit, duration timeout);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// Hands out a connection whose reads and writes wait at most `timeout`; null if none became
    /// free within the pool's timeout or the pool is stopped. It must be handed back with
    /// release().
    [[nodiscard]] std::unique_ptr<httplib::Client> acquire(duration timeout);
    /// Takes back a connection from acquire(). If it is not `healthy`, it is closed together
    /// with all idle ones: a failed call is often the first sign that the peer no longer answers
    /// on any open connection, and each of them would cost a caller a timeout.
    void release(std::unique_ptr<httplib::Client> connection, bool healthy);
    /// Aborts the calls in progress and returns when all connections are handed back.
    void stop();

private:
    [[nodiscard]] std::unique_ptr<httplib::Client> make_connection() const;

    const endpoint address_;
    const std::size_t limit_;
    const duration timeout_;
    std::mutex mutex_;
    // Signalled when a connection is handed back and when the pool stops.
    std::condition_variable changed_;
    // All members below are guarded by mutex_.
    std::vector<std::unique_ptr<httplib::Client>> idle_;
    // Owned by the callers of acquire(). idle_.size() + in_use_.size() <= limit_.
    std::vector<httplib::Client*> in_use_;
    bool stopped_ = false;
};

} // namespace ebonywick
