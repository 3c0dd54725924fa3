// Checks each decision of the order coordinator with single events.
#include "orders/ordercoordinator.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
const time_point deadline = start + 1s;
const request_id own{1, 1};
const request_id other{2, 2};

order_request make_request()
{
    return {own, service_name{"zamowienia"}, "k", 7, deadline};
}

record_read found(const request_id& attempt, order_state state, std::uint64_t fingerprint = 7,
                  const std::string& outcome = {})
{
    return {true, stored_record{
                      {service_name{"zamowienia"}, "k", attempt, fingerprint, state, outcome}, 5}};
}

const record_written accepted{write_result::accepted, 5};
const record_written lost{write_result::lost, 0};
const record_written mismatch{write_result::mismatch, 5};
const record_written refused{write_result::refused, 0};
const record_read absent{true, std::nullopt};
const record_read unreadable{false, std::nullopt};

struct fixture
{
    order_coordinator coordinator{make_request()};
    std::vector<order_action> last = coordinator.start(start);

    void deliver(const order_event& ev, time_point now = start)
    {
        last = coordinator.handle(ev, now);
    }

    template <class Action>
    [[nodiscard]] const Action* action() const
    {
        for (const order_action& it : last) {
            if (const auto* action = std::get_if<Action>(&it))
                return action;
        }
        return nullptr;
    }

    /// Error kind of the outcome, if the last actions end the request with an Outcome.
    template <class Outcome>
    [[nodiscard]] std::optional<error_kind> ended_with() const
    {
        const auto* end = action<finish_order>();
        if (end == nullptr || !std::holds_alternative<Outcome>(end->outcome))
            return std::nullopt;
        return std::get<Outcome>(end->outcome).reason.kind;
    }

    [[nodiscard]] bool wrote(order_state state, object_version expected) const
    {
        const auto* write = action<write_record>();
        return write != nullptr && write->record.state == state && write->record.attempt == own &&
               write->expected == expected;
    }
};

} // namespace

// Failure: a call that is sent before its record exists is run again by another
// attempt.
Test(order_coordinator, sends_only_after_the_record_is_accepted)
{
    fixture it;
    cr_assert(it.wrote(order_state::started, 0));
    cr_assert_null(it.action<send_order>());
    it.deliver(accepted);
    cr_assert_not_null(it.action<send_order>());
}

// Failure: the caller is answered before the outcome is first written, or only after
// all writes of it.
Test(order_coordinator, answers_after_the_first_write_and_retries_it)
{
    fixture it;
    it.deliver(accepted);
    it.deliver(order_replied{"r"});
    cr_assert(it.wrote(order_state::done, 5));
    cr_assert_null(it.action<finish_order>());
    it.deliver(lost);
    cr_assert_not_null(it.action<finish_order>());
    cr_assert(it.wrote(order_state::done, 5));
    it.deliver(refused);
    cr_assert_null(it.action<finish_order>());
    cr_assert(it.wrote(order_state::done, 5));
    it.deliver(mismatch);
    cr_assert(it.last.empty());
    cr_assert(it.coordinator.finished());
}

// Failure: endless writes of an outcome add load to a store that is down.
Test(order_coordinator, outcome_writes_are_bounded)
{
    fixture it;
    it.deliver(accepted);
    it.deliver(order_replied{"r"});
    int writes = 0;
    while (it.action<write_record>() != nullptr && writes < 100) {
        ++writes;
        it.deliver(refused);
    }
    cr_assert_eq(writes, 4);
    cr_assert(it.coordinator.finished());
}

// Failure: the order is given up or run twice when the reply to the create is lost.
Test(order_coordinator, recognises_own_record_after_a_lost_reply)
{
    fixture it;
    it.deliver(lost);
    cr_assert_not_null(it.action<read_record>());
    it.deliver(found(own, order_state::started));
    cr_assert_not_null(it.action<send_order>());
}

// Failure: the order is lost when a delayed create takes effect after a read that found
// nothing.
Test(order_coordinator, creates_again_when_no_record_is_found)
{
    fixture it;
    it.deliver(lost);
    it.deliver(absent);
    cr_assert(it.wrote(order_state::started, 0));
    it.deliver(mismatch);
    it.deliver(found(own, order_state::started));
    cr_assert_not_null(it.action<send_order>());
}

// Failure: a store whose replies are all lost keeps the caller waiting without end.
Test(order_coordinator, claims_are_bounded)
{
    fixture it;
    int writes = 0;
    while (it.action<write_record>() != nullptr && writes < 100) {
        ++writes;
        it.deliver(lost);
        it.deliver(absent);
    }
    cr_assert_eq(writes, 4);
    cr_assert(it.ended_with<not_run>() == error_kind::store_unavailable);
}

// Failure: an attempt sends its call after it has answered "not run".
Test(order_coordinator, unreadable_record_ends_as_not_run)
{
    fixture it;
    it.deliver(lost);
    it.deliver(unreadable);
    cr_assert(it.ended_with<not_run>() == error_kind::store_unavailable);
    it.deliver(found(own, order_state::started));
    cr_assert(it.last.empty());
}

// Failure: the answer is "not run" although another attempt exists and may have run.
Test(order_coordinator, unreadable_record_of_another_attempt_is_unknown)
{
    fixture it;
    it.deliver(mismatch);
    it.deliver(unreadable);
    cr_assert(it.ended_with<unknown_outcome>() == error_kind::attempt_in_progress);
}

// Failure: an order is sent although the store refused its record.
Test(order_coordinator, refused_record_ends_as_not_run)
{
    fixture it;
    it.deliver(refused);
    cr_assert(it.ended_with<not_run>() == error_kind::store_unavailable);
    cr_assert(it.coordinator.finished());
}

