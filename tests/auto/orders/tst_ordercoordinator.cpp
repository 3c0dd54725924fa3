// Guards each decision of section 7 of the design page with events given by hand.
#include "orders/ordercoordinator.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
const time_point deadline = start + 1s;
const request_id own{1, 1};
const request_id other{2, 2};

order_request plan()
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
    order_coordinator coordinator{plan()};
    std::vector<order_action> last = coordinator.start(start);

    void feed(const order_event& ev, time_point now = start) { last = coordinator.handle(ev, now); }

    template <class Action>
    [[nodiscard]] const Action* find() const
    {
        for (const order_action& it : last) {
            if (const auto* action = std::get_if<Action>(&it))
                return action;
        }
        return nullptr;
    }

    /// Kind of the outcome if it is an Outcome.
    template <class Outcome>
    [[nodiscard]] std::optional<error_kind> ended_as() const
    {
        const auto* end = find<finish_order>();
        if (end == nullptr || !std::holds_alternative<Outcome>(end->outcome))
            return std::nullopt;
        return std::get<Outcome>(end->outcome).reason.kind;
    }

    [[nodiscard]] bool writes(order_state state, object_version expected) const
    {
        const auto* write = find<write_record>();
        return write != nullptr && write->record.state == state && write->record.attempt == own &&
               write->expected == expected;
    }
};

} // namespace

// Failure: a call that is sent before its record exists runs again elsewhere.
Test(order_coordinator, sends_only_after_the_record_is_accepted)
{
    fixture it;
    cr_assert(it.writes(order_state::started, 0));
    cr_assert_null(it.find<send_order>());
    it.feed(accepted);
    cr_assert_not_null(it.find<send_order>());
}

// Failure: an answer before the first write, or one that waits for all of them.
Test(order_coordinator, answers_after_the_first_write_and_repeats_it)
{
    fixture it;
    it.feed(accepted);
    it.feed(order_replied{"r"});
    cr_assert(it.writes(order_state::done, 5));
    cr_assert_null(it.find<finish_order>());
    it.feed(lost);
    cr_assert_not_null(it.find<finish_order>());
    cr_assert(it.writes(order_state::done, 5));
    it.feed(refused);
    cr_assert_null(it.find<finish_order>());
    cr_assert(it.writes(order_state::done, 5));
    it.feed(mismatch);
    cr_assert(it.last.empty());
    cr_assert(it.coordinator.finished());
}

// Failure: outcome writes without end keep a store under load that is down.
Test(order_coordinator, outcome_writes_are_bounded)
{
    fixture it;
    it.feed(accepted);
    it.feed(order_replied{"r"});
    int writes = 0;
    while (it.find<write_record>() != nullptr && writes < 100) {
        ++writes;
        it.feed(refused);
    }
    cr_assert_eq(writes, 4);
    cr_assert(it.coordinator.finished());
}

// Failure: the reply to the create is lost and the order is given up or repeated.
Test(order_coordinator, recognises_its_record_after_a_lost_reply)
{
    fixture it;
    it.feed(lost);
    cr_assert_not_null(it.find<read_record>());
    it.feed(found(own, order_state::started));
    cr_assert_not_null(it.find<send_order>());
}

// Failure: a delayed create takes effect after a read that found nothing.
Test(order_coordinator, creates_again_when_nothing_is_found)
{
    fixture it;
    it.feed(lost);
    it.feed(absent);
    cr_assert(it.writes(order_state::started, 0));
    it.feed(mismatch);
    it.feed(found(own, order_state::started));
    cr_assert_not_null(it.find<send_order>());
}

// Failure: a store that loses every reply keeps the caller waiting for ever.
Test(order_coordinator, claims_are_bounded)
{
    fixture it;
    int writes = 0;
    while (it.find<write_record>() != nullptr && writes < 100) {
        ++writes;
        it.feed(lost);
        it.feed(absent);
    }
    cr_assert_eq(writes, 4);
    cr_assert(it.ended_as<not_run>() == error_kind::store_unavailable);
}

// Failure: an attempt that answered "not run" sends its call after all.
Test(order_coordinator, unreadable_record_ends_as_not_run)
{
    fixture it;
    it.feed(lost);
    it.feed(unreadable);
    cr_assert(it.ended_as<not_run>() == error_kind::store_unavailable);
    it.feed(found(own, order_state::started));
    cr_assert(it.last.empty());
}

// Failure: "not run" although another attempt's record exists and may have run.
Test(order_coordinator, unreadable_record_of_another_attempt_is_unknown)
{
    fixture it;
    it.feed(mismatch);
    it.feed(unreadable);
    cr_assert(it.ended_as<unknown_outcome>() == error_kind::attempt_in_progress);
}

