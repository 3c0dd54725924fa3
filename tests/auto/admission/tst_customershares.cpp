// Tests of fair shares between customers and of retry-after times.
#include "admission/customershares.h"
#include "admission/returnspread.h"

#include <criterion/criterion.h>

#include <map>
#include <set>
#include <string>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

struct shares_fixture
{
    // `offered` requests of each customer in a second, of which the first `admitted` are admitted.
    void second(const std::string& customer, int offered, int admitted, std::uint32_t priority = 1)
    {
        for (int it = 0; it < offered; ++it) {
            shares.record_offered(customer, priority, now);
            if (it < admitted)
                shares.record_admitted(customer, priority, now);
        }
    }
    customer_share of(const std::string& customer, std::uint32_t priority = 1)
    {
        return shares.of(customer, priority, now);
    }

    time_point now{1000s};
    customer_shares shares;
};

} // namespace

// Failure: a customer is held back although there is room for all.
Test(customer_shares, all_are_within_while_nothing_is_refused)
{
    shares_fixture f;
    f.second("many", 1000, 1000);
    f.second("few", 3, 3);
    cr_assert(f.of("many") == customer_share::within && f.of("few") == customer_share::within);
    cr_assert(f.of("new") == customer_share::within);
}

// Failure: a customer of many requests pushes out those of few.
Test(customer_shares, rest_is_divided_between_those_that_ask_for_more)
{
    shares_fixture f;
    // Room for 100: 10 for "few", 45 for each of the others.
    f.second("hot", 400, 70);
    f.second("warm", 60, 20);
    f.second("few", 10, 10);
    cr_assert(f.of("hot") == customer_share::above);
    cr_assert(f.of("warm") == customer_share::within);
    cr_assert(f.of("few") == customer_share::within);
}

// Failure: a customer gets less than a quarter of the mean and stays there.
Test(customer_shares, customer_below_a_quarter_of_the_mean_is_starved)
{
    shares_fixture f;
    f.second("a", 100, 50);
    f.second("b", 100, 50);
    f.second("c", 20, 5);
    // It does not ask for more.
    f.second("d", 5, 5);
    cr_assert(f.of("c") == customer_share::starved);
    cr_assert(f.of("d") == customer_share::within);
}

// Failure: customers of another priority count.
Test(customer_shares, priorities_are_separate)
{
    shares_fixture f;
    f.second("a", 400, 70, 0);
    f.second("b", 10, 0, 1);
    cr_assert(f.of("a", 0) == customer_share::within);
}

// Failure: a customer is held back for what it did long ago, or is never forgotten.
Test(customer_shares, counts_decay)
{
    shares_fixture f;
    f.second("hot", 400, 70);
    f.second("few", 30, 10);
    cr_assert(f.of("hot") == customer_share::above);
    f.now += 60s;
    cr_assert(f.of("hot") == customer_share::within && f.shares.size() == 0);
}

// Load: many callers are refused at once. Failure: they return at once, or too late to be served.
Test(return_spread, returns_are_spread_and_the_urgent_come_first)
{
    return_spread returns;
    std::map<int, int> per_tenth;
    for (int it = 0; it < 100; ++it) {
        const duration urgent = returns.next(true, 20ms, 1200ms);
        const duration other = returns.next(false, 20ms, 1200ms);
        cr_assert(urgent >= 200ms && urgent <= 400ms && other >= 400ms && other <= 600ms);
        ++per_tenth[static_cast<int>((urgent - 200ms) / 20ms)];
    }
    for (const auto& [tenth, count] : per_tenth)
        cr_assert(count >= 8 && count <= 12);
    cr_assert(per_tenth.size() == 10);
    cr_assert(returns.next(true, 900ms, 1200ms) == 600ms);
    cr_assert(returns.next(false, 20ms, -5ms) == 0ms);
}
