// Tests of the records that a host writes again after a restoration of the store.
#include "orders/recentorders.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

order_record record(const char* key, std::uint64_t attempt, order_state state,
                    const std::string& outcome = "")
{
    return {service_name{"s"}, key, request_id{0, attempt}, 7, state, outcome};
}

} // namespace

// The store has lost the record of an order that ran. Guards against a repetition that runs it
// again.
Test(recent_orders, lost_records_are_written_again)
{
    recent_orders orders;
    const time_point now{1h};
    orders.note("k1", record("1", 1, order_state::started), now);
    orders.note("k1", record("1", 1, order_state::done, "reply"), now + 1s);
    orders.note("k2", record("2", 2, order_state::started), now + 1s);
    orders.note("k3", record("3", 3, order_state::not_run), now + 1s);
    cr_assert(!orders.next_check(now + 1s));
    orders.restored(now + 2s);
    cr_assert(orders.next_check(now + 2s) == "k3" && orders.next_check(now + 2s) == "k2");
    cr_assert(orders.next_check(now + 2s) == "k1" && !orders.next_check(now + 2s));
    const auto done = record("1", 1, order_state::done, "reply");
    cr_assert(orders.resolve("k1", std::nullopt) == (write_record{done, 0}));
    // The copy has an earlier state, or another host has claimed the record meanwhile.
    cr_assert(orders.resolve("k1", stored_record{record("1", 1, order_state::started), 5}) ==
              (write_record{done, 5}));
    cr_assert(orders.resolve("k1", stored_record{record("1", 9, order_state::not_run), 6}) ==
              (write_record{done, 6}));
    cr_assert(!orders.resolve("k1", stored_record{done, 7}));
    // It may still be running here.
    cr_assert(orders.resolve("k2", std::nullopt)->record.state == order_state::started);
    cr_assert(!orders.resolve("k2", stored_record{record("2", 8, order_state::done, "x"), 7}));
    // An order that did not run may be claimed by others, but not stay claimed by this host.
    cr_assert(!orders.resolve("k3", std::nullopt));
    cr_assert(!orders.resolve("k3", stored_record{record("3", 9, order_state::started), 7}));
    cr_assert(orders.resolve("k3", stored_record{record("3", 3, order_state::started), 7}));
    cr_assert(!orders.resolve("other", std::nullopt));
}

// Guards against memory that grows with the number of orders.
Test(recent_orders, old_and_large_records_are_forgotten)
{
    recent_orders orders;
    const time_point now{1h};
    orders.note("k1", record("1", 1, order_state::done), now);
    orders.note("k2", record("2", 2, order_state::done), now + 60s);
    // Noted again, it is kept for the whole time.
    orders.note("k1", record("1", 1, order_state::done), now + 60s);
    cr_assert(!orders.empty(now + recent_orders::retention + 59s));
    cr_assert(orders.empty(now + recent_orders::retention + 60s));
    const std::string large(1U << 20U, 'x');
    for (int it = 0; it < 20; ++it)
        orders.note(std::to_string(it), record("1", 1, order_state::done, large), now);
    orders.restored(now);
    std::size_t kept = 0;
    while (orders.next_check(now))
        ++kept;
    cr_assert(kept == recent_orders::max_bytes / (1U << 20U) - 1);
}
