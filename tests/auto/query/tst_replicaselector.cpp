// Tests of the selection of snapshots and replicas.
#include "queryfixture.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

std::size_t times_chosen(replica_selector& selector, const upstream_id& upstream)
{
    std::size_t count = 0;
    for (int it = 0; it < 200; ++it) {
        const auto choice = selector.choose(shard_name{"shard0"}, {5, 1}, {});
        count += choice && choice->upstream == upstream ? 1 : 0;
    }
    return count;
}

} // namespace

// Guards against taking a version for complete that some shard does not hold.
Test(replica_selector, newest_complete_needs_every_shard)
{
    query_fixture f{2, 2};
    f.report(upstream_of(0, 0), {5, 6});
    cr_assert(!f.selector.newest_complete());
    f.report(upstream_of(1, 1), {4, 5, 7});
    cr_assert((f.selector.newest_complete() == snapshot{5, 1}));
    cr_assert(!f.selector.newest_complete(5));
    f.report(upstream_of(1, 0), {6});
    cr_assert((f.selector.newest_complete(5) == snapshot{6, 1}));
}

// Guards against taking a version for complete in a map for which it was not built.
Test(replica_selector, version_counts_only_for_its_epoch)
{
    query_fixture f{1, 1};
    f.service.shard_maps.push_back(make_map(2, 1, 1));
    f.selector.configure(f.service, {});
    f.report_all({5});
    f.selector.observe_snapshot(upstream_of(0, 0), {5, 1});
    cr_assert((f.selector.newest_complete() == snapshot{5, 1}));
    cr_assert((!f.selector.choose(shard_name{"shard0"}, {5, 2}, {})));
}

// Guards against calls to a replica that is leaving or unreachable or whose failure domain is
// out.
Test(replica_selector, unusable_replicas_are_not_chosen)
{
    query_fixture f{1, 3};
    f.report_all({5});
    f.selector.observe({upstream_of(0, 0), {5}, 0, false, true, false});
    f.selector.set_unreachable({upstream_of(0, 1)});
    cr_assert_eq(times_chosen(f.selector, upstream_of(0, 2)), 200U);
    f.selector.configure(f.service, {failure_domain_id{"domain2"}});
    cr_assert((!f.selector.choose(shard_name{"shard0"}, {5, 1}, {})));
    cr_assert((!f.selector.choose(shard_name{"shard0"}, {0, 1}, {})));
    cr_assert(!f.selector.newest_complete());
    // A replica stops counting as leaving unless it reports it again.
    f.selector.advance(f.now + 3s);
    cr_assert_eq(times_chosen(f.selector, upstream_of(0, 0)), 200U);
    cr_assert((f.selector.newest_complete() == snapshot{5, 1}));
}

// Guards against preferring a replica of unknown versions to one that holds the version, and
// against never asking it, so that its versions would stay unknown.
Test(replica_selector, replica_of_unknown_versions_is_last_resort_but_probed)
{
    query_fixture f{1, 2};
    f.report(upstream_of(0, 0), {5});
    cr_assert_eq(times_chosen(f.selector, upstream_of(0, 1)), 1U);
    const std::vector<upstream_id> excluded{upstream_of(0, 0)};
    const auto choice = f.selector.choose(shard_name{"shard0"}, {5, 1}, excluded);
    cr_assert(choice && choice->upstream == upstream_of(0, 1));
    f.report(upstream_of(0, 1), {4});
    cr_assert((!f.selector.choose(shard_name{"shard0"}, {5, 1}, excluded)));
}

// Guards against calls to a loaded or failing replica, and against sending all calls to one
// of the others.
Test(replica_selector, loaded_and_failing_replicas_are_avoided)
{
    query_fixture f{1, 3};
    f.report_all({5});
    for (int it = 0; it < 3; ++it)
        f.selector.call_sent(upstream_of(0, 0));
    cr_assert_eq(times_chosen(f.selector, upstream_of(0, 0)), 0U);
    cr_assert_gt(times_chosen(f.selector, upstream_of(0, 1)), 40U);
    cr_assert_gt(times_chosen(f.selector, upstream_of(0, 2)), 40U);
    f.selector.observe_failure(upstream_of(0, 1), error_kind::upstream_unavailable, {5, 1});
    cr_assert_eq(times_chosen(f.selector, upstream_of(0, 1)), 0U);
    f.selector.advance(f.now + 100ms);
    cr_assert_gt(times_chosen(f.selector, upstream_of(0, 1)), 40U);
}

// Guards against a hedge delay that shrinks because cancelled slow calls are not counted, so
// that more and more calls are hedged.
Test(replica_selector, cancelled_calls_count_towards_the_hedge_delay)
{
    query_fixture f{1, 1};
    f.add_latency_samples();
    const duration before = f.selector.hedge_delay();
    cr_assert_geq(before.count(), duration{2ms}.count());
    for (int it = 0; it < 4000; ++it) {
        f.selector.call_sent(upstream_of(0, 0));
        if (it % 40 == 0)
            f.selector.call_cancelled(upstream_of(0, 0), 4ms);
        else
            f.selector.call_ended(upstream_of(0, 0), 1ms);
    }
    cr_assert_geq(f.selector.hedge_delay().count(), duration{4ms}.count());
}

// Guards against losing the observations of upstreams that stay declared.
Test(replica_selector, configure_keeps_observations)
{
    query_fixture f{2, 1};
    f.report_all({5});
    f.service.shard_maps.front().shards.erase(f.service.shard_maps.front().shards.begin());
    f.selector.configure(f.service, {});
    cr_assert((f.selector.newest_complete() == snapshot{5, 1}));
}
