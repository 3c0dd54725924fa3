// Queue and thread that send cancellations to upstreams.
#include "upstreamlink/upstreamlink.h"

#include "upstreamlink/linkchannel.h"

#include <fmt/format.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace ebonywick {

namespace {

constexpr std::size_t max_queued_cancellations = 1024;
constexpr duration cancel_timeout = std::chrono::milliseconds{100};
// Cancellations for an upstream are dropped for this time after one failed, so that
// an unresponsive upstream does not delay the cancellations for all others.
constexpr duration failure_pause = std::chrono::milliseconds{1000};
// Interval at which the destructor repeats stop() until the thread has ended.
constexpr duration stop_interval = std::chrono::milliseconds{5};

/// Connection to one upstream.
struct upstream_client
{
    explicit upstream_client(const endpoint& upstream) : to(upstream), channel(upstream, {}) {}

    // False if the upstream has not answered in time.
    bool cancel(const call_id& id)
    {
        if (!channel.is_open() && !channel.connect(cancel_timeout))
            return false;
        std::string request = fmt::format("DELETE /calls/{} HTTP/1.1\r\n", to_string(id));
        append_field(request, "Host", to_string(to));
        request.append("Content-Length: 0\r\n\r\n");
        return channel.exchange(request, cancel_timeout).has_value();
    }

    endpoint to;
    link_channel channel;
    time_point paused_until{};
};

} // namespace

struct cancel_sender::state
{
    void run();

    std::mutex mutex;
    std::condition_variable wake;
    // Guarded by mutex, up to `current`.
    std::deque<std::pair<endpoint, call_id>> queued;
    bool stopping = false;
    bool ended = false;
    // Elements are never removed while the thread runs, so that a client can be used
    // without the mutex.
    std::map<endpoint, upstream_client> clients;
    // Channel that is in use at this time; null if none.
    link_channel* current = nullptr;
    std::thread thread;
};

void cancel_sender::state::run()
{
    std::unique_lock guard{mutex};
    for (;;) {
        wake.wait(guard, [&] { return stopping || !queued.empty(); });
        if (stopping)
            break;
        const auto [upstream, id] = std::move(queued.front());
        queued.pop_front();
        upstream_client& to = clients.try_emplace(upstream, upstream).first->second;
        if (boot_clock::now() < to.paused_until)
            continue;
        current = &to.channel;
        guard.unlock();
        const bool answered = to.cancel(id);
        guard.lock();
        current = nullptr;
        if (!answered)
            to.paused_until = boot_clock::now() + failure_pause;
    }
    ended = true;
    wake.notify_all();
}

cancel_sender::cancel_sender() : state_(std::make_unique<state>())
{
    state_->thread = std::thread{[this] {
        state_->run();
    }};
}

cancel_sender::~cancel_sender()
{
    {
        std::unique_lock guard{state_->mutex};
        state_->stopping = true;
        state_->wake.notify_all();
        while (!state_->wake.wait_for(guard, stop_interval, [&] { return state_->ended; })) {
            if (state_->current != nullptr)
                state_->current->stop();
        }
    }
    state_->thread.join();
}

void cancel_sender::cancel(const endpoint& upstream, const call_id& id)
{
    const std::scoped_lock guard{state_->mutex};
    if (state_->queued.size() >= max_queued_cancellations)
        return;
    state_->queued.emplace_back(upstream, id);
    state_->wake.notify_all();
}

} // namespace ebonywick
