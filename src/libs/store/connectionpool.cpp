// Pool of cpp-httplib clients.
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
    const auto usable = [this] {
        return stopped_ || in_use_.size() < limit_;
    };
    if (!changed_.wait_for(lock, timeout_, usable) || stopped_)
        return nullptr;
    std::unique_ptr<httplib::Client> found;
    if (idle_.empty()) {
        found = connect();
    } else {
        found = std::move(idle_.back());
        idle_.pop_back();
    }
    found->set_read_timeout(timeout);
    found->set_write_timeout(timeout);
    in_use_.push_back(found.get());
    return found;
}

void connection_pool::release(std::unique_ptr<httplib::Client> connection, bool healthy)
{
    // Closed outside the lock.
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
    // Aborting a call that has not opened its connection yet has no effect, so
    // it is repeated until no call is left.
    while (!in_use_.empty()) {
        for (httplib::Client* it : in_use_)
            it->stop();
        changed_.wait_for(lock, std::chrono::milliseconds{5}, [this] { return in_use_.empty(); });
    }
    idle_.clear();
}

std::unique_ptr<httplib::Client> connection_pool::connect() const
{
    auto made = std::make_unique<httplib::Client>(address_.ip, address_.port);
    made->set_keep_alive(true);
    made->set_tcp_nodelay(true);
    made->set_connection_timeout(timeout_);
    // The caller has encoded the path.
    made->set_url_encode(false);
    return made;
}

} // namespace ebonywick
