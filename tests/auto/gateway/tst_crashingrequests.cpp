// Tests of hosts that get a request under which upstreams end.
#include "crashingfleet.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

// Time after the third crash within which all hosts must know of the request, and the runs that
// the platform tolerates from then on.
constexpr duration notice = 4s;
constexpr std::size_t tolerated = 3;

// Sends the request 30 times, to each host in turn, and checks how often it has run since the
// notice.
void check_runs(crashing_fleet& f, const std::string& method, const std::string& target,
                const std::string& body)
{
    const std::string text = body.empty() ? target : body;
    f.fatal = {text};
    for (std::size_t it = 0; it < 30; ++it) {
        f.send(it, method, target, body);
        f.run(600ms);
    }
    cr_assert_lt(f.third_crash(), f.hand_time - notice);
    const std::size_t runs = f.runs_since(f.third_crash() + notice, text);
    cr_assert_leq(runs, tolerated, "%zu runs, %zu upstreams have ended", runs, f.crashes.size());
}

} // namespace

// Guards against a request that ends one upstream after the other because each host passes it on
// whenever it comes again.
Test(crashing_requests, are_not_passed_on_without_end)
{
    crashing_fleet f{8};
    check_runs(f, "POST", "/o/fatal", "fatal body");
}

// The same for a request that goes to all shards and ends an upstream of each.
Test(crashing_requests, are_not_passed_on_to_shards_without_end)
{
    crashing_fleet f{8};
    check_runs(f, "GET", "/q/fatal", "");
}

// Guards against a refusal that does not say that the request has not run and when to come back, or
// that comes late, and against requests that are refused because they ran beside the one to blame.
Test(crashing_requests, only_the_one_to_blame_is_refused)
{
    crashing_fleet f;
    f.fatal = {"fatal body"};
    for (std::size_t it = 0; it < 8; ++it) {
        for (std::size_t host = 0; host < 3; ++host) {
            for (int each = 0; each < 4; ++each)
                f.begin(host, "POST", "/o/x", "common body");
            f.begin(host, "POST", "/o/x", "own body " + std::to_string(host));
        }
        f.send(it, "POST", "/o/x", "fatal body");
        f.run(600ms);
    }
    cr_assert_geq(f.crashes.size(), 3);
    const time_point before = f.hand_time;
    const std::size_t runs = f.runs_since(time_point{}, "fatal body");
    const http_message refusal = f.send(0, "POST", "/o/x", "fatal body");
    cr_assert_eq(refusal.status, 503);
    cr_assert(!refusal.field("Retry-After").empty());
    cr_assert_lt((f.hand_time - before).count(), duration{50ms}.count());
    cr_assert_eq(f.runs_since(time_point{}, "fatal body"), runs);
    for (std::size_t host = 0; host < 3; ++host) {
        for (const std::string& body :
             {std::string{"common body"}, "own body " + std::to_string(host), std::string{"new"}})
            cr_assert_eq(f.send(host, "POST", "/o/x", body).status, 200, "%s", body.c_str());
        cr_assert_eq(f.send(host, "GET", "/q/x").status, 200);
    }
}

// Guards against requests that are blocked because replies are lost, while the upstreams live.
Test(crashing_requests, lost_replies_block_nothing)
{
    crashing_fleet f;
    for (const auto& it : f.upstreams)
        it->fail_next(standin::upstream_fault::lose_reply, 4);
    for (std::size_t it = 0; it < 15; ++it) {
        f.send(it, "POST", "/o/x", "body");
        f.run(300ms);
    }
    for (const auto& it : f.upstreams)
        it->fail_next(standin::upstream_fault::none, 1);
    std::size_t refused = 0;
    for (std::size_t it = 0; it < 30; ++it)
        refused += f.send(it, "POST", "/o/x", "body").status == 503 ? 1 : 0;
    cr_assert_eq(refused, 0);
}

// Upstreams leave, and end while they still run a request, which none of them answers. Guards
// against requests that are blocked for a planned stop.
Test(crashing_requests, planned_ends_block_nothing)
{
    crashing_fleet f;
    // Longer than the time budget.
    for (const auto& it : f.upstreams)
        it->set_service_time(3s);
    for (std::size_t leaving = 4; leaving < 9; ++leaving) {
        while (f.upstreams[leaving]->runs().empty()) {
            f.begin(leaving % 3, "POST", "/o/x", "body");
            f.run(10ms);
        }
        f.entries[leaving]["state"] = "draining";
        f.store.put("servers", f.ids[leaving], f.entries[leaving]);
        // Hosts learn of changes of entries within half a second.
        f.run(500ms);
        f.crash(leaving);
        f.run(200ms);
        f.entries[leaving]["state"] = "ready";
    }
    f.run(4s);
    for (const auto& it : f.upstreams)
        it->set_service_time(5ms);
    for (std::size_t it = 0; it < 6; ++it)
        cr_assert_eq(f.send(it, "POST", "/o/x", "body").status, 200);
}

// Guards against a host that has just started and passes on what the others block, also while the
// store is away.
Test(crashing_requests, are_not_passed_on_by_a_new_host)
{
    crashing_fleet f;
    f.fatal = {"fatal body"};
    for (std::size_t it = 0; it < 4; ++it) {
        f.send(it, "POST", "/o/x", "fatal body");
        f.run(600ms);
    }
    f.add_host();
    f.store.set_faults({.refuse_with = 503});
    f.run(1s);
    const std::size_t crashes = f.crashes.size();
    for (std::size_t it = 0; it < 4; ++it)
        cr_assert_eq(f.send(3, "POST", "/o/x", "fatal body").status, 503);
    cr_assert_eq(f.crashes.size(), crashes);
}

// The caller closes its connection before the upstream ends. Guards against a request that is never
// put in connection with the crash, or one that is blocked because it shares an upstream with it.
Test(crashing_requests, of_callers_that_leave_are_found)
{
    crashing_fleet f{3, 4};
    f.fatal = {"fatal body"};
    for (std::size_t it = 0; it < 12; ++it) {
        for (std::size_t each = 0; each < 12; ++each)
            f.begin(each % 3, "POST", "/o/x", "own body " + std::to_string(f.requests));
        f.begin_and_leave(it % 3, "POST", "/o/x", "fatal body", 30ms);
        f.run(4s);
    }
    cr_assert_lt(f.third_crash(), f.hand_time - notice);
    cr_assert_leq(f.runs_since(f.third_crash() + notice, "fatal body"), tolerated);
    cr_assert_eq(f.send(0, "POST", "/o/x", "new").status, 200);
}

// Guards against a request that stays blocked after its cause is gone.
Test(crashing_requests, are_served_again_after_a_trial)
{
    crashing_fleet f;
    f.fatal = {"fatal body"};
    for (std::size_t it = 0; it < 4; ++it) {
        f.send(it, "POST", "/o/x", "fatal body");
        f.run(600ms);
    }
    f.fatal.clear();
    // The block lasts 10 s; a caller repeats the request meanwhile.
    for (std::size_t it = 0; it < 12; ++it) {
        f.send(it, "POST", "/o/x", "fatal body");
        f.run(1s);
    }
    f.run(1s);
    for (std::size_t it = 0; it < 6; ++it)
        cr_assert_eq(f.send(it, "POST", "/o/x", "fatal body").status, 200);
}
