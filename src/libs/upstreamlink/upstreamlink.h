// A persistent HTTP connection to an upstream with a thread of its own, and the
// sender of cancellations.
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

/// A call to be sent on a link.
struct link_call
{
    call_id id;
    shard_name shard;
    snapshot wanted;
    bool idempotent = true;
    // Longest time from the write of the call to its whole reply.
    duration timeout;
    std::string body;
    // Sent with a call that is not idempotent; if empty, the request id is sent.
    std::string idempotency_key;

    auto operator<=>(const link_call&) const = default;
};

/// Result of a call. With status `lost` the call may have run, unless `not_sent`.
struct link_reply
{
    call_id id;
    std::uint32_t link = 0;
    reply_status status = reply_status::lost;
    // The upstream does not hold the wanted version and did not run the call.
    bool version_not_held = false;
    // Nothing was written: with status `cancelled` because may_send refused, with
    // status `lost` because the connection was closed.
    bool not_sent = false;
    duration latency = duration::zero();
    snapshot from;
    shard_name shard;
    std::vector<index_version> versions;
    reported_state reported = reported_state::unknown;
    std::uint64_t boot_id = 0;
    std::uint32_t load = 0;
    // Hits as a serialized JSON array; for an order the whole reply.
    std::string body;

    auto operator<=>(const link_reply&) const = default;
};

struct link_handlers
{
    // All are called on the link's thread, so they must not destroy the link. The
    // reply to the first health request is passed to on_probe right before on_opened.
    std::function<void(const link_reply&)> on_reply;
    std::function<void(const link_probed&)> on_probe;
    std::function<void(const link_opened&)> on_opened;
    // Called right before a call is written; the call is not sent if it returns false.
    std::function<bool(duration timeout)> may_send;
};

/// Thread-safe. The constructor starts the thread, which connects; a connection that
/// was lost is not opened again.
class upstream_link
{
public:
    upstream_link(std::uint32_t number, const endpoint& upstream, link_handlers handlers);
    /// Closes the connection, which ends the call in progress, and joins the thread;
    /// the caller must not hold a lock that the handlers take.
    ~upstream_link();
    upstream_link(const upstream_link&) = delete;
    upstream_link& operator=(const upstream_link&) = delete;

    /// Starts a call or a health probe; the result is passed to on_reply or on_probe.
    /// At most one of them may be in progress.
    void start(link_call call);
    void probe(duration timeout);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Sends `DELETE /calls/ID` from one thread for all upstreams, on a persistent
/// connection to each that carries nothing else. Best effort: cancellations are
/// dropped when the queue is full or the upstream has recently failed to answer.
/// Thread-safe.
class cancel_sender
{
public:
    cancel_sender();
    /// Ends the request in progress and drops those in the queue.
    ~cancel_sender();
    cancel_sender(const cancel_sender&) = delete;
    cancel_sender& operator=(const cancel_sender&) = delete;

    /// Queues a cancellation and returns at once.
    void cancel(const endpoint& upstream, const call_id& id);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
