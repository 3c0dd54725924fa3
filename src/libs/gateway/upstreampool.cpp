// Reuses idle connections, opens new ones and assigns connections to waiting calls.
#include "gateway/upstreampool.h"

#include <algorithm>
#include <iterator>

namespace ebonywick {

upstream_pool::upstream_pool(
    boost::asio::io_context& loop, timer_queue& timers,
    std::function<std::size_t(const upstream&)> connection_limit,
    std::function<void(const upstream_pointer&, const platform::decoded_reply&)> reported,
    std::function<void(const upstream_pointer&)> leaving,
    std::function<void(const upstream_pointer&)> refused)
    : loop_(loop), timers_(timers),
      connection_limit_(std::move(connection_limit)), events_{
                                                          [this](const auto& it) { on_ready(it); },
                                                          [this](const auto& it) { on_closed(it); },
                                                          std::move(reported), std::move(leaving),
                                                          std::move(refused)}
{
}

upstream_pool::~upstream_pool()
{
    // Pending operations keep connections alive, and their callbacks use the pool.
    while (!connections_.empty())
        connections_.front().detach();
    for (auto& entry : entries_) {
        for (const auto& call : entry.second.waiting)
            call->abandon();
    }
}

upstream_pool::pool_entry& upstream_pool::entry_of(const upstream_pointer& to)
{
    pool_entry& it = entries_[to.get()];
    it.to = to;
    return it;
}

upstream_call_pointer upstream_pool::send(upstream_call_plan plan)
{
    upstream_call_pointer call{new upstream_call{std::move(plan)}};
    const upstream_pointer& to = call->plan().to;
    pool_entry& it = entry_of(to);
    if (const auto connection = take_idle(it, call->plan())) {
        connection->send(call);
        return call;
    }
    it.waiting.push_back(call);
    open_for_waiting(to, it);
    return call;
}

upstream_connection_pointer upstream_pool::take_idle(pool_entry& of, const upstream_call_plan& plan)
{
    std::vector<upstream_connection_pointer> expired;
    std::copy_if(of.idle.begin(), of.idle.end(), std::back_inserter(expired),
                 [](const auto& it) { return it->expired(); });
    for (const auto& it : expired)
        it->close();
    const auto suited = std::find_if(of.idle.rbegin(), of.idle.rend(),
                                     [&](const auto& it) { return it->suits(plan); });
    if (suited == of.idle.rend())
        return {};
    upstream_connection_pointer out = std::move(*suited);
    of.idle.erase(std::next(suited).base());
    return out;
}

void upstream_pool::open_for_waiting(const upstream_pointer& to, pool_entry& of)
{
    if (of.connecting >= of.waiting.size())
        return;
    const std::size_t limit = connection_limit_(*to);
    evict_idle(of, limit);
    if (of.count < limit && of.connecting < of.waiting.size())
        open(to, of);
}

void upstream_pool::evict_idle(pool_entry& of, std::size_t limit)
{
    while (of.count >= limit && !of.idle.empty()) {
        const upstream_connection_pointer oldest = std::move(of.idle.front());
        of.idle.erase(of.idle.begin());
        oldest->close();
    }
}

void upstream_pool::open(const upstream_pointer& to, pool_entry& of)
{
    ++of.count;
    ++of.connecting;
    ++opened_total_;
    ++open_connections_;
    const upstream_connection_pointer connection{
        new upstream_connection{loop_, timers_, to, events_}};
    connections_.push_back(*connection);
    connection->connect();
}

void upstream_pool::drop_ended_calls(pool_entry& of)
{
    while (!of.waiting.empty() && !of.waiting.front()->open())
        of.waiting.pop_front();
}

void upstream_pool::on_ready(const upstream_connection_pointer& connection)
{
    pool_entry& it = entry_of(connection->to());
    if (it.connecting > 0 && !connection->ever_ready()) {
        --it.connecting;
        connection->mark_ready();
    }
    drop_ended_calls(it);
    const auto next = std::find_if(it.waiting.begin(), it.waiting.end(), [&](const auto& call) {
        return call->open() && connection->suits(call->plan());
    });
    if (next != it.waiting.end()) {
        const upstream_call_pointer call = std::move(*next);
        it.waiting.erase(next);
        connection->send(call);
        return;
    }
    if (!connection->to()->usable()) {
        connection->close();
        return;
    }
    it.idle.push_back(connection);
    if (!it.waiting.empty())
        open_for_waiting(connection->to(), it);
}

void upstream_pool::on_closed(const upstream_connection_pointer& connection)
{
    const upstream_pointer to = connection->to();
    pool_entry& it = entry_of(to);
    --it.count;
    --open_connections_;
    std::erase(it.idle, connection);
    if (!connection->ever_ready()) {
        --it.connecting;
        // The connection was refused or timed out: nothing listens there, or the upstream
        // accepts no more connections. If no established connection is left, the waiting
        // calls fail, so that they can go to another upstream.
        std::deque<upstream_call_pointer> failed;
        if (it.count == it.connecting)
            failed.swap(it.waiting);
        for (const auto& call : failed)
            call->end(call_failure::not_sent);
    }
    drop_ended_calls(it);
    if (connection->ever_ready() && !it.waiting.empty() && it.count < connection_limit_(*to) &&
        it.connecting < it.waiting.size())
        open(to, it);
}

void upstream_pool::abandon(const upstream_call_pointer& call)
{
    call->plan_.ended = nullptr;
    if (call->connection_ != nullptr)
        call->connection_->close();
    call->connection_ = nullptr;
}

bool upstream_pool::warm(const upstream_pointer& to)
{
    pool_entry& it = entry_of(to);
    if (it.count > 0)
        return false;
    open(to, it);
    return true;
}

void upstream_pool::check(const upstream_pointer& to)
{
    pool_entry& it = entry_of(to);
    if (it.count < connection_limit_(*to))
        open(to, it);
}

void upstream_pool::trim(duration max_idle)
{
    std::vector<upstream_connection_pointer> unusable;
    for (const auto& entry : entries_) {
        const bool usable = entry.second.to->usable();
        for (const auto& it : entry.second.idle) {
            if (!usable || it->expired() || it->idle_time() >= max_idle)
                unusable.push_back(it);
        }
    }
    for (const auto& it : unusable)
        it->close();
    for (auto it = entries_.begin(); it != entries_.end();) {
        pool_entry& of = it->second;
        drop_ended_calls(of);
        const bool over = of.count == 0 && of.waiting.empty() && !of.to->listed();
        it = over ? entries_.erase(it) : std::next(it);
    }
}

} // namespace ebonywick
