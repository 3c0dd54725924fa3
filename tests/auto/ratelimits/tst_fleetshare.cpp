// Tests of the division of a rate limit among hosts.
#include "ratelimits/fleetshare.h"
#include "ratelimits/tokenbucket.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <string>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

std::vector<host_id> fleet(std::size_t hosts)
{
    std::vector<host_id> out;
    for (std::size_t it = 0; it < hosts; ++it)
        out.emplace_back("host-" + std::to_string(it));
    return out;
}

std::vector<double> parts(std::size_t hosts, double calls_per_second, std::string_view key)
{
    std::vector<double> out;
    for (const host_id& it : fleet(hosts)) {
        fleet_share share{it};
        share.set_hosts({fleet(hosts), 0});
        out.push_back(share.part_of(calls_per_second, key));
    }
    return out;
}

} // namespace

// Guards against parts that exceed the limit, or that waste most of it, and against low limits
// that are exceeded because each of many hosts may send one call.
Test(fleet_share, parts_add_up_to_the_limit_also_for_many_hosts)
{
    for (const std::size_t hosts : {1U, 4U, 13U, 64U, 460U}) {
        for (const double limit : {0.5, 1.0, 7.5, 38.1, 300.0, 1e30}) {
            double sum = 0;
            double with_part = 0;
            for (const double it : parts(hosts, limit, "u")) {
                sum += it;
                with_part += it > 0 ? 1 : 0;
            }
            cr_assert(std::abs(sum / limit - 1.0) < 1e-9);
            // One call of each at once, and 4 s at the limit.
            cr_assert(with_part + 4 * limit <= 1.5 * 4 * limit + 5);
        }
    }
}

// Guards against the same few hosts sharing every low limit, so that the others reach no limited
// upstream, and against a part for a host that is not among those that send calls.
Test(fleet_share, low_limits_are_given_to_different_hosts)
{
    std::vector<bool> has_part(13);
    for (int key = 0; key < 60; ++key) {
        const auto all = parts(13, 1.0, "u" + std::to_string(key));
        for (std::size_t it = 0; it < all.size(); ++it)
            has_part[it] = has_part[it] || all[it] > 0;
    }
    cr_assert(std::count(has_part.begin(), has_part.end(), true) == 13);
    fleet_share other{host_id{"other"}};
    other.set_hosts({fleet(13), 0});
    cr_assert(other.part_of(100.0, "u") == 0 && other.equal_part_of(100.0) == 0);
    other.set_hosts({{host_id{"other"}}, 19});
    cr_assert(other.part_of(1.0, "u") == 0.05 && other.equal_part_of(1.0) == 0.05);
}

// Guards against tokens that exceed the capacity after a pause or a change of the rate.
Test(token_bucket, tokens_are_added_at_the_rate_up_to_the_capacity)
{
    time_point now{1000s};
    token_bucket bucket;
    bucket.set_rate(4.0, 2.0, now);
    bucket.set_tokens(0, now);
    cr_assert(!bucket.available(now) && bucket.available_at(now) == now + 250ms);
    cr_assert(bucket.available(now + 250ms));
    now += 1h;
    cr_assert(bucket.tokens(now) == 2.0);
    bucket.take(now);
    bucket.take(now);
    bucket.take(now);
    cr_assert(bucket.tokens(now) == 0 && bucket.available_at(now) == now + 250ms);
    bucket.set_rate(0.0, 1.0, now);
    cr_assert(bucket.available_at(now) == time_point::max());
}
