// Writes the entry of this host into the store unless an earlier start has written it.
#pragma once

#include "gateway/httpchannel.h"
#include "gateway/storeretry.h"
#include "peers/hostrecord.h"
#include "platform/storecodec.h"

#include <functional>
#include <optional>

namespace ebonywick {

/// Retries the write until the store has acknowledged it. The write is idempotent, so it may be
/// retried after a lost reply. Not thread-safe.
class host_registration
{
public:
    host_registration(boost::asio::io_context& loop, timer_queue& timers, const endpoint& store,
                      host_record own, std::function<void()> on_registered);

    /// `existing` is the entry of an earlier start. It is kept if only its incarnation differs,
    /// because the other hosts learn the new one from heartbeats. An entry with a higher
    /// incarnation, as after the clock went back, is replaced: the others would ignore the
    /// heartbeats.
    void start(const std::optional<host_record>& existing);
    [[nodiscard]] bool done() const { return done_; }
    /// Whether start() would keep the entry `existing` without a write.
    [[nodiscard]] bool is_kept(const std::optional<host_record>& existing) const;

private:
    void write();

    endpoint store_;
    host_record own_;
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
