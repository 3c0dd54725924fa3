// Admission control of one service: queues, limits and early refusal.
#include "admission/admissioncontroller.h"

#include "admission/batchlimit.h"
#include "admission/fairqueue.h"

#include <fmt/format.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace ebonywick {

using namespace std::chrono_literals;

namespace {

// Weight of a new sample in the moving average of the run time.
constexpr double run_time_weight = 0.05;
// Retry-after time while no run time is known.
constexpr duration default_retry_after = 100ms;
// A shorter time would make the caller retry in a busy loop.
constexpr duration min_retry_after = 1ms;
// A caller that is refused because the queue is full is told to retry when the queue has been
// drained by its capacity divided by this.
constexpr std::size_t retry_queue_divisor = 8;

struct running_request
{
    request_class traffic = request_class::interactive;
    time_point started;
};

/// One request class: its queue, its running requests and their mean run time.
struct class_state
{
    fair_queue queue;
    std::size_t running = 0;
    // Maximum number of running requests, and of waiting requests.
    std::size_t limit = 0;
    std::size_t capacity = 0;
    // Moving average; 0 until a run has ended.
    double mean_run_time_ns = 0.0;

    [[nodiscard]] bool has_free_slot() const { return running < limit; }

    /// Time until `count` requests have left the queue. The rate is the limit divided by the
    /// mean run time.
    [[nodiscard]] duration drain_time(std::size_t count) const
    {
        const double batches =
            static_cast<double>(count) / static_cast<double>(std::max<std::size_t>(limit, 1));
        return duration{static_cast<duration::rep>(mean_run_time_ns * batches)};
    }

    /// Expected wait of the next request of `caller`. The queue serves one request of each caller
    /// in turn, so a caller with few waiting requests waits for a few rounds only.
    [[nodiscard]] duration expected_wait(const caller_id& caller) const
    {
        const std::size_t own = queue.waiting_of(caller);
        const std::size_t callers = queue.callers() + (own == 0 ? 1 : 0);
        return drain_time(std::min(queue.size() + 1, (own + 1) * callers));
    }

    void record_run_time(duration time)
    {
        const auto sample = static_cast<double>(time.count());
        mean_run_time_ns = mean_run_time_ns == 0.0
                               ? sample
                               : mean_run_time_ns + run_time_weight * (sample - mean_run_time_ns);
    }
};

} // namespace

struct admission_controller::state
{
    explicit state(const preset_declaration& policy)
        : adaptive_limit(policy.batch_limit, policy.target_queue_wait)
    {
        configure(policy);
    }

    void configure(const preset_declaration& policy);
    void on(const request_arrived& ev, time_point now);
    void on(const request_ended& ev, time_point now);
    void on(const queue_wait_observed& ev, time_point now);
    void on(const admission_tick& /*ev*/, time_point /*now*/) {}

    class_state& state_of(request_class traffic)
    {
        return traffic == request_class::interactive ? interactive : batch;
    }
    void enqueue(class_state& to, const request_arrived& ev, time_point now);
    void admit(class_state& from, const request_id& id, request_class traffic, time_point now);
    void refuse(const request_id& id, error_kind kind, std::string message, duration retry_after);
    void admit_waiting(time_point now);
    void refuse_expired(class_state& from, time_point now);

    class_state interactive;
    class_state batch;
    batch_limit adaptive_limit;
    std::unordered_map<request_id, running_request> running;
    std::vector<admission_action> actions;
};

void admission_controller::state::configure(const preset_declaration& policy)
{
    interactive.limit = policy.interactive_limit;
    // The wait of interactive requests is kept short: at most as many wait as may run.
    interactive.capacity = policy.interactive_limit;
    adaptive_limit.configure(policy.batch_limit, policy.target_queue_wait);
    batch.limit = adaptive_limit.value();
    batch.capacity = policy.batch_queue;
}

void admission_controller::state::on(const request_arrived& ev, time_point now)
{
    class_state& to = state_of(ev.traffic);
    // Ids are never reused, so this is a repeated event, which must not be counted twice.
    if (running.contains(ev.id) || to.queue.contains(ev.id))
        return;
    if (now >= ev.deadline) {
        refuse(ev.id, error_kind::deadline_too_short, "the deadline has passed on arrival",
               duration::zero());
        return;
    }
    if (to.limit == 0) {
        refuse(ev.id, error_kind::overloaded, "the preset in force admits no request of this class",
               default_retry_after);
        return;
    }
    enqueue(to, ev, now);
}

