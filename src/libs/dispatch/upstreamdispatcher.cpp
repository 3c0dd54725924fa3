// Gate of one upstream: ties slots, queue, links and the cold-start limit.
#include "dispatch/upstreamdispatcher.h"

#include "dispatch/callqueue.h"
#include "dispatch/coldstartlimiter.h"
#include "dispatch/linkpool.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace ebonywick {

namespace {

// An upstream may have left while this host did not hear of it, so a call needs a
// report of its state that is at most this old; probes renew it every 500 ms.
constexpr std::chrono::milliseconds state_validity{2500};
constexpr duration max_attempt = std::chrono::milliseconds{1000};
// Time that the link has to report after the attempt's deadline.
constexpr duration slot_grace = std::chrono::milliseconds{50};
// A call without reply within this multiple of the usual call time says nothing
// about the upstream; the caller's deadline was too short.
constexpr int short_deadline_factor = 5;
// The mean call time moves by 1/16 for each reply.
constexpr int mean_weight = 16;

struct running_call
{
    call_id id;
    std::uint32_t link = 0;
    duration timeout;
    // Start of the call + timeout.
    time_point attempt_deadline;
    bool withdrawn = false;
    // Batch call that was served ahead of interactive ones.
    bool overdue_batch = false;
};

} // namespace

struct upstream_dispatcher::state
{
    explicit state(const upstream_declaration& s) : upstream(s), warmth(s.slots, s.cold_concurrency)
    {
        links.configure(s.slots, s.connections);
    }

    using actions = std::vector<dispatcher_action>;

    void on(const call_offered& ev, time_point now, actions& out);
    void on(const call_completed& ev, time_point now, actions& out);
    void on(const cancel_requested& ev, time_point now, actions& out);
    void on(const link_probed& ev, time_point now, actions& out);
    void on(const link_opened& ev, time_point now, actions& out);
    void on(const holder_changed& ev, time_point now, actions& out);
    void on(const domain_changed& ev, time_point now, actions& out);
    void on(const dispatcher_tick& ev, time_point now, actions& out);

    [[nodiscard]] bool active() const { return held && !domain_out; }
    [[nodiscard]] std::optional<error> refusal() const;
    [[nodiscard]] duration expected_wait(const dispatcher_call& call) const;

    // A warm upstream that still runs a lost call sheds what it cannot bear; holding
    // its slots would make a fault of many connections a shortage of slots.
    [[nodiscard]] std::size_t used_slots() const
    {
        return running.size() + (warmth.warm() ? 0 : unconfirmed.size());
    }

    void observe(reported_state reported, std::uint64_t reported_boot, bool from_probe,
                 time_point now, actions& out);
    void note(std::string_view reason, actions& out) const;
    void activity_changed(bool was_active, std::string_view reason, actions& out);
    void lost_call(const running_call& call, duration after, time_point now, actions& out);
    void reject_queued(actions& out);
    void settle(time_point now, actions& out);

    upstream_declaration upstream;
    cold_start_limiter warmth;
    link_pool links;
    call_queue queue;
    // Each holds a slot; while the upstream is not warm, running and unconfirmed calls
    // together are at most warmth.limit() whenever a call starts.
    std::vector<running_call> running;
    // Calls whose reply was lost and which the upstream may still run: the time up
    // to which each holds its slot.
    std::vector<time_point> unconfirmed;
    std::uint64_t boot_id = 0;
    bool held = false;
    bool domain_out = false;
    bool is_leaving = false;
    bool was_unavailable = false;
    // When the upstream last said that it is leaving.
    time_point leaving_since{};
    // When the upstream last reported its state to this holder; empty: not yet.
    std::optional<time_point> state_known_at;
    // Moving mean of the call times; zero until the first reply.
    duration mean_call = duration::zero();
};

std::optional<error> upstream_dispatcher::state::refusal() const
{
    if (!held)
        return make_error(error_kind::not_holder, "this host does not hold the upstream");
    if (domain_out)
        return make_error(error_kind::failure_domain_out, "the upstream's failure domain is out");
    if (is_leaving)
        return make_error(error_kind::upstream_leaving, "the upstream is leaving");
    if (links.unavailable())
        return make_error(error_kind::upstream_unavailable, "no connection to the upstream works");
    return std::nullopt;
}

duration upstream_dispatcher::state::expected_wait(const dispatcher_call& call) const
{
    if (used_slots() < warmth.limit() && queue.empty())
        return duration::zero();
    const auto ahead = static_cast<duration::rep>(queue.ahead_of(call)) + 1;
    return mean_call * ahead / static_cast<duration::rep>(warmth.limit());
}

