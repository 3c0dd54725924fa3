// Tests of the watch of one collection after cut watches and lost history.
#include "gatewayfixture.h"

#include "gateway/collectionwatch.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

struct watch_fixture
{
    watch_fixture()
    {
        store.put("servers", "a", {{"x", 1}});
        watch.start();
        run(50ms);
    }
    void run(duration span) { loop.run_for(span); }
    [[nodiscard]] bool knows(const std::string& name) const
    {
        return watch.copy().items().contains(name);
    }

    boost::asio::io_context loop{1};
    timer_queue timers{loop, boot_clock::now};
    endpoint address = free_address();
    standin::platform_store store{loop, timers, address};
    collection_watch watch{loop,
                           timers,
                           address,
                           platform::store_collection::upstreams,
                           {.pause = 50ms, .read_freshness = platform::freshness::stale_ok},
                           {.listed = [](const auto&) {},
                            .changed = [](const auto&) {},
                            .contact_changed = [](auto, auto) {},
                            .call_started = [](auto, auto, auto) {},
                            .may_call = [](auto) { return true; },
                            .call_ended =
                                [](auto) {
                                }}};
};

} // namespace

// The store cuts all watches of all hosts at once. Failure: every host thinks that it has lost the
// store, so that none reads the newest state.
Test(collection_watch, cut_watch_is_no_outage)
{
    watch_fixture f;
    cr_assert(f.watch.store_reachable());
    f.store.cut_watches();
    f.run(20ms);
    cr_assert(f.watch.store_reachable());
    f.store.set_faults({.refuse_with = 503});
    f.store.cut_watches();
    f.run(1s);
    cr_assert(!f.watch.store_reachable());
}

// Stale reads fail after the history was lost, and the host waits for others to pass on changes.
// Failure: it still waits after it has become the one that reads the newest state. Seen on the
// large deployment: a configuration came into force 5 s late on all hosts.
Test(collection_watch, new_reader_does_not_wait_for_others)
{
    for (const bool others_end : {true, false}) {
        watch_fixture f;
        f.watch.set_other_readers(true);
        f.store.set_faults({.refuse_with = 503});
        f.store.cut_watches();
        f.store.put("servers", "b", {{"x", 1}});
        f.store.forget_history();
        f.store.set_faults({.lag = 3});
        f.run(300ms);
        f.store.put("servers", "c", {{"x", 1}});
        f.run(300ms);
        cr_assert(!f.knows("c"));
        if (others_end)
            f.watch.set_other_readers(false);
        else
            f.watch.set_freshness(platform::freshness::newest);
        f.run(500ms);
        cr_assert(f.knows("c"));
    }
}

// The store falls silent, and the host becomes a reader of the newest state while its first call
// waits for the reply. Failure: that call is repeated as one that waits for changes, whose reply is
// not missed for 18 s. Seen in the soak with seed 734: no change came into force meanwhile.
Test(collection_watch, repeated_call_to_a_silent_store_does_not_wait_for_changes)
{
    watch_fixture f;
    f.store.set_faults({.silent = true});
    f.store.cut_watches();
    f.run(200ms);
    f.watch.set_freshness(platform::freshness::newest);
    f.run(100ms);
    f.store.set_faults({});
    f.store.put("servers", "c", {{"x", 1}});
    f.run(3s);
    cr_assert(f.watch.copy().items().contains("c"));
}
