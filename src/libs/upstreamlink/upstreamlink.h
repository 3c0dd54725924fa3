// One kept HTTP connection to an upstream with its own thread.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "dispatch/upstreamdispatcher.h"
#include "settings/declaration.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ebonywick {

/// A call as the link writes it.
struct link_call
{
    call_id id;
    shard_name shard;
    snapshot wanted;
    bool idempotent = true;
    duration timeout;
    std::string body;
    // Sent with a call that is not idempotent; empty: the request id.
    std::string idempotency_key;

    auto operator<=>(const link_call&) const = default;
};

/// What came back. `status` lost means that the call may have run.
struct link_reply
{
    call_id id;
    std::uint32_t link = 0;
    reply_status status = reply_status::lost;
    // Set when the upstream does not hold the version (it did not run the call).
    bool version_not_held = false;
    // Set when nothing was written: with status cancelled because may_send
    // refused, with status lost because the connection is gone.
    bool not_sent = false;
    duration latency = duration::zero();
    snapshot from;
    shard_name shard;
    std::vector<index_version> versions;
    reported_state reported = reported_state::unknown;
    std::uint64_t boot_id = 0;
    std::uint32_t load = 0;
    // Hits as serialized JSON array; for an order the whole reply.
    std::string body;

    auto operator<=>(const link_reply&) const = default;
};

struct link_handlers
{
    // All are called on the link's thread, which must not destroy the link. The
    // reply to the first health request comes by on_probe right before on_opened.
    std::function<void(const link_reply&)> on_reply;
    std::function<void(const link_probed&)> on_probe;
    std::function<void(const link_opened&)> on_opened;
    // Asked right before a call is written; false: the call is not sent.
    std::function<bool(duration timeout)> may_send;
};

/// Thread-safe. The thread connects when it starts and ends with the link.
class upstream_link
{
public:
    upstream_link(std::uint32_t number, const endpoint& upstream, link_handlers handlers);
    /// Ends the call in progress at the price of the connection. Waits for the
    /// thread, so the caller must not hold a lock that the handlers take. May
    /// wait 500 ms for a connection that is being opened.
    ~upstream_link();
    upstream_link(const upstream_link&) = delete;
    upstream_link& operator=(const upstream_link&) = delete;

    /// At most one call or probe at a time.
    void start(link_call call);
    void probe(duration timeout);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Sends `DELETE /calls/ID` on a connection of its own; one thread for all
/// upstreams, with a kept connection for each. Cancelling is best effort: a full
/// queue drops requests, and so does an upstream that did not answer lately.
class cancel_sender
{
public:
    cancel_sender();
    ~cancel_sender();
    cancel_sender(const cancel_sender&) = delete;
    cancel_sender& operator=(const cancel_sender&) = delete;

    void cancel(const endpoint& upstream, const call_id& id);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
