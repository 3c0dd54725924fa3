// Admission decisions of one service.
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

// Weight of the newest run in the mean run time.
constexpr double run_time_weight = 0.05;
// Advice as long as no run has been measured.
constexpr duration default_retry_after = 100ms;
// Smaller advice would make the caller spin.
constexpr duration least_retry_after = 1ms;
// A caller refused at a full queue is told to come back when this share of the
// queue has been served.
constexpr std::size_t queue_share = 8;

struct running_request
{
    request_class traffic = request_class::interactive;
    time_point started;
};

/// One class: its queue, its running requests and their mean run time.
struct lane
{
    fair_queue queue;
    std::size_t running = 0;
    // Most requests at once and most that wait.
    std::size_t limit = 0;
    std::size_t capacity = 0;
    // Moving average; 0: no run has ended.
    double run_time_ns = 0.0;

    [[nodiscard]] bool has_room() const { return running < limit; }

    /// Time until `count` requests have left the queue at the measured rate, which
    /// is the limit divided by the mean run time.
    [[nodiscard]] duration time_for(std::size_t count) const
    {
        const double rounds =
            static_cast<double>(count) / static_cast<double>(std::max<std::size_t>(limit, 1));
        return duration{static_cast<duration::rep>(run_time_ns * rounds)};
    }

    /// Expected wait of the caller's next request: each round serves one request of
    /// each caller.
    [[nodiscard]] duration expected_wait(const caller_id& caller) const
    {
        const std::size_t own = queue.size_of(caller);
        const std::size_t callers = queue.callers() + (own == 0 ? 1 : 0);
        return time_for(std::min(queue.size() + 1, (own + 1) * callers));
    }

    void add_run(duration time)
    {
        const auto sample = static_cast<double>(time.count());
        run_time_ns =
            run_time_ns == 0.0 ? sample : run_time_ns + run_time_weight * (sample - run_time_ns);
    }
};

} // namespace

struct admission_controller::state
{
    explicit state(const preset_declaration& policy)
        : adaptive(policy.batch_limit, policy.target_queue_wait)
    {
        configure(policy);
    }

    void configure(const preset_declaration& policy);
    void on(const request_arrived& ev, time_point now);
    void on(const request_ended& ev, time_point now);
    void on(const queue_wait_observed& ev, time_point now);
    void on(const admission_tick& /*ev*/, time_point /*now*/) {}

    lane& lane_of(request_class traffic)
    {
        return traffic == request_class::interactive ? interactive : batch;
    }
    void enqueue(lane& to, const request_arrived& ev, time_point now);
    void admit(lane& from, const request_id& id, request_class traffic, time_point now);
    void refuse(const request_id& id, error_kind kind, std::string message, duration retry_after);
    void dispatch(time_point now);
    void refuse_expired(lane& from, time_point now);

    lane interactive;
    lane batch;
    batch_limit adaptive;
    std::unordered_map<request_id, running_request> running;
    std::vector<admission_action> actions;
};

void admission_controller::state::configure(const preset_declaration& policy)
{
    interactive.limit = policy.interactive_limit;
    // Interactive requests wait only shortly: at most one more round of the limit.
    interactive.capacity = policy.interactive_limit;
    adaptive.configure(policy.batch_limit, policy.target_queue_wait);
    batch.limit = adaptive.value();
    batch.capacity = policy.batch_queue;
}

void admission_controller::state::on(const request_arrived& ev, time_point now)
{
    lane& to = lane_of(ev.traffic);
    // Ids are never reused; a repeated event must not count a request twice.
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

void admission_controller::state::enqueue(lane& to, const request_arrived& ev, time_point now)
{
    const duration left = ev.deadline - now;
    // Leaves time for an ordinary run, but at least half of the time; interactive
    // requests wait for half of their time at most.
    const duration run_time{static_cast<duration::rep>(to.run_time_ns)};
    const duration longest_wait =
        ev.traffic == request_class::interactive ? left / 2 : left - std::min(run_time, left / 2);
    const bool waits =
        to.queue.size() > 0 || !to.has_room() || (&to == &batch && interactive.queue.size() > 0);
    const duration wait = waits ? to.expected_wait(ev.caller) : duration::zero();
    if (wait > longest_wait) {
        refuse(ev.id, error_kind::deadline_too_short,
               fmt::format(
                   "the expected wait of {:.0f} ms exceeds the {:.0f} ms that the deadline allows",
                   to_milliseconds(wait), to_milliseconds(longest_wait)),
               std::max(least_retry_after, wait - longest_wait));
        return;
    }
    if (waits && to.queue.size() >= to.capacity) {
        const duration retry_after =
            to.run_time_ns == 0.0
                ? default_retry_after
                : std::max(least_retry_after, to.time_for(to.capacity / queue_share + 1));
        // A caller below its share of the queue displaces one of the longest caller,
        // so that no caller can keep the others out by filling the queue.
        const std::size_t callers = to.queue.callers() + 1;
        const bool below_share = (to.queue.size_of(ev.caller) + 1) * callers <= to.capacity;
        const std::optional<waiting_request> displaced =
            below_share ? to.queue.pop_of_longest() : std::nullopt;
        refuse(displaced ? displaced->id : ev.id, error_kind::overloaded,
               fmt::format("{} requests wait already", to.capacity), retry_after);
        if (!displaced)
            return;
    }
    to.queue.push(waiting_request{ev.id, ev.caller, now + longest_wait});
}

void admission_controller::state::on(const request_ended& ev, time_point now)
{
    const auto it = running.find(ev.id);
    if (it == running.end()) {
        // The caller went away while the request was waiting.
        if (!interactive.queue.remove(ev.id))
            batch.queue.remove(ev.id);
        return;
    }
    lane& from = lane_of(it->second.traffic);
    --from.running;
    from.add_run(now - it->second.started);
    running.erase(it);
}

void admission_controller::state::on(const queue_wait_observed& ev, time_point now)
{
    adaptive.observe(ev.wait, !batch.has_room(), now);
    batch.limit = adaptive.value();
}

void admission_controller::state::admit(lane& from, const request_id& id, request_class traffic,
                                        time_point now)
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

void admission_controller::state::refuse_expired(lane& from, time_point now)
{
    for (const waiting_request& it : from.queue.take_expired(now))
        refuse(it.id, error_kind::deadline_too_short,
               "the request waited for admission until its deadline could not be met any more",
               std::max(least_retry_after, from.time_for(from.queue.size() + 1)));
}

void admission_controller::state::dispatch(time_point now)
{
    refuse_expired(interactive, now);
    refuse_expired(batch, now);
    while (interactive.has_room()) {
        const auto next = interactive.queue.pop();
        if (!next)
            break;
        admit(interactive, next->id, request_class::interactive, now);
    }
    // While interactive requests wait, one batch query may run, so that batch callers
    // do not starve.
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
    state_->dispatch(now);
    return std::exchange(state_->actions, {});
}

std::size_t admission_controller::running(request_class traffic) const
{
    return state_->lane_of(traffic).running;
}

std::size_t admission_controller::waiting() const
{
    return state_->interactive.queue.size() + state_->batch.queue.size();
}

} // namespace ebonywick