void upstream_dispatcher::state::on(const call_offered& ev, time_point now, actions& out)
{
    std::optional<error> reason = refusal();
    if (!reason && queue.full())
        reason = make_error(error_kind::overloaded, "the upstream's queue is full");
    if (!reason && (ev.call.deadline <= now || ev.call.deadline - now < expected_wait(ev.call)))
        reason = make_error(error_kind::deadline_too_short,
                            "the time left is shorter than the expected wait");
    if (reason) {
        out.emplace_back(reject_call{ev.call.id, *std::move(reason)});
        return;
    }
    queue.push(ev.call, now);
}

void upstream_dispatcher::state::on(const call_completed& ev, time_point now, actions& out)
{
    const auto it = std::find_if(running.begin(), running.end(), [&](const running_call& call) {
        return call.id == ev.id && call.link == ev.link;
    });
    if (it == running.end())
        return;
    const running_call call = *it;
    *it = running.back();
    running.pop_back();
    switch (ev.status) {
    case reply_status::lost:
        // Without latency nothing was written to the connection.
        if (ev.latency > duration::zero() && now < call.attempt_deadline + slot_grace)
            unconfirmed.push_back(call.attempt_deadline + slot_grace);
        lost_call(call, ev.latency, now, out);
        break;
    case reply_status::completed:
        mean_call = mean_call == duration::zero()
                        ? ev.latency
                        : mean_call + (ev.latency - mean_call) / mean_weight;
        links.release(ev.link, true, now, out);
        note(warmth.replied(ev.latency), out);
        break;
    case reply_status::shed:
        links.release(ev.link, true, now, out);
        break;
    case reply_status::cancelled:
        links.release(ev.link, ev.latency > duration::zero(), now, out);
        note(warmth.cancelled(ev.latency), out);
        break;
    }
    observe(ev.reported, ev.boot_id, false, now, out);
}

void upstream_dispatcher::state::on(const cancel_requested& ev, time_point, actions& out)
{
    if (queue.remove(ev.id)) {
        out.emplace_back(
            reject_call{ev.id, make_error(error_kind::cancelled, "withdrawn before it started")});
        return;
    }
    const auto it = std::find_if(running.begin(), running.end(),
                                 [&](const running_call& call) { return call.id == ev.id; });
    if (it == running.end() || it->withdrawn)
        return;
    it->withdrawn = true;
    out.emplace_back(cancel_on_upstream{it->id, it->link});
}

void upstream_dispatcher::state::on(const link_probed& ev, time_point now, actions& out)
{
    links.probed(ev, now, out);
    if (ev.answered)
        observe(ev.reported, ev.boot_id, true, now, out);
}

void upstream_dispatcher::state::on(const link_opened& ev, time_point now, actions& out)
{
    links.opened(ev, now, out);
}

void upstream_dispatcher::state::on(const holder_changed& ev, time_point, actions& out)
{
    const bool was_active = active();
    held = ev.held;
    activity_changed(was_active, "taken over", out);
}

void upstream_dispatcher::state::on(const domain_changed& ev, time_point, actions& out)
{
    const bool was_active = active();
    domain_out = ev.out;
    activity_changed(was_active, "failure domain returned", out);
}

void upstream_dispatcher::state::on(const dispatcher_tick&, time_point now, actions& out)
{
    for (const queued_call& it : queue.take_expired(now)) {
        out.emplace_back(reject_call{it.call.id, make_error(error_kind::deadline_too_short,
                                                            "the deadline passed in the "
                                                            "searcher's queue")});
    }
    for (std::size_t n = running.size(); n-- > 0;) {
        const running_call call = running[n];
        if (now < call.attempt_deadline + slot_grace)
            continue;
        running[n] = running.back();
        running.pop_back();
        const error_kind kind =
            call.withdrawn ? error_kind::cancelled : error_kind::deadline_exceeded;
        out.emplace_back(reject_call{call.id, make_error(kind, "the link did not report in time")});
        lost_call(call, call.timeout, now, out);
    }
    links.tick(now, out);
}

void upstream_dispatcher::state::lost_call(const running_call& call, duration after, time_point now,
                                           actions& out)
{
    const bool timed_out = after >= call.timeout * 9 / 10;
    const bool too_short = timed_out && call.timeout < short_deadline_factor * warmth.reference();
    links.lose(call.link, now, out);
    note(warmth.lost(call.link, too_short), out);
}

