// Feeds random events to the dispatcher and checks its invariants after each of them.
#include "dispatcherfixture.h"

#include "base/randomsource.h"

#include <criterion/criterion.h>

#include <map>

using namespace ebonywick;
using namespace ebonywick::testing;

namespace {

struct replay
{
    explicit replay(std::uint64_t seed)
        : random(seed), slots(1 + static_cast<std::uint32_t>(random.below(4))),
          connections(3 + static_cast<std::uint32_t>(random.below(8))), it(slots, connections, 1)
    {
    }

    void check_new_actions(std::uint64_t seed)
    {
        for (; checked_started < it.started.size(); ++checked_started) {
            const start_call& call = it.started[checked_started];
            cr_assert(end_counts[call.id] == 0, "seed %lu: a call started after its end", seed);
            cr_assert(held && !domain_out && !it.dispatcher.leaving(),
                      "seed %lu: a call started while not accepted", seed);
            cr_assert(call.timeout <= milliseconds{1000} && call.timeout > duration::zero());
            cr_assert(!it.closed.contains(call.link), "seed %lu: a call started on a closed link",
                      seed);
            for (const auto& [id, other] : running)
                cr_assert(other.link != call.link, "seed %lu: a link carries two calls", seed);
            running[call.id] = call;
            cr_assert(running.size() <= it.dispatcher.limit(),
                      "seed %lu: more calls than the limit", seed);
        }
        for (; checked_rejected < it.rejected.size(); ++checked_rejected) {
            const call_id id = it.rejected[checked_rejected].id;
            cr_assert(++end_counts[id] == 1, "seed %lu: a call ended twice", seed);
            running.erase(id);
        }
        cr_assert(running.size() == it.dispatcher.in_flight(),
                  "seed %lu: wrong number of calls in flight", seed);
        cr_assert(it.dispatcher.limit() <= slots && it.dispatcher.queued() <= 64);
    }

    void end_random_call()
    {
        if (running.empty())
            return;
        auto next = running.begin();
        std::advance(next, static_cast<std::ptrdiff_t>(random.below(running.size())));
        const start_call call = next->second;
        const auto status = static_cast<reply_status>(random.below(4));
        const auto state = static_cast<reported_state>(random.below(20) == 0 ? random.below(4) : 2);
        running.erase(next);
        ++end_counts[call.id];
        it.handle(call_completed{
            call.id, call.link, random.below(4) == 0 ? status : reply_status::completed,
            milliseconds{1 + random.below(12)}, state, 1 + random.below(60) / 59});
    }

    void step()
    {
        const std::uint64_t choice = random.below(100);
        it.now += std::chrono::microseconds{random.below(3000)};
        if (choice < 35) {
            end_counts[it.offer(
                random.below(2) == 0 ? request_class::batch : request_class::interactive,
                random.below(2) == 0 ? "a" : "b", milliseconds{1 + random.below(300)})];
        } else if (choice < 65) {
            end_random_call();
        } else if (choice < 78 && !it.opening.empty()) {
            const std::uint32_t link = it.opening.front();
            it.opening.pop_front();
            const bool success = random.below(5) != 0;
            // A link reports the reply to its first health request before it reports success.
            if (success)
                it.handle(link_probed{link, true, reported_state::warm, 1});
            it.handle(link_opened{link, success});
        } else if (choice < 88 && !it.probing.empty()) {
            const std::uint32_t link = it.probing.front();
            it.probing.pop_front();
            it.handle(link_probed{link, random.below(4) != 0, reported_state::warm, 1});
        } else if (choice < 92 && it.offered_calls > 0) {
            it.handle(cancel_requested{{{7, 1 + random.below(it.offered_calls)}, 0, 1}});
        } else if (choice < 94) {
            held = random.below(4) != 0;
            it.handle(holder_changed{held});
        } else if (choice < 95) {
            domain_out = random.below(3) == 0;
            it.handle(domain_changed{domain_out});
        } else {
            it.now += milliseconds{random.below(100)};
            it.handle(dispatcher_tick{});
        }
    }

    random_source random;
    std::uint32_t slots;
    std::uint32_t connections;
    dispatcher_fixture it;
    bool held = false;
    bool domain_out = false;
    // Calls that hold a slot.
    std::map<call_id, start_call> running;
    // How often each offered call has ended.
    std::map<call_id, int> end_counts;
    std::size_t checked_started = 0;
    std::size_t checked_rejected = 0;
};

} // namespace

// Guards against any order of events after which a call starts above the limit, while the
// host is not the holder, while the failure domain is out or while the upstream is leaving;
// and against lost slots and calls that do not end exactly once.
Test(dispatcher_replay, invariants_hold_for_random_events)
{
    std::size_t started = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        replay run{seed};
        for (int n = 0; n < 600; ++n) {
            run.step();
            run.check_new_actions(seed);
        }
        // After the longest timeout all remaining calls must have ended.
        run.it.now += std::chrono::seconds{2};
        run.it.handle(dispatcher_tick{});
        run.check_new_actions(seed);
        for (const auto& [id, ends] : run.end_counts)
            cr_assert(ends == 1, "seed %lu: a call ended %d times", seed, ends);
        cr_assert(run.it.dispatcher.in_flight() == 0 && run.it.dispatcher.queued() == 0);
        started += run.checked_started;
    }
    cr_assert(started > 10'000, "too few calls started: %zu", started);
}
