// Registers this host in the store, once for each start.
#pragma once

#include "gateway/httpchannel.h"
#include "gateway/storeretry.h"
#include "platform/storecodec.h"

#include <functional>
#include <string>

namespace ebonywick {

/// Repeats the write until the store has acknowledged it; a repeat after a lost reply
/// writes the same. Not thread-safe.
class host_registration
{
public:
    host_registration(boost::asio::io_context& loop, timer_queue& timers, const endpoint& store,
                      std::string name, std::string content, std::function<void()> registered);

    void start();
    /// Removes the entry; tried once.
    void withdraw();
    [[nodiscard]] bool done() const { return done_; }

private:
    void write();

    endpoint store_;
    std::string name_;
    std::string content_;
    std::function<void()> registered_;
    timer_queue& timers_;
    http_channel channel_;
    loop_timer pause_;
    bool create_ = true;
    bool done_ = false;
    store_retry retry_;
};

} // namespace ebonywick
