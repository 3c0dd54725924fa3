// Account of bytes: room of the classes and the return of charges.
#include "memory/byteaccount.h"

#include <criterion/criterion.h>

#include <optional>

using namespace ebonywick::memory;

namespace {

byte_account_pointer make_account()
{
    return {new byte_account{make_byte_budget(1000, 1.0)}};
}

} // namespace

// Failure: bodies take the room of the store, of heartbeats or of small requests.
Test(byte_account, bodies_leave_the_reserved_room)
{
    const auto account = make_account();
    byte_charge bodies{account, byte_class::caller_bodies};
    bodies.resize(account->room(byte_class::caller_bodies));
    cr_assert_eq(account->room(byte_class::caller_bodies), 0U);
    for (const auto it :
         {byte_class::caller_headers, byte_class::forwarded_requests, byte_class::answers,
          byte_class::upstream_replies, byte_class::store_replies, byte_class::peers})
        cr_expect(account->room(it) >= 50U, "%d", static_cast<int>(it));
}

// Failure: reserved room that its class uses counts twice, or a class exceeds the total.
Test(byte_account, all_classes_together_fill_the_budget)
{
    const auto account = make_account();
    byte_charge answers{account, byte_class::answers};
    answers.resize(account->room(byte_class::answers));
    byte_charge replies{account, byte_class::upstream_replies};
    replies.resize(account->room(byte_class::upstream_replies));
    cr_assert_eq(account->room(byte_class::answers), 0U);
    cr_assert_eq(account->used(byte_class::answers) + account->used(byte_class::upstream_replies),
                 1000U - 100U - 100U - 100U - 50U);
}

// Failure: a charge beyond the budget wraps the room around.
Test(byte_account, overdrawn_accounts_have_no_room)
{
    const auto account = make_account();
    byte_charge bodies{account, byte_class::caller_bodies};
    bodies.resize(5000);
    cr_assert_eq(account->room(byte_class::caller_bodies), 0U);
    cr_assert_eq(account->room(byte_class::answers), 0U);
}

// Failure: bytes of a closed connection stay in the account, or are returned twice.
Test(byte_account, charges_return_their_bytes_once)
{
    const auto account = make_account();
    {
        byte_charge first{account, byte_class::answers};
        first.resize(40);
        first.resize(30);
        byte_charge second{std::move(first)};
        byte_charge third{account, byte_class::answers};
        third.resize(5);
        third = std::move(second);
        cr_assert_eq(account->used(byte_class::answers), 30U);
    }
    cr_assert_eq(account->used(byte_class::answers), 0U);
}
