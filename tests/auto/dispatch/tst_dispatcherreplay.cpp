// Random events over many seeds; the gate's invariants hold after each of them.
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

    void take_new(std::uint64_t seed)
    {
        for (; seen_started < it.started.size(); ++seen_started) {
            const start_call& call = it.started[seen_started];
            cr_assert(open_ends[call.id] == 0, "seed %lu: started after its end", seed);
            cr_assert(held && !domain_out && !it.gate.leaving(), "seed %lu: started while closed",
                      seed);
            cr_assert(call.timeout <= milliseconds{1000} && call.timeout > duration::zero());
            cr_assert(!it.closed.contains(call.link), "seed %lu: closed link", seed);
            for (const auto& [id, other] : running)
                cr_assert(other.link != call.link, "seed %lu: link carries two calls", seed);
            running[call.id] = call;
            cr_assert(running.size() <= it.gate.limit(), "seed %lu: above the limit", seed);
        }
        for (; seen_rejected < it.rejected.size(); ++seen_rejected) {
            const call_id id = it.rejected[seen_rejected].id;
            cr_assert(++open_ends[id] == 1, "seed %lu: ended twice", seed);
            running.erase(id);
        }
        cr_assert(running.size() == it.gate.in_flight(), "seed %lu: lost a slot", seed);
        cr_assert(it.gate.limit() <= slots && it.gate.queued() <= 64);
    }

    void end_one()
    {
        if (running.empty())
            return;
        auto next = running.begin();
        std::advance(next, static_cast<std::ptrdiff_t>(random.below(running.size())));
        const start_call call = next->second;
        const auto status = static_cast<reply_status>(random.below(4));
        const auto state = static_cast<reported_state>(random.below(20) == 0 ? random.below(4) : 2);
        running.erase(next);
        ++open_ends[call.id];
        it.send(call_completed{
            call.id, call.link, random.below(4) == 0 ? status : reply_status::completed,
            milliseconds{1 + random.below(12)}, state, 1 + random.below(60) / 59});
    }

    void step()
    {
        const std::uint64_t choice = random.below(100);
        it.now += std::chrono::microseconds{random.below(3000)};
        if (choice < 35) {
            open_ends[it.offer(
                random.below(2) == 0 ? request_class::batch : request_class::interactive,
                random.below(2) == 0 ? "a" : "b", milliseconds{1 + random.below(300)})];
        } else if (choice < 65) {
            end_one();
        } else if (choice < 78 && !it.opening.empty()) {
            const std::uint32_t link = it.opening.front();
            it.opening.pop_front();
            const bool success = random.below(5) != 0;
            // A link reports the reply to its first health request before it opens.
            if (success)
                it.send(link_probed{link, true, reported_state::warm, 1});
            it.send(link_opened{link, success});
        } else if (choice < 88 && !it.probing.empty()) {
            const std::uint32_t link = it.probing.front();
            it.probing.pop_front();
            it.send(link_probed{link, random.below(4) != 0, reported_state::warm, 1});
        } else if (choice < 92 && it.calls > 0) {
            it.send(cancel_requested{{{7, 1 + random.below(it.calls)}, 0, 1}});
        } else if (choice < 94) {
            held = random.below(4) != 0;
            it.send(holder_changed{held});
        } else if (choice < 95) {
            domain_out = random.below(3) == 0;
            it.send(domain_changed{domain_out});
        } else {
            it.now += milliseconds{random.below(100)};
            it.send(dispatcher_tick{});
        }
    }

    random_source random;
    std::uint32_t slots;
    std::uint32_t connections;
    dispatcher_fixture it;
    bool held = false;
    bool domain_out = false;
    // Calls that hold a slot, and how often each offered call has ended.
    std::map<call_id, start_call> running;
    std::map<call_id, int> open_ends;
    std::size_t seen_started = 0;
    std::size_t seen_rejected = 0;
};

} // namespace

// Guards against any order of events that breaks I3, I4, I8, a slot count or the
// single end of a call.
Test(dispatcher_replay, invariants_hold_for_random_events)
{
    std::size_t started = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        replay run{seed};
        for (int n = 0; n < 600; ++n) {
            run.step();
            run.take_new(seed);
        }
        // Everything that is left ends by itself.
        run.it.now += std::chrono::seconds{2};
        run.it.send(dispatcher_tick{});
        run.take_new(seed);
        for (const auto& [id, ends] : run.open_ends)
            cr_assert(ends == 1, "seed %lu: a call ended %d times", seed, ends);
        cr_assert(run.it.gate.in_flight() == 0 && run.it.gate.queued() == 0);
        started += run.seen_started;
    }
    cr_assert(started > 10'000, "the replay must reach running calls, %zu started", started);
}
