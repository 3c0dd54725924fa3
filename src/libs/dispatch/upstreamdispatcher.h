// Dispatcher of the calls to one upstream at the host that holds it: concurrency slots,
// cold-start limit, queue order and choice of link. It does no I/O: it takes events and
// returns the actions that its owner executes.
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

/// A call to the upstream, as the dispatcher needs to know it.
struct dispatcher_call
{
    call_id id;
    caller_id caller;
    request_class traffic = request_class::interactive;
    bool idempotent = true;
    time_point deadline;

    auto operator<=>(const dispatcher_call&) const = default;
};

/// A call has arrived. The dispatcher queues, starts or rejects it.
struct call_offered
{
    dispatcher_call call;

    auto operator<=>(const call_offered&) const = default;
};

enum class reply_status {
    completed,
    // The upstream refused the call and reported that it has not run it.
    shed,
    // The connection failed, or no reply came in time.
    lost,
    cancelled,
};

/// State that an upstream reports about itself in replies to calls and probes.
enum class reported_state { unknown, cold, warm, leaving };

/// The call on a link has ended. A call that was cancelled before the link sent it is
/// `cancelled` with zero latency. Ignored if the call is not running.
struct call_completed
{
    call_id id;
    std::uint32_t link = 0;
    reply_status status = reply_status::completed;
    // Time from writing the call to reading the whole reply.
    duration latency = duration::zero();
    reported_state reported = reported_state::unknown;
    // Identifies the upstream's process; 0 if not reported.
    std::uint64_t boot_id = 0;

    auto operator<=>(const call_completed&) const = default;
};

/// The entry host no longer needs the reply of the call.
struct cancel_requested
{
    call_id id;

    auto operator<=>(const cancel_requested&) const = default;
};

/// A health probe on a link has ended.
struct link_probed
{
    std::uint32_t link = 0;
    bool answered = false;
    reported_state reported = reported_state::unknown;
    std::uint64_t boot_id = 0;

    auto operator<=>(const link_probed&) const = default;
};

/// The opening of a link has succeeded or failed.
struct link_opened
{
    std::uint32_t link = 0;
    bool success = false;

    auto operator<=>(const link_opened&) const = default;
};

/// This host has become, or is no longer, the holder of the upstream. Only the holder
/// dispatches to it.
struct holder_changed
{
    bool held = false;

    auto operator<=>(const holder_changed&) const = default;
};

/// The upstream's failure domain was taken out, or has returned.
struct domain_changed
{
    bool out = false;

    auto operator<=>(const domain_changed&) const = default;
};

/// Periodic event: expires queued calls, ends calls that no link reported, probes links.
struct dispatcher_tick
{
    auto operator<=>(const dispatcher_tick&) const = default;
};

using dispatcher_event = std::variant<call_offered, call_completed, cancel_requested, link_probed,
                                      link_opened, holder_changed, domain_changed, dispatcher_tick>;

/// Sends the call on the link and waits at most `timeout` for the reply.
struct start_call
{
    call_id id;
    std::uint32_t link = 0;
    duration timeout = duration::zero();
    // Time spent in the queue.
    duration waited = duration::zero();

    auto operator<=>(const start_call&) const = default;
};

/// Ends the call without a reply; `reason.kind` says whether it may have run. Each
/// offered call ends exactly once: by this action or by its call_completed event.
struct reject_call
{
    call_id id;
    error reason;

    auto operator<=>(const reject_call&) const = default;
};

/// Asks the upstream to stop the call. The link stays busy until the call has ended.
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

/// The cold-start limit was set; for log and metrics.
struct limit_changed
{
    std::uint32_t limit = 0;
    std::string reason;

    auto operator<=>(const limit_changed&) const = default;
};

using dispatcher_action = std::variant<start_call, reject_call, cancel_on_upstream, open_link,
                                       close_link, probe_link, limit_changed>;

/// Not thread-safe.
class upstream_dispatcher
{
public:
    explicit upstream_dispatcher(const upstream_declaration& upstream);
    ~upstream_dispatcher();
    upstream_dispatcher(const upstream_dispatcher&) = delete;
    upstream_dispatcher& operator=(const upstream_dispatcher&) = delete;

    /// Applies changed slots, connections or cold concurrency. An upstream with another
    /// address needs a new dispatcher.
    std::vector<dispatcher_action> configure(const upstream_declaration& upstream, time_point now);
    /// Returns the actions to execute, in order.
    std::vector<dispatcher_action> handle(const dispatcher_event& ev, time_point now);

    /// Median call latency of the upstream's service. The cold-start limit grows while
    /// latencies stay near it; with zero (unknown) it falls back to the upstream's own
    /// median, and without that counts every reply as timely.
    void set_group_median(duration median);

    /// Running calls; calls whose reply was lost are not counted.
    [[nodiscard]] std::uint32_t in_flight() const;
    [[nodiscard]] std::uint32_t queued() const;
    /// Most calls that may run at once.
    [[nodiscard]] std::uint32_t limit() const;
    [[nodiscard]] bool warm() const;
    [[nodiscard]] bool leaving() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
