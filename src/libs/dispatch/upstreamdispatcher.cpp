// Dispatcher of one upstream: combines slots, queue, links and the cold-start limit.
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

// The upstream may have announced that it is leaving while this host could not learn of
// it, so calls start only if its last state report is at most this old. Probes renew the
// report every 500 ms.
constexpr std::chrono::milliseconds max_state_age{2500};
// Upper bound of a call's timeout.
constexpr duration max_attempt_time = std::chrono::milliseconds{1000};
// Time after the attempt's deadline within which the link must report the call's end.
constexpr duration report_grace = std::chrono::milliseconds{50};
// A call that timed out in less than this multiple of the expected latency says nothing
// about the upstream: the caller's deadline was too short.
constexpr int short_deadline_factor = 5;
// Smoothing of the mean call time: each reply moves it by 1/16 of the difference.
constexpr int mean_divisor = 16;

struct running_call
{
    call_id id;
    std::uint32_t link = 0;
    duration timeout;
    // Start of the call plus timeout.
    time_point attempt_deadline;
    bool cancel_sent = false;
    // Overdue batch call that was served ahead of interactive ones.
    bool overdue_batch = false;
};

} // namespace

struct upstream_dispatcher::state
{
    explicit state(const upstream_declaration& s)
        : upstream(s), cold_limit(s.slots, s.cold_concurrency)
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

    [[nodiscard]] bool is_accepting() const { return is_held && !domain_out; }
    [[nodiscard]] std::optional<error> current_refusal() const;
    [[nodiscard]] duration expected_wait(const dispatcher_call& call) const;

    // Lost calls keep their slots only while the upstream is cold. A warm upstream sheds
    // what exceeds its capacity, and keeping the slots would turn a fault of many
    // connections into a shortage of slots.
    [[nodiscard]] std::size_t used_slots() const
    {
        return running.size() + (cold_limit.warm() ? 0 : lost_call_slots.size());
    }

    void apply_report(reported_state reported, std::uint64_t reported_boot, bool from_probe,
                      time_point now, actions& out);
    void report_limit_change(std::string_view reason, actions& out) const;
    void handle_acceptance_change(bool was_accepting, std::string_view reason, actions& out);
    void handle_lost_call(const running_call& call, duration after, time_point now, actions& out);
    void reject_queued(actions& out);
    void dispatch_queued(time_point now, actions& out);

    upstream_declaration upstream;
    cold_start_limiter cold_limit;
    link_pool links;
    call_queue queue;
    // Each holds a slot. Whenever a call starts, used_slots() is at most the limit of
    // cold_limit.
    std::vector<running_call> running;
    // For each call whose reply was lost and which the upstream may still run: the time
    // until which it holds its slot.
    std::vector<time_point> lost_call_slots;
    std::uint64_t boot_id = 0;
    bool is_held = false;
    bool domain_out = false;
    bool is_leaving = false;
    bool was_unavailable = false;
    // Time of the last report that the upstream is leaving.
    time_point last_leaving_report{};
    // Time of the last state report since this host started to dispatch to the upstream;
    // empty if there was none.
    std::optional<time_point> last_state_report;
    // Exponential moving average of the latencies; zero until the first reply.
    duration mean_call_time = duration::zero();
};

std::optional<error> upstream_dispatcher::state::current_refusal() const
{
    if (!is_held)
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
    if (used_slots() < cold_limit.limit() && queue.empty())
        return duration::zero();
    const auto ahead = static_cast<duration::rep>(queue.calls_ahead_of(call)) + 1;
    return mean_call_time * ahead / static_cast<duration::rep>(cold_limit.limit());
}

void upstream_dispatcher::state::on(const call_offered& ev, time_point now, actions& out)
{
    std::optional<error> reason = current_refusal();
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
        // With zero latency nothing was written to the connection.
        if (ev.latency > duration::zero() && now < call.attempt_deadline + report_grace)
            lost_call_slots.push_back(call.attempt_deadline + report_grace);
        handle_lost_call(call, ev.latency, now, out);
        break;
    case reply_status::completed:
        mean_call_time = mean_call_time == duration::zero()
                             ? ev.latency
                             : mean_call_time + (ev.latency - mean_call_time) / mean_divisor;
        links.release(ev.link, true, now, out);
        report_limit_change(cold_limit.on_reply(ev.latency), out);
        break;
    case reply_status::shed:
        links.release(ev.link, true, now, out);
        break;
    case reply_status::cancelled:
        links.release(ev.link, ev.latency > duration::zero(), now, out);
        report_limit_change(cold_limit.on_cancelled(ev.latency), out);
        break;
    }
    apply_report(ev.reported, ev.boot_id, false, now, out);
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
    if (it == running.end() || it->cancel_sent)
        return;
    it->cancel_sent = true;
    out.emplace_back(cancel_on_upstream{it->id, it->link});
}

void upstream_dispatcher::state::on(const link_probed& ev, time_point now, actions& out)
{
    links.on_probed(ev, now, out);
    if (ev.answered)
        apply_report(ev.reported, ev.boot_id, true, now, out);
}

void upstream_dispatcher::state::on(const link_opened& ev, time_point now, actions& out)
{
    links.on_opened(ev, now, out);
}

void upstream_dispatcher::state::on(const holder_changed& ev, time_point, actions& out)
{
    const bool was_accepting = is_accepting();
    is_held = ev.held;
    handle_acceptance_change(was_accepting, "taken over", out);
}

