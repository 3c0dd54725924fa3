// Writes the entry of this host into the store, once for each start of the process.
#pragma once

#include "gateway/httpchannel.h"
#include "gateway/storeretry.h"
#include "platform/storecodec.h"

#include <functional>
#include <string>

namespace ebonywick {

/// Retries the write until the store has acknowledged it. The write is idempotent, so it may be
/// retried after a lost reply. Not thread-safe.
class host_registration
{
public:
    host_registration(boost::asio::io_context& loop, timer_queue& timers, const endpoint& store,
                      std::string name, std::string content, std::function<void()> on_registered);

    void start();
    /// Deletes the entry. Not retried.
    void withdraw();
    [[nodiscard]] bool done() const { return done_; }

private:
    void write();

    endpoint store_;
    std::string name_;
    std::string content_;
    std::function<void()> on_registered_;
    timer_queue& timers_;
    http_channel channel_;
    loop_timer pause_timer_;
    // The next write creates the entry; otherwise it replaces an existing one.
    bool create_next_ = true;
    bool done_ = false;
    store_retry retry_;
};

} // namespace ebonywick
