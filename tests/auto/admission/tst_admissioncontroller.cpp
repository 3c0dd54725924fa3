// Tests of admission control: limits, priority of the classes, fairness and refusals.
#include "admission/admissioncontroller.h"
#include "base/randomsource.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

struct admission_fixture
{
    explicit admission_fixture(const preset_declaration& preset) : controller(preset) {}

    request_id arrive(request_class traffic, const std::string& caller, duration deadline = 1s)
    {
        const request_id id{1, ++last_id};
        callers[id] = caller;
        apply(controller.handle(
            request_arrived{id, service_name{"s"}, caller_id{caller}, traffic, now + deadline},
            now));
        return id;
    }
    void end(request_id id)
    {
        admitted.erase(std::find(admitted.begin(), admitted.end(), id));
        apply(controller.handle(request_ended{id}, now));
    }
    void tick(duration time)
    {
        now += time;
        apply(controller.handle(admission_tick{}, now));
    }
    void observe_waits(duration wait, int count)
    {
        for (int it = 0; it < count; ++it)
            apply(controller.handle(queue_wait_observed{service_name{"s"}, wait}, now));
    }
    void apply(const std::vector<admission_action>& actions)
    {
        for (const admission_action& it : actions) {
            if (const auto* admit = std::get_if<admit_request>(&it)) {
                admitted.push_back(admit->id);
                ++admissions[callers.at(admit->id)];
                continue;
            }
            const auto& refuse = std::get<refuse_request>(it);
            cr_assert(is_not_run(refuse.reason.reason.kind));
            refused.emplace(refuse.id, refuse.reason);
        }
    }
    [[nodiscard]] bool is_admitted(const request_id& id) const
    {
        return std::find(admitted.begin(), admitted.end(), id) != admitted.end();
    }

    time_point now{1h};
    admission_controller controller;
    std::uint64_t last_id = 0;
    std::vector<request_id> admitted;
    std::map<request_id, not_run> refused;
    std::map<request_id, std::string> callers;
    std::map<std::string, std::size_t> admissions;
};

preset_declaration small_preset()
{
    preset_declaration preset;
    preset.interactive_limit = 2;
    preset.batch_limit = 4;
    preset.batch_queue = 8;
    return preset;
}

} // namespace

// Guards against batch requests that displace interactive ones, and against more running
// interactive requests than the limit allows.
Test(admission_controller, interactive_requests_come_first_up_to_their_limit)
{
    preset_declaration preset = small_preset();
    preset.batch_limit = 8;
    admission_fixture f{preset};
    const request_id first = f.arrive(request_class::interactive, "a");
    f.arrive(request_class::interactive, "a");
    const request_id waiting = f.arrive(request_class::interactive, "a");
    cr_assert(!f.is_admitted(waiting));
    f.arrive(request_class::batch, "b");
    const request_id batch = f.arrive(request_class::batch, "b");
    cr_assert_eq(f.controller.running(request_class::batch), 1U);
    cr_assert(!f.is_admitted(batch));
    f.end(first);
    cr_assert(f.is_admitted(waiting));
    cr_assert(f.is_admitted(batch));
    // A repeated event must not free a second slot.
    f.apply(f.controller.handle(request_ended{first}, f.now));
    cr_assert_eq(f.controller.running(request_class::interactive), 2U);
}

// Guards against a batch limit that does not decrease while the upstreams' queues are long, that
// drops to zero in one burst, or that does not recover.
Test(admission_controller, batch_limit_follows_the_observed_waits)
{
    preset_declaration preset;
    preset.batch_limit = 40;
    admission_fixture f{preset};
    for (int it = 0; it < 100; ++it)
        f.arrive(request_class::batch, "b", 1h);
    cr_assert_eq(f.admitted.size(), 10U);
    f.observe_waits(5ms, 500);
    for (int it = 0; it < 5; ++it)
        f.end(f.admitted.front());
    cr_assert_eq(f.controller.running(request_class::batch), 8U, "one decrease at a time");
    for (int it = 0; it < 30; ++it) {
        f.tick(100ms);
        f.observe_waits(5ms, 1);
    }
    for (int it = 0; it < 12; ++it)
        f.end(f.admitted.front());
    cr_assert_eq(f.controller.running(request_class::batch), 1U, "batch queries never stop");
    f.observe_waits(0ms, 200);
    for (int it = 0; it < 30; ++it) {
        f.tick(20ms);
        f.observe_waits(0ms, 1);
    }
    f.tick(0ms);
    cr_assert_geq(f.controller.running(request_class::batch), 10U);
}

// Guards against a caller with many requests that delays or locks out the others.
Test(admission_controller, callers_are_served_in_turn)
{
    preset_declaration preset = small_preset();
    preset.batch_limit = 1;
    admission_fixture f{preset};
    for (int it = 0; it < 20; ++it)
        f.arrive(request_class::batch, "flood");
    cr_assert_eq(f.controller.waiting(), 8U);
    f.arrive(request_class::batch, "small");
    f.arrive(request_class::batch, "small");
    cr_assert_eq(f.controller.waiting(), 8U);
    for (int it = 0; it < 4; ++it)
        f.end(f.admitted.front());
    cr_assert_eq(f.admissions["small"], 2U);
}

