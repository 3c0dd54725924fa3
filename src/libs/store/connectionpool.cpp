// Acquisition, release and closing of the pooled connections, which are cpp-httplib clients.
#include "store/connectionpool.h"

#include <httplib.h>

#include <algorithm>
#include <utility>

namespace ebonywick {

connection_pool::connection_pool(endpoint address, std::size_t limit, duration timeout)
    : address_{std::move(address)}, limit_{limit}, timeout_{timeout}
{
}

connection_pool::~connection_pool()
{
    stop();
}

std::unique_ptr<httplib::Client> connection_pool::acquire(duration timeout)
{
    std::unique_lock lock{mutex_};
    const auto available = [this] {
        return stopped_ || in_use_.size() < limit_;
    };
    if (!changed_.wait_for(lock, timeout_, available) || stopped_)
        return nullptr;
    std::unique_ptr<httplib::Client> connection;
    if (idle_.empty()) {
        connection = make_connection();
    } else {
        connection = std::move(idle_.back());
        idle_.pop_back();
    }
    connection->set_read_timeout(timeout);
    connection->set_write_timeout(timeout);
    in_use_.push_back(connection.get());
    return connection;
}

void connection_pool::release(std::unique_ptr<httplib::Client> connection, bool healthy)
{
    // Destroyed after the lock is released, since closing a connection may block.
    std::vector<std::unique_ptr<httplib::Client>> closing;
    {
        const std::lock_guard lock{mutex_};
        std::erase(in_use_, connection.get());
        if (!healthy)
            closing.swap(idle_);
        if (healthy && !stopped_)
            idle_.push_back(std::move(connection));
        else
            closing.push_back(std::move(connection));
    }
    changed_.notify_all();
}

void connection_pool::stop()
{
    std::unique_lock lock{mutex_};
    stopped_ = true;
    changed_.notify_all();
    // Client::stop() has no effect on a call that has not opened its connection yet, so it is
    // repeated until no call is left.
    while (!in_use_.empty()) {
        for (httplib::Client* it : in_use_)
            it->stop();
        changed_.wait_for(lock, std::chrono::milliseconds{5}, [this] { return in_use_.empty(); });
    }
    idle_.clear();
}

std::unique_ptr<httplib::Client> connection_pool::make_connection() const
{
    auto connection = std::make_unique<httplib::Client>(address_.ip, address_.port);
    connection->set_keep_alive(true);
    connection->set_tcp_nodelay(true);
    connection->set_connection_timeout(timeout_);
    // The caller passes an encoded path.
    connection->set_url_encode(false);
    return connection;
}

} // namespace ebonywick
