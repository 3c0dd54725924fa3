// The gate of one upstream at its holder: slots, cold-start limit, queue order
// and the choice of link.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/identifiers.h"
#include "settings/declaration.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace ebonywick {

/// A call as it reaches the gate.
struct dispatcher_call
{
    call_id id;
    caller_id caller;
    request_class traffic = request_class::interactive;
    bool idempotent = true;
    time_point deadline;

    auto operator<=>(const dispatcher_call&) const = default;
};

/// A call was offered to the gate.
struct call_offered
{
    dispatcher_call call;

    auto operator<=>(const call_offered&) const = default;
};

enum class reply_status {
    completed,
    // The upstream refused the call and said that it did not run it.
    shed,
    // The connection failed or stayed silent.
    lost,
    cancelled,
};

/// State that an upstream reports about itself.
enum class reported_state { unknown, cold, warm, leaving };

/// A link finished a call. A call that the link did not send because it was not
/// allowed to is `cancelled` with zero latency. Ignored if the call has ended.
struct call_completed
{
    call_id id;
    std::uint32_t link = 0;
    reply_status status = reply_status::completed;
    // From the write of the call to the whole reply.
    duration latency = duration::zero();
    reported_state reported = reported_state::unknown;
    std::uint64_t boot_id = 0;

    auto operator<=>(const call_completed&) const = default;
};

/// The entry host no longer needs the call.
struct cancel_requested
{
    call_id id;

    auto operator<=>(const cancel_requested&) const = default;
};

/// A health probe on a link ended.
struct link_probed
{
    std::uint32_t link = 0;
    bool answered = false;
    reported_state reported = reported_state::unknown;
    std::uint64_t boot_id = 0;

    auto operator<=>(const link_probed&) const = default;
};

/// A new link was opened, or could not be opened.
struct link_opened
{
    std::uint32_t link = 0;
    bool success = false;

    auto operator<=>(const link_opened&) const = default;
};

/// This host may, or may no longer, dispatch to the upstream.
struct holder_changed
{
    bool held = false;

    auto operator<=>(const holder_changed&) const = default;
};

struct domain_changed
{
    bool out = false;

    auto operator<=>(const domain_changed&) const = default;
};

/// Periodic: expiry of queued calls, probes, release of abandoned slots.
struct dispatcher_tick
{
    auto operator<=>(const dispatcher_tick&) const = default;
};

using dispatcher_event = std::variant<call_offered, call_completed, cancel_requested, link_probed,
                                      link_opened, holder_changed, domain_changed, dispatcher_tick>;

/// Sends the call on the link, with at most `timeout` to its reply.
struct start_call
{
    call_id id;
    std::uint32_t link = 0;
    duration timeout = duration::zero();
    // Time that the call spent in the queue.
    duration waited = duration::zero();

    auto operator<=>(const start_call&) const = default;
};

/// Ends the call at the gate; `reason.kind` says whether it may have run. Each
/// offered call ends by either this action or its call_completed.
struct reject_call
{
    call_id id;
    error reason;

    auto operator<=>(const reject_call&) const = default;
};

/// Tells the upstream to stop the call; its link stays busy until it ends.
struct cancel_on_upstream
{
    call_id id;
    std::uint32_t link = 0;

    auto operator<=>(const cancel_on_upstream&) const = default;
};

struct open_link
{
    std::uint32_t link = 0;

    auto operator<=>(const open_link&) const = default;
};

struct close_link
{
    std::uint32_t link = 0;

    auto operator<=>(const close_link&) const = default;
};

struct probe_link
{
    std::uint32_t link = 0;

    auto operator<=>(const probe_link&) const = default;
};

/// For log and metrics: the cold-start limit changed.
struct limit_changed
{
    std::uint32_t limit = 0;
    std::string reason;

    auto operator<=>(const limit_changed&) const = default;
};

using dispatcher_action = std::variant<start_call, reject_call, cancel_on_upstream, open_link,
                                       close_link, probe_link, limit_changed>;

/// Not thread-safe; the node keeps gates in shards.
class upstream_dispatcher
{
public:
    explicit upstream_dispatcher(const upstream_declaration& upstream);
    ~upstream_dispatcher();
    upstream_dispatcher(const upstream_dispatcher&) = delete;
    upstream_dispatcher& operator=(const upstream_dispatcher&) = delete;

    /// Takes over changed slots, connections or cold concurrency. An upstream with
    /// another address needs a new gate.
    std::vector<dispatcher_action> configure(const upstream_declaration& upstream, time_point now);
    std::vector<dispatcher_action> handle(const dispatcher_event& ev, time_point now);

    /// Median call time of the upstream's service, which the ramp compares with.
    /// Zero: unknown; every reply then counts as timely.
    void set_group_median(duration median);

    [[nodiscard]] std::uint32_t in_flight() const;
    [[nodiscard]] std::uint32_t queued() const;
    [[nodiscard]] std::uint32_t limit() const;
    [[nodiscard]] bool warm() const;
    [[nodiscard]] bool leaving() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