void admission_controller::state::enqueue(class_state& to, const request_arrived& ev,
                                          time_point now)
{
    const duration left = ev.deadline - now;
    // Interactive requests wait for at most half of the remaining time. Batch requests reserve the
    // mean run time, but at most half of the remaining time.
    const duration run_time{static_cast<duration::rep>(to.mean_run_time_ns)};
    const duration max_wait =
        ev.traffic == request_class::interactive ? left / 2 : left - std::min(run_time, left / 2);
    const bool must_wait = to.queue.size() > 0 || !to.has_free_slot() ||
                           (&to == &batch && interactive.queue.size() > 0);
    const duration wait = must_wait ? to.expected_wait(ev.caller) : duration::zero();
    if (wait > max_wait) {
        refuse(ev.id, error_kind::deadline_too_short,
               fmt::format(
                   "the expected wait of {:.0f} ms exceeds the {:.0f} ms that the deadline allows",
                   to_milliseconds(wait), to_milliseconds(max_wait)),
               std::max(min_retry_after, wait - max_wait));
        return;
    }
    if (must_wait && to.queue.size() >= to.capacity) {
        const duration retry_after =
            to.mean_run_time_ns == 0.0
                ? default_retry_after
                : std::max(min_retry_after, to.drain_time(to.capacity / retry_queue_divisor + 1));
        // A caller below its fair share of the queue evicts a request of the caller with the most
        // waiting requests, so that no caller can lock out the others by filling the queue.
        const std::size_t callers = to.queue.callers() + 1;
        const bool below_fair_share = (to.queue.waiting_of(ev.caller) + 1) * callers <= to.capacity;
        const std::optional<waiting_request> evicted =
            below_fair_share ? to.queue.pop_from_longest() : std::nullopt;
        refuse(evicted ? evicted->id : ev.id, error_kind::overloaded,
               fmt::format("{} requests wait already", to.capacity), retry_after);
        if (!evicted)
            return;
    }
    to.queue.push(waiting_request{ev.id, ev.caller, now + max_wait});
}

void admission_controller::state::on(const request_ended& ev, time_point now)
{
    const auto it = running.find(ev.id);
    if (it == running.end()) {
        // The caller disconnected while the request was waiting.
        if (!interactive.queue.remove(ev.id))
            batch.queue.remove(ev.id);
        return;
    }
    class_state& from = state_of(it->second.traffic);
    --from.running;
    from.record_run_time(now - it->second.started);
    running.erase(it);
}

void admission_controller::state::on(const queue_wait_observed& ev, time_point now)
{
    adaptive_limit.observe(ev.wait, !batch.has_free_slot(), now);
    batch.limit = adaptive_limit.value();
}

void admission_controller::state::admit(class_state& from, const request_id& id,
                                        request_class traffic, time_point now)
{
    ++from.running;
    running.emplace(id, running_request{traffic, now});
    actions.emplace_back(admit_request{id});
}

void admission_controller::state::refuse(const request_id& id, error_kind kind, std::string message,
                                         duration retry_after)
{
    actions.emplace_back(
        refuse_request{id, not_run{make_error(kind, std::move(message)), retry_after}});
}

void admission_controller::state::refuse_expired(class_state& from, time_point now)
{
    for (const waiting_request& it : from.queue.remove_expired(now))
        refuse(it.id, error_kind::deadline_too_short,
               "the request waited for admission until its deadline could not be met any more",
               std::max(min_retry_after, from.drain_time(from.queue.size() + 1)));
}

void admission_controller::state::admit_waiting(time_point now)
{
    refuse_expired(interactive, now);
    refuse_expired(batch, now);
    while (interactive.has_free_slot()) {
        const auto next = interactive.queue.pop();
        if (!next)
            break;
        admit(interactive, next->id, request_class::interactive, now);
    }
    // While interactive requests wait, one batch request may still run, so that batch callers do
    // not starve.
    const std::size_t allowed =
        interactive.queue.size() == 0 ? batch.limit : std::min<std::size_t>(batch.limit, 1);
    while (batch.running < allowed) {
        const auto next = batch.queue.pop();
        if (!next)
            break;
        admit(batch, next->id, request_class::batch, now);
    }
}

admission_controller::admission_controller(const preset_declaration& policy)
    : state_(std::make_unique<state>(policy))
{
}

admission_controller::~admission_controller() = default;

void admission_controller::configure(const preset_declaration& policy)
{
    state_->configure(policy);
}

std::vector<admission_action> admission_controller::handle(const admission_event& ev,
                                                           time_point now)
{
    std::visit([&](const auto& it) { state_->on(it, now); }, ev);
    state_->admit_waiting(now);
    return std::exchange(state_->actions, {});
}

std::size_t admission_controller::running(request_class traffic) const
{
    return state_->state_of(traffic).running;
}

std::size_t admission_controller::waiting() const
{
    return state_->interactive.queue.size() + state_->batch.queue.size();
}

} // namespace ebonywick
