// Who loses its bytes or its connection.
#include "memory/loser.h"

#include <criterion/criterion.h>

#include <vector>

using namespace ebonywick;
using namespace ebonywick::memory;
using namespace std::chrono_literals;

// Failure: a caller that sends steadily is cut while others hold bytes and send nothing.
Test(loser, callers_without_progress_lose_first)
{
    const std::vector<holder> holders{
        {.address = 1, .bytes = 9000, .since_progress = 10ms},
        {.address = 1, .bytes = 10, .since_progress = 2s},
        {.address = 1, .bytes = 8000, .since_progress = 20ms},
    };
    cr_assert_eq(byte_loser(holders).value(), 1U);
}

// Failure: back pressure makes callers look as if they had stopped.
Test(loser, callers_that_are_held_back_make_progress)
{
    const std::vector<holder> holders{
        {.address = 1, .bytes = 10, .since_progress = 1s},
        {.address = 1, .bytes = 9000, .since_progress = 9s, .held_back = true},
    };
    cr_assert_eq(byte_loser(holders).value(), 0U);
}

// Failure: many connections of one address push out a larger one of another.
Test(loser, the_address_that_holds_most_loses)
{
    const std::vector<holder> holders{
        {.address = 1, .bytes = 50},
        {.address = 2, .bytes = 30},
        {.address = 2, .bytes = 30},
    };
    cr_assert_eq(byte_loser(holders).value(), 1U);
}

// Failure: a small or an old request loses to a large or a new one.
Test(loser, largest_then_newest)
{
    const std::vector<holder> holders{
        {.address = 1, .bytes = 30, .age = 1s},
        {.address = 1, .bytes = 50, .age = 3s},
        {.address = 1, .bytes = 50, .age = 2s},
        {.address = 1, .bytes = 0},
    };
    cr_assert_eq(byte_loser(holders).value(), 2U);
    cr_assert_not(byte_loser(std::vector<holder>{{.address = 1}}));
}

// Failure: idle connections of one address take the descriptors of all others.
Test(loser, longest_idle_connection_of_the_address_with_most)
{
    const std::vector<holder> holders{
        {.address = 1, .since_progress = 9s},
        {.address = 2, .since_progress = 1s},
        {.address = 2, .since_progress = 2s},
    };
    cr_assert_eq(connection_loser(holders).value(), 2U);
    cr_assert_not(connection_loser({}));
}