// Failure: a repeated request runs again or loses the first outcome.
Test(order_coordinator, repeated_request_gets_the_first_outcome)
{
    fixture it;
    it.deliver(mismatch);
    it.deliver(found(other, order_state::done, 7, "first"));
    const auto* end = it.action<finish_order>();
    cr_assert_not_null(end);
    cr_assert(std::get<order_answer>(end->outcome) == (order_answer{"first", true}));
}

// Failure: the record of an attempt that may have run is taken over.
Test(order_coordinator, started_record_of_another_attempt_is_unknown)
{
    fixture it;
    it.deliver(mismatch);
    it.deliver(found(other, order_state::started));
    cr_assert(it.ended_with<unknown_outcome>() == error_kind::attempt_in_progress);
}

// Failure: a caller gets the outcome of another order with the same key.
Test(order_coordinator, other_body_is_refused)
{
    fixture it;
    it.deliver(mismatch);
    it.deliver(found(other, order_state::done, 8, "first"));
    cr_assert(it.ended_with<not_run>() == error_kind::key_reused);
}

// Failure: an order that did not run can never run, or two attempts run it.
Test(order_coordinator, claims_a_record_that_did_not_run)
{
    fixture it;
    it.deliver(mismatch);
    it.deliver(found(other, order_state::not_run));
    cr_assert(it.wrote(order_state::started, 5));
    it.deliver(mismatch);
    it.deliver(found(other, order_state::started));
    cr_assert(it.ended_with<unknown_outcome>() == error_kind::attempt_in_progress);
}

// Failure: a call that the upstream did not run blocks its key for later attempts.
Test(order_coordinator, not_run_call_is_recorded)
{
    fixture it;
    it.deliver(accepted);
    it.deliver(order_failed{make_error(error_kind::overloaded, "shed")});
    cr_assert(it.wrote(order_state::not_run, 5));
    it.deliver(accepted);
    cr_assert(it.ended_with<not_run>() == error_kind::overloaded);
    cr_assert(it.coordinator.finished());
}

// Failure: a call that may have run is recorded or reported as not run.
Test(order_coordinator, failed_call_is_unknown_and_its_record_stays_started)
{
    fixture it;
    it.deliver(accepted);
    it.deliver(order_failed{make_error(error_kind::cancelled, "link closed")});
    cr_assert(it.ended_with<unknown_outcome>() == error_kind::reply_lost);
    cr_assert_null(it.action<write_record>());
}

// Failure: a host that was paused sends the call after its deadline.
Test(order_coordinator, record_accepted_after_the_deadline_is_released)
{
    fixture it;
    it.deliver(accepted, deadline);
    cr_assert_null(it.action<send_order>());
    cr_assert(it.ended_with<not_run>() == error_kind::deadline_too_short);
    cr_assert(it.wrote(order_state::not_run, 5));
}

// Failure: the call is sent although the caller was told "not run" at the deadline.
Test(order_coordinator, deadline_before_the_send_releases_the_record)
{
    fixture it;
    it.deliver(order_deadline{}, deadline);
    cr_assert(it.ended_with<not_run>() == error_kind::deadline_too_short);
    it.deliver(lost, deadline);
    it.deliver(found(own, order_state::started), deadline);
    cr_assert_null(it.action<send_order>());
    cr_assert(it.wrote(order_state::not_run, 5));
}

// Failure: the call is sent although the caller was told "not run" before the deadline;
// the node may end a request early.
Test(order_coordinator, record_accepted_after_the_end_is_released)
{
    fixture it;
    it.deliver(order_deadline{}, start);
    it.deliver(accepted, start);
    cr_assert_null(it.action<send_order>());
    cr_assert(it.wrote(order_state::not_run, 5));
}

// Failure: the answer is "not run" although the call was sent, or a late reply is not
// recorded.
Test(order_coordinator, deadline_after_the_send_is_unknown_and_a_late_reply_recorded)
{
    fixture it;
    it.deliver(accepted);
    it.deliver(order_deadline{}, deadline);
    cr_assert(it.ended_with<unknown_outcome>() == error_kind::reply_lost);
    cr_assert_not(it.coordinator.finished());
    it.deliver(order_replied{"late"}, deadline + 1s);
    cr_assert(it.wrote(order_state::done, 5));
    it.deliver(accepted, deadline + 1s);
    cr_assert_null(it.action<finish_order>());
    cr_assert(it.coordinator.finished());
}

// Failure: the answer is withheld because the write of the outcome is slow.
Test(order_coordinator, deadline_during_the_outcome_write_still_answers)
{
    fixture it;
    it.deliver(accepted);
    it.deliver(order_replied{"r"});
    it.deliver(order_deadline{}, deadline);
    const auto* end = it.action<finish_order>();
    cr_assert_not_null(end);
    cr_assert(std::holds_alternative<order_answer>(end->outcome));
}

// The store was restored while the record was claimed, so the record of an attempt that ran may be
// lost. Guards against an order that runs twice, and against a record that stays claimed.
Test(order_coordinator, order_is_not_sent_in_a_restored_store)
{
    for (const bool read_first : {false, true}) {
        fixture f;
        if (read_first) {
            f.deliver(lost);
            record_read own_record = found(own, order_state::started);
            own_record.restored = true;
            f.deliver(own_record);
        } else {
            f.deliver(record_written{write_result::accepted, 5, true});
        }
        cr_assert(f.action<send_order>() == nullptr);
        cr_assert(f.ended_with<not_run>() == error_kind::store_unavailable);
        const auto& outcome = std::get<not_run>(f.action<finish_order>()->outcome);
        cr_assert(outcome.retry_after == restored_records_wait);
        cr_assert(f.wrote(order_state::not_run, 5));
    }
}
