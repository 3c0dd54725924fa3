// Tests of hosts that get a request under which upstreams end.
#include "crashingfleet.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

// Time after the third crash within which all hosts must know of the request, and the runs that
// the platform tolerates from then on.
constexpr duration notice = 4s;
constexpr std::size_t tolerated = 3;

// Sends the request 20 times, to each host in turn, and checks how often it has run since then.
void check_runs(crashing_fleet& f, const std::string& method, const std::string& target,
                const std::string& body)
{
    const std::string text = body.empty() ? target : body;
    f.fatal = {text};
    for (std::size_t it = 0; it < 20; ++it) {
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
    crashing_fleet f;
    check_runs(f, "POST", "/o/fatal", "fatal body");
}

// The same for a request that goes to all shards and ends an upstream of each.
Test(crashing_requests, are_not_passed_on_to_shards_without_end)
{
    crashing_fleet f;
    check_runs(f, "GET", "/q/fatal", "");
}