// Failure: an order is sent although the store refused its record.
Test(order_coordinator, refused_record_ends_as_not_run)
{
    fixture it;
    it.feed(refused);
    cr_assert(it.ended_as<not_run>() == error_kind::store_unavailable);
    cr_assert(it.coordinator.finished());
}

// Failure: a repeated request runs again or loses the first outcome.
Test(order_coordinator, repeated_request_gets_the_first_outcome)
{
    fixture it;
    it.feed(mismatch);
    it.feed(found(other, order_state::done, 7, "first"));
    const auto* end = it.find<finish_order>();
    cr_assert_not_null(end);
    cr_assert(std::get<order_answer>(end->outcome) == (order_answer{"first", true}));
}

// Failure: the record of an attempt that may have run is taken over.
Test(order_coordinator, started_record_of_another_attempt_is_unknown)
{
    fixture it;
    it.feed(mismatch);
    it.feed(found(other, order_state::started));
    cr_assert(it.ended_as<unknown_outcome>() == error_kind::attempt_in_progress);
}

// Failure: a caller gets the outcome of another order.
Test(order_coordinator, other_body_is_refused)
{
    fixture it;
    it.feed(mismatch);
    it.feed(found(other, order_state::done, 8, "first"));
    cr_assert(it.ended_as<not_run>() == error_kind::key_reused);
}

// Failure: an order that did not run can never run, or two attempts claim it.
Test(order_coordinator, claims_a_record_that_did_not_run)
{
    fixture it;
    it.feed(mismatch);
    it.feed(found(other, order_state::not_run));
    cr_assert(it.writes(order_state::started, 5));
    it.feed(mismatch);
    it.feed(found(other, order_state::started));
    cr_assert(it.ended_as<unknown_outcome>() == error_kind::attempt_in_progress);
}

// Failure: a call that the upstream did not run blocks its key.
Test(order_coordinator, not_run_call_is_recorded)
{
    fixture it;
    it.feed(accepted);
    it.feed(order_failed{make_error(error_kind::overloaded, "shed")});
    cr_assert(it.writes(order_state::not_run, 5));
    it.feed(accepted);
    cr_assert(it.ended_as<not_run>() == error_kind::overloaded);
    cr_assert(it.coordinator.finished());
}

// Failure: a call that may have run is recorded or reported as not run.
Test(order_coordinator, failed_call_is_unknown_and_stays_started)
{
    fixture it;
    it.feed(accepted);
    it.feed(order_failed{make_error(error_kind::cancelled, "link closed")});
    cr_assert(it.ended_as<unknown_outcome>() == error_kind::reply_lost);
    cr_assert_null(it.find<write_record>());
}

// Failure: a paused host sends the call long after its caller gave up.
Test(order_coordinator, record_accepted_after_the_deadline_is_released)
{
    fixture it;
    it.feed(accepted, deadline);
    cr_assert_null(it.find<send_order>());
    cr_assert(it.ended_as<not_run>() == error_kind::deadline_too_short);
    cr_assert(it.writes(order_state::not_run, 5));
}

// Failure: the call is sent after the deadline was answered with "not run".
Test(order_coordinator, deadline_before_the_send_releases_the_record)
{
    fixture it;
    it.feed(order_deadline{}, deadline);
    cr_assert(it.ended_as<not_run>() == error_kind::deadline_too_short);
    it.feed(lost, deadline);
    it.feed(found(own, order_state::started), deadline);
    cr_assert_null(it.find<send_order>());
    cr_assert(it.writes(order_state::not_run, 5));
}

// Failure: the call is sent although its caller was told "not run"; the node may
// end a request before its deadline.
Test(order_coordinator, record_accepted_after_the_end_is_released)
{
    fixture it;
    it.feed(order_deadline{}, start);
    it.feed(accepted, start);
    cr_assert_null(it.find<send_order>());
    cr_assert(it.writes(order_state::not_run, 5));
}

// Failure: "not run" after the send, or a late outcome that is not recorded.
Test(order_coordinator, deadline_after_the_send_is_unknown_and_a_late_reply_recorded)
{
    fixture it;
    it.feed(accepted);
    it.feed(order_deadline{}, deadline);
    cr_assert(it.ended_as<unknown_outcome>() == error_kind::reply_lost);
    cr_assert_not(it.coordinator.finished());
    it.feed(order_replied{"late"}, deadline + 1s);
    cr_assert(it.writes(order_state::done, 5));
    it.feed(accepted, deadline + 1s);
    cr_assert_null(it.find<finish_order>());
    cr_assert(it.coordinator.finished());
}

// Failure: the answer is withheld because its record is slow to write.
Test(order_coordinator, deadline_during_the_outcome_write_still_answers)
{
    fixture it;
    it.feed(accepted);
    it.feed(order_replied{"r"});
    it.feed(order_deadline{}, deadline);
    const auto* end = it.find<finish_order>();
    cr_assert_not_null(end);
    cr_assert(std::holds_alternative<order_answer>(end->outcome));
}