// Guards against a request that cannot meet its deadline and waits instead of being refused at
// once, and against refusals with a wrong retry-after time.
Test(admission_controller, requests_that_would_miss_their_deadline_are_refused_at_once)
{
    preset_declaration preset = small_preset();
    preset.batch_limit = 1;
    admission_fixture f{preset};
    // With a run time of 100 ms, another request waits for 300 ms: one running, two queued.
    const request_id measured = f.arrive(request_class::batch, "a");
    f.tick(100ms);
    f.end(measured);
    for (int it = 0; it < 3; ++it)
        f.arrive(request_class::batch, "a");
    const request_id late = f.arrive(request_class::batch, "a", 200ms);
    cr_assert(f.refused.contains(late));
    cr_assert_eq(f.refused.at(late).reason.kind, error_kind::deadline_too_short);
    cr_assert_eq(f.refused.at(late).retry_after.count(), duration{200ms}.count());
    const request_id patient = f.arrive(request_class::batch, "a", 1s);
    cr_assert(!f.refused.contains(patient));
    for (int it = 0; it < 10; ++it)
        f.arrive(request_class::batch, "a", 10s);
    cr_assert_eq(f.refused.rbegin()->second.reason.kind, error_kind::overloaded);
    cr_assert_eq(f.refused.rbegin()->second.retry_after.count(), duration{200ms}.count());
}

// Guards against holding a waiting request longer than it can still meet its deadline.
Test(admission_controller, waiting_requests_expire)
{
    preset_declaration preset = small_preset();
    preset.interactive_limit = 1;
    admission_fixture f{preset};
    f.arrive(request_class::interactive, "a");
    const request_id waiting = f.arrive(request_class::interactive, "a", 100ms);
    f.tick(49ms);
    cr_assert(f.refused.empty());
    f.tick(1ms);
    cr_assert(f.refused.contains(waiting));
    cr_assert_eq(f.controller.waiting(), 0U);
}

// Guards against a preset change that does not affect limits in use.
Test(admission_controller, preset_change_applies_to_limits_in_use)
{
    admission_fixture f{small_preset()};
    preset_declaration preset = small_preset();
    for (int it = 0; it < 3; ++it)
        f.arrive(request_class::interactive, "a");
    preset.interactive_limit = 3;
    f.controller.configure(preset);
    f.tick(0ms);
    cr_assert_eq(f.admitted.size(), 3U);
    preset.batch_limit = 0;
    f.controller.configure(preset);
    cr_assert(f.refused.contains(f.arrive(request_class::batch, "b")));
}

// Random sequences of arrivals, ends, observed waits and ticks under random limits. Guards
// against requests that end twice or never, and against more running or waiting requests than
// the limits allow.
Test(admission_controller, random_sequences_keep_the_invariants)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        random_source random{seed};
        preset_declaration preset = small_preset();
        preset.interactive_limit = static_cast<std::uint32_t>(1 + random.below(6));
        preset.batch_limit = static_cast<std::uint32_t>(1 + random.below(12));
        admission_fixture f{preset};
        std::set<request_id> ended;
        for (int step = 0; step < 2000; ++step) {
            const std::size_t before_batch = f.controller.running(request_class::batch);
            const std::uint64_t drawn = random.below(100);
            if (drawn < 50) {
                const auto traffic =
                    random.below(3) == 0 ? request_class::interactive : request_class::batch;
                // One caller sends two of three requests.
                f.arrive(traffic,
                         random.below(3) != 0 ? "flood"
                                              : "caller" + std::to_string(random.below(3)),
                         std::chrono::milliseconds{random.below(300)});
            } else if (drawn < 85 && !f.admitted.empty()) {
                const request_id id = f.admitted[random.below(f.admitted.size())];
                f.end(id);
                cr_assert(ended.insert(id).second);
            } else if (drawn < 90) {
                f.observe_waits(std::chrono::microseconds{random.below(3000)}, 10);
            } else {
                f.tick(std::chrono::milliseconds{random.below(20)});
            }
            cr_assert_leq(f.controller.running(request_class::interactive),
                          preset.interactive_limit);
            cr_assert_leq(f.controller.running(request_class::batch),
                          std::max<std::size_t>(before_batch, preset.batch_limit));
            cr_assert_leq(f.controller.waiting(), preset.interactive_limit + preset.batch_queue);
            const std::set<request_id> running{f.admitted.begin(), f.admitted.end()};
            cr_assert_eq(running.size(), f.admitted.size(), "admitted twice");
            cr_assert_eq(ended.size() + running.size() + f.refused.size() + f.controller.waiting(),
                         f.last_id, "a request was lost or ended twice");
            for (const auto& [id, reason] : f.refused)
                cr_assert(!running.contains(id) && !ended.contains(id));
        }
        while (!f.admitted.empty())
            f.end(f.admitted.front());
        cr_assert_eq(f.controller.waiting(), 0U, "requests wait although none runs");
    }
}

// Guards against an unequal share between callers during a lasting overload, in particular a
// larger one for a caller that sends more requests.
Test(admission_controller, overload_is_shared_between_callers)
{
    preset_declaration preset = small_preset();
    preset.batch_limit = 4;
    preset.batch_queue = 30;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        random_source random{seed};
        admission_fixture f{preset};
        for (int round = 0; round < 600; ++round) {
            for (int it = 0; it < 6; ++it)
                f.arrive(request_class::batch, "flood", 10s);
            for (const char* caller : {"a", "b"}) {
                f.arrive(request_class::batch, caller, 10s);
                f.arrive(request_class::batch, caller, 10s);
            }
            f.tick(10ms);
            for (int it = 0; it < 3 && !f.admitted.empty(); ++it)
                f.end(f.admitted[random.below(f.admitted.size())]);
        }
        const auto [least, most] =
            std::minmax({f.admissions.at("flood"), f.admissions.at("a"), f.admissions.at("b")});
        cr_assert_geq(double(least), 0.9 * double(most));
    }
}