void upstream_dispatcher::state::on(const domain_changed& ev, time_point, actions& out)
{
    const bool was_accepting = is_accepting();
    domain_out = ev.out;
    handle_acceptance_change(was_accepting, "failure domain returned", out);
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
        if (now < call.attempt_deadline + report_grace)
            continue;
        running[n] = running.back();
        running.pop_back();
        const error_kind kind =
            call.cancel_sent ? error_kind::cancelled : error_kind::deadline_exceeded;
        out.emplace_back(reject_call{call.id, make_error(kind, "the link did not report in time")});
        handle_lost_call(call, call.timeout, now, out);
    }
    links.tick(now, out);
}

void upstream_dispatcher::state::handle_lost_call(const running_call& call, duration after,
                                                  time_point now, actions& out)
{
    const bool timed_out = after >= call.timeout * 9 / 10;
    const bool short_deadline =
        timed_out && call.timeout < short_deadline_factor * cold_limit.expected_latency();
    links.discard(call.link, now, out);
    report_limit_change(cold_limit.on_lost(call.link, short_deadline), out);
}

void upstream_dispatcher::state::apply_report(reported_state reported, std::uint64_t reported_boot,
                                              bool from_probe, time_point now, actions& out)
{
    if (reported != reported_state::unknown)
        last_state_report = now;
    // A restarted upstream no longer runs the calls of its previous process.
    if (reported_boot != 0 && std::exchange(boot_id, reported_boot) != reported_boot)
        lost_call_slots.clear();
    if (reported == reported_state::leaving) {
        last_leaving_report = now;
        is_leaving = true;
    } else if (is_leaving && from_probe && reported != reported_state::unknown &&
               links.last_probe_sent() > last_leaving_report) {
        // Only a probe that was sent after the last report of leaving shows that the
        // upstream has returned; a reply may be older than that report.
        is_leaving = false;
        report_limit_change(cold_limit.reset("searcher returned"), out);
    }
    report_limit_change(cold_limit.on_report(reported, reported_boot), out);
}

void upstream_dispatcher::state::report_limit_change(std::string_view reason, actions& out) const
{
    if (!reason.empty())
        out.emplace_back(limit_changed{cold_limit.limit(), std::string{reason}});
}

void upstream_dispatcher::state::handle_acceptance_change(bool was_accepting,
                                                          std::string_view reason, actions& out)
{
    if (was_accepting == is_accepting())
        return;
    if (!is_accepting()) {
        links.drain(out);
        return;
    }
    links.resume();
    is_leaving = false;
    last_state_report.reset();
    report_limit_change(cold_limit.reset(reason), out);
}

void upstream_dispatcher::state::reject_queued(actions& out)
{
    const std::optional<error> reason = current_refusal();
    if (!reason)
        return;
    for (const queued_call& it : queue.take_all())
        out.emplace_back(reject_call{it.call.id, *reason});
}

void upstream_dispatcher::state::dispatch_queued(time_point now, actions& out)
{
    const bool unavailable = is_accepting() && links.unavailable();
    if (unavailable && !was_unavailable)
        report_limit_change(cold_limit.reset("searcher unavailable"), out);
    was_unavailable = unavailable;
    if (!queue.empty() && (!is_accepting() || is_leaving || unavailable))
        reject_queued(out);
    std::erase_if(lost_call_slots, [&](time_point until) { return until <= now; });
    if (!is_accepting())
        return;
    if (!last_state_report || now - *last_state_report > max_state_age) {
        links.open_missing(cold_limit.limit() + 1, false, now, out);
        return;
    }
    bool no_usable_link = false;
    while (used_slots() < cold_limit.limit() && !queue.empty()) {
        const std::optional<std::uint32_t> link = links.acquire(now);
        no_usable_link = !link;
        if (no_usable_link)
            break;
        const bool overdue_batch_running =
            std::any_of(running.begin(), running.end(),
                        [](const running_call& it) { return it.overdue_batch; });
        const std::optional<queued_call> next = queue.pop(now, overdue_batch_running);
        if (next->call.deadline <= now) {
            links.return_unused(*link);
            out.emplace_back(reject_call{
                next->call.id, make_error(error_kind::deadline_too_short,
                                          "the deadline passed in the upstream's queue")});
            continue;
        }
        const duration timeout = std::min(next->call.deadline - now, max_attempt_time);
        running.push_back({next->call.id, *link, timeout, now + timeout, false, next->overdue});
        out.emplace_back(start_call{next->call.id, *link, timeout, now - next->queued_at});
    }
    links.open_missing(cold_limit.limit() + 1, no_usable_link, now, out);
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
    state_->report_limit_change(
        state_->cold_limit.configure(upstream.slots, upstream.cold_concurrency), out);
    state_->dispatch_queued(now, out);
    return out;
}

std::vector<dispatcher_action> upstream_dispatcher::handle(const dispatcher_event& ev,
                                                           time_point now)
{
    std::vector<dispatcher_action> out;
    std::visit([&](const auto& it) { state_->on(it, now, out); }, ev);
    state_->dispatch_queued(now, out);
    return out;
}

void upstream_dispatcher::set_group_median(duration median)
{
    state_->cold_limit.set_group_median(median);
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
    return state_->cold_limit.limit();
}

bool upstream_dispatcher::warm() const
{
    return state_->cold_limit.warm();
}

bool upstream_dispatcher::leaving() const
{
    return state_->is_leaving;
}

} // namespace ebonywick
