// Roll-outs with hosts, the store and upstreams of two versions.
#include "gatewayfixture.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

// The service `orders` has two upstreams of v1, and two of v2 from add_target() on.
struct rollout_fixture : gateway_fixture
{
    rollout_fixture() : gateway_fixture(1, fixture_clock::by_hand)
    {
        settings.exposure_share = 0.1;
        settings.exposure_slack = 50;
        for (json& it : entries)
            it["version"] = "v1";
        start_ready();
    }

    void add_target()
    {
        const std::size_t first = ids.size();
        add_service("orders");
        for (std::size_t it = first; it < ids.size(); ++it) {
            ids[it] = "new-" + std::to_string(it);
            upstreams[it]->set_id(ids[it]);
            entries[it]["version"] = "v2";
            store.put("servers", ids[it], entries[it]);
        }
    }
    void put_order(int seconds)
    {
        store.put("rollouts", "orders",
                  {{"backend", "orders"}, {"target_version", "v2"}, {"duration_s", seconds}});
    }
    std::string state() const
    {
        const json status = store.objects("rollouts").at("orders").at("status");
        return status.is_object() ? status.value("state", "") : "";
    }
    // Requests that the upstreams of v2 have run.
    std::size_t target_runs() const
    {
        return upstreams[upstreams.size() - 1]->runs().size() +
               upstreams[upstreams.size() - 2]->runs().size();
    }
    // One request at a time until `span` has passed.
    void request_for(duration span)
    {
        const time_point end = hand_time + span;
        while (hand_time < end) {
            order("r" + std::to_string(++requests));
            run(20ms);
        }
    }

    int requests = 0;
};

} // namespace

// A good version is not completed, or the old one still gets requests after that.
Test(rollouts, a_good_version_is_completed_in_time)
{
    rollout_fixture f;
    f.add_target();
    f.put_order(12);
    f.request_for(6s);
    cr_assert(f.state() == "running");
    cr_assert_leq(static_cast<double>(f.target_runs()), 0.05 * f.requests + 26);
    cr_assert_gt(f.target_runs(), 0);
    f.request_for(6s);
    cr_assert(f.state() == "completed");
    const std::size_t before = f.target_runs();
    const int requests_before = f.requests;
    f.request_for(1s);
    cr_assert_eq(f.target_runs() - before, static_cast<std::size_t>(f.requests - requests_before));
}

// A version that fails goes on to get requests, also while the store is away.
Test(rollouts, a_failing_version_is_rolled_back_while_the_store_is_away)
{
    rollout_fixture f;
    f.add_target();
    f.put_order(30);
    f.run(1s);
    for (std::size_t it = f.upstreams.size() - 2; it < f.upstreams.size(); ++it)
        f.upstreams[it]->fail_next(standin::upstream_fault::fail, 1000);
    f.store.set_faults({.refuse_with = 503});
    f.request_for(12s);
    const std::size_t exposed = f.target_runs();
    cr_assert_leq(exposed, 50);
    f.request_for(4s);
    cr_assert_eq(f.target_runs(), exposed);
    f.store.set_faults({});
    f.request_for(8s);
    cr_assert(f.state() == "rolled_back");
    cr_assert_eq(f.target_runs(), exposed);
}

// Two hosts decide at once, or the slack is given to each of them.
Test(rollouts, two_hosts_roll_back_and_complete_together)
{
    for (const bool failing : {false, true}) {
        rollout_fixture f;
        const gateway_settings second = f.other_host("h2");
        gateway other{f.loop, f.timers, second, f.log, 6};
        other.start();
        f.wait_until([&] { return f.get(second.readiness, "/ebonywick/ready").status == 200; });
        f.run(4s);
        f.add_target();
        f.put_order(12);
        f.run(500ms);
        for (std::size_t it = f.upstreams.size() - 2; failing && it < f.upstreams.size(); ++it)
            f.upstreams[it]->fail_next(standin::upstream_fault::fail, 1000);
        const endpoint first = f.settings.callers;
        for (int it = 0; it < 23; ++it) {
            f.settings.callers = it % 2 == 0 ? first : second.callers;
            f.request_for(500ms);
        }
        cr_assert(f.state() == (failing ? "rolled_back" : "completed"));
        if (failing)
            cr_assert_leq(f.target_runs(), 50);
    }
}

// A host that starts after a roll-back sends requests to the version.
Test(rollouts, a_host_that_starts_after_a_roll_back_leaves_the_version_alone)
{
    rollout_fixture f;
    f.add_target();
    f.put_order(30);
    f.run(1s);
    for (std::size_t it = f.upstreams.size() - 2; it < f.upstreams.size(); ++it)
        f.upstreams[it]->fail_next(standin::upstream_fault::fail, 1000);
    f.request_for(12s);
    cr_assert(f.state() == "rolled_back");
    const std::size_t exposed = f.target_runs();
    f.settings = f.other_host("h2");
    f.start();
    f.wait_until([&] { return f.get(f.settings.readiness, "/ebonywick/ready").status == 200; });
    f.request_for(2s);
    cr_assert_eq(f.target_runs(), exposed);
}