void upstream_dispatcher::state::observe(reported_state reported, std::uint64_t reported_boot,
                                         bool from_probe, time_point now, actions& out)
{
    if (reported != reported_state::unknown)
        state_known_at = now;
    // An upstream that started again runs none of its former calls.
    if (reported_boot != 0 && std::exchange(boot_id, reported_boot) != reported_boot)
        unconfirmed.clear();
    if (reported == reported_state::leaving) {
        leaving_since = now;
        is_leaving = true;
    } else if (is_leaving && from_probe && reported != reported_state::unknown &&
               links.probe_sent() > leaving_since) {
        // Only a probe sent after the last such report shows a return; a reply
        // may have been overtaken by the report.
        is_leaving = false;
        note(warmth.reset("searcher returned"), out);
    }
    note(warmth.reported(reported, reported_boot), out);
}

void upstream_dispatcher::state::note(std::string_view reason, actions& out) const
{
    if (!reason.empty())
        out.emplace_back(limit_changed{warmth.limit(), std::string{reason}});
}

void upstream_dispatcher::state::activity_changed(bool was_active, std::string_view reason,
                                                  actions& out)
{
    if (was_active == active())
        return;
    if (!active()) {
        links.retire(out);
        return;
    }
    links.resume();
    is_leaving = false;
    state_known_at.reset();
    note(warmth.reset(reason), out);
}

void upstream_dispatcher::state::reject_queued(actions& out)
{
    const std::optional<error> reason = refusal();
    if (!reason)
        return;
    for (const queued_call& it : queue.take_all())
        out.emplace_back(reject_call{it.call.id, *reason});
}

void upstream_dispatcher::state::settle(time_point now, actions& out)
{
    const bool unavailable = active() && links.unavailable();
    if (unavailable && !was_unavailable)
        note(warmth.reset("searcher unavailable"), out);
    was_unavailable = unavailable;
    if (!queue.empty() && (!active() || is_leaving || unavailable))
        reject_queued(out);
    std::erase_if(unconfirmed, [&](time_point until) { return until <= now; });
    if (!active())
        return;
    if (!state_known_at || now - *state_known_at > state_validity) {
        links.ensure(warmth.limit() + 1, false, now, out);
        return;
    }
    bool starved = false;
    while (used_slots() < warmth.limit() && !queue.empty()) {
        const std::optional<std::uint32_t> link = links.take(now);
        starved = !link;
        if (starved)
            break;
        const bool overdue_running =
            std::any_of(running.begin(), running.end(),
                        [](const running_call& it) { return it.overdue_batch; });
        const std::optional<queued_call> next = queue.pop(now, overdue_running);
        if (next->call.deadline <= now) {
            links.give_back(*link);
            out.emplace_back(reject_call{
                next->call.id, make_error(error_kind::deadline_too_short,
                                          "the deadline passed in the upstream's queue")});
            continue;
        }
        const duration timeout = std::min(next->call.deadline - now, max_attempt);
        running.push_back({next->call.id, *link, timeout, now + timeout, false, next->overdue});
        out.emplace_back(start_call{next->call.id, *link, timeout, now - next->since});
    }
    links.ensure(warmth.limit() + 1, starved, now, out);
}

upstream_dispatcher::upstream_dispatcher(const upstream_declaration& upstream)
    : state_(std::make_unique<state>(upstream))
{
}

upstream_dispatcher::~upstream_dispatcher() = default;

std::vector<dispatcher_action> upstream_dispatcher::configure(const upstream_declaration& upstream,
                                                              time_point now)
{
    std::vector<dispatcher_action> out;
    state_->upstream = upstream;
    state_->links.configure(upstream.slots, upstream.connections);
    state_->note(state_->warmth.configure(upstream.slots, upstream.cold_concurrency), out);
    state_->settle(now, out);
    return out;
}

std::vector<dispatcher_action> upstream_dispatcher::handle(const dispatcher_event& ev,
                                                           time_point now)
{
    std::vector<dispatcher_action> out;
    std::visit([&](const auto& it) { state_->on(it, now, out); }, ev);
    state_->settle(now, out);
    return out;
}

void upstream_dispatcher::set_group_median(duration median)
{
    state_->warmth.set_group_median(median);
}

std::uint32_t upstream_dispatcher::in_flight() const
{
    return static_cast<std::uint32_t>(state_->running.size());
}

std::uint32_t upstream_dispatcher::queued() const
{
    return static_cast<std::uint32_t>(state_->queue.size());
}

std::uint32_t upstream_dispatcher::limit() const
{
    return state_->warmth.limit();
}

bool upstream_dispatcher::warm() const
{
    return state_->warmth.warm();
}

bool upstream_dispatcher::leaving() const
{
    return state_->is_leaving;
}

} // namespace ebonywick
