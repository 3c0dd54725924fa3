// Tests the parts of a quota on several hosts that exchange their demand.
#include "customers/quotashares.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

constexpr quota_bound bound{5s, 0.1, 20};
constexpr duration step = 10ms;

/// Hosts with the class under test, and messages that arrive after 10 ms.
struct quota_fleet
{
    struct member
    {
        std::unique_ptr<quota_shares> shares;
        time_point next_report{};
        bool up = true;
        // Hosts exchange messages with those of the same side only.
        int side = 0;
    };

    quota_fleet(std::size_t hosts, double per_second, double burst)
        : customers{{.name = "acme", .per_second = per_second, .burst = burst}}
    {
        for (std::size_t it = 0; it < hosts; ++it) {
            ids.emplace_back("host-" + std::to_string(it));
            members.emplace_back();
        }
        for (std::size_t it = 0; it < hosts; ++it)
            restart(it);
    }

    void restart(std::size_t host)
    {
        member& it = members[host];
        it.up = true;
        it.shares = std::make_unique<quota_shares>(ids[host], bound, now);
        it.shares->set_hosts({ids, 0}, now);
        it.shares->set_customers(customers, now);
        // Reports of the hosts are not in step.
        it.next_report = now + step * static_cast<int>(host * 7 % 30);
    }

    void set_customers(double per_second, double burst)
    {
        customers[0].per_second = per_second;
        customers[0].burst = burst;
        for (member& it : members)
            it.shares->set_customers(customers, now);
    }

    /// Moves the time on; `rates` are the requests a second at each host.
    void run(duration span, const std::function<double(std::size_t)>& rates)
    {
        for (const time_point end = now + span; now < end; now += step) {
            for (std::size_t it = 0; it < members.size(); ++it) {
                if (members[it].up)
                    run_host(it, rates(it) * std::chrono::duration<double>(step).count());
            }
        }
    }

    void run_host(std::size_t host, double requests)
    {
        member& it = members[host];
        if (now >= it.next_report) {
            it.next_report = now + quota_shares::exchange_interval;
            it.shares->set_hosts({ids, 0}, now);
            const auto demand = it.shares->report(now);
            for (std::size_t to = 0; to < members.size(); ++to) {
                if (to != host && members[to].up && members[to].side == it.side &&
                    uniform(engine) >= loss)
                    members[to].shares->reported(ids[host], demand, now);
            }
        }
        std::poisson_distribution<int> count{requests};
        for (int left = requests > 0 ? count(engine) : 0; left > 0; --left) {
            ++asked;
            if (it.shares->take("acme", now))
                admitted.push_back(now);
        }
    }

    /// Most requests of any window of 5 s that ends after `from`.
    std::size_t worst_window(time_point from = {}) const
    {
        std::size_t out = 0;
        std::size_t first = 0;
        for (std::size_t it = 0; it < admitted.size(); ++it) {
            while (admitted[it] - admitted[first] > bound.window)
                ++first;
            if (admitted[it] >= from)
                out = std::max(out, it - first + 1);
        }
        return out;
    }
    std::size_t allowed() const
    {
        const customer_policy& it = customers[0];
        return static_cast<std::size_t>((it.per_second * 5 + it.burst) * 1.1 + 20);
    }

    time_point now{1h};
    std::vector<customer_policy> customers;
    std::vector<host_id> ids;
    std::vector<member> members;
    std::vector<time_point> admitted;
    std::size_t asked = 0;
    double loss = 0;
    std::mt19937 engine{7};
    std::uniform_real_distribution<double> uniform{0, 1};
};

std::function<double(std::size_t)> on_all(double rate)
{
    return [rate](std::size_t) {
        return rate;
    };
}

std::function<double(std::size_t)> on_first(std::size_t count, double rate)
{
    return [count, rate](std::size_t host) {
        return host < count ? rate : 0.0;
    };
}

} // namespace

// Failure: a customer whose callers all use two of the hosts is refused although it keeps to its
// quota. The rates are those of a customer at five eighths of its quota.
Test(quota_shares, little_is_refused_when_all_callers_use_two_hosts)
{
    for (const double rate : {4.0, 45.0, 400.0}) {
        quota_fleet f{12, rate, rate};
        f.run(14s, on_all(0));
        f.run(3s, on_first(2, rate * 0.3));
        const auto before = f.admitted.size();
        const auto asked_before = f.asked;
        f.run(60s, on_first(2, rate * 0.3125));
        const double refused =
            static_cast<double>((f.asked - asked_before) - (f.admitted.size() - before)) /
            static_cast<double>(f.asked - asked_before);
        cr_assert(refused < 0.02, "%f refused at %f", refused, rate);
    }
}

// Failure: hosts together run more than the bound while demand moves, grows and shrinks, with
// messages lost, on few and many hosts, at low and high rates.
Test(quota_shares, moving_demand_stays_under_the_bound)
{
    for (const std::size_t hosts : {2U, 5U, 12U, 24U}) {
        for (const double rate : {0.5, 5.0, 45.0, 300.0}) {
            quota_fleet f{hosts, rate, rate};
            f.loss = 0.05;
            f.run(14s, on_all(0));
            for (std::size_t round = 0; round < 12; ++round) {
                const std::size_t busy = round * 5 % hosts;
                f.run(round % 3 == 0 ? 700ms : 4s, [&](std::size_t host) {
                    return host == busy || host == busy + 1 ? rate * 8 : rate * 0.05;
                });
            }
            cr_assert(f.worst_window() <= f.allowed(), "%zu of %zu, %zu hosts, %f/s",
                      f.worst_window(), f.allowed(), hosts, rate);
        }
    }
}

// Failure: after a cut each side takes the whole quota.
Test(quota_shares, both_sides_of_a_cut_stay_under_the_bound)
{
    for (const std::size_t away : {1U, 4U, 6U}) {
        quota_fleet f{12, 45, 45};
        f.run(14s, on_all(0));
        f.run(10s, on_all(30));
        for (std::size_t it = 0; it < away; ++it)
            f.members[it].side = 1;
        f.run(60s, on_all(30));
        for (auto& it : f.members)
            it.side = 0;
        f.run(20s, on_all(30));
        cr_assert(f.worst_window() <= f.allowed(), "%zu of %zu", f.worst_window(), f.allowed());
    }
}

// Failure: a restart brings a second burst, for half or all of the hosts.
Test(quota_shares, a_restart_is_no_second_burst)
{
    for (const std::size_t killed : {1U, 6U, 12U}) {
        quota_fleet f{12, 10, 600};
        f.run(30s, on_all(0));
        f.run(400ms, on_all(200));
        for (int round = 0; round < 10; ++round) {
            for (std::size_t it = 0; it < killed; ++it)
                f.restart(it);
            f.run(400ms, on_all(200));
        }
        cr_assert(f.worst_window() <= f.allowed(), "%zu of %zu", f.worst_window(), f.allowed());
    }
}

// Failure: the bucket that a restarted host finds full after a window adds to what it let through
// before the restart.
Test(quota_shares, full_buckets_after_a_restart_stay_under_the_bound)
{
    for (const duration idle : {4500ms, 5000ms, 5500ms}) {
        quota_fleet f{12, 10, 600};
        f.run(30s, on_all(0));
        f.run(400ms, on_all(200));
        for (std::size_t it = 0; it < 12; ++it)
            f.restart(it);
        f.run(idle, on_all(0));
        f.run(6s, on_all(200));
        cr_assert(f.worst_window() <= f.allowed(), "%zu of %zu", f.worst_window(), f.allowed());
    }
}

// Failure: the part of hosts that have ended for good is lost.
Test(quota_shares, the_part_of_ended_hosts_is_taken_over)
{
    quota_fleet f{12, 45, 45};
    f.run(14s, on_all(0));
    f.run(10s, on_all(3));
    for (std::size_t it = 0; it < 5; ++it)
        f.members[it].up = false;
    f.run(12s, on_all(5));
    const auto asked_before = f.asked;
    const auto before = f.admitted.size();
    f.run(30s, on_all(4));
    cr_assert((f.admitted.size() - before) * 100 > (f.asked - asked_before) * 96);
    cr_assert(f.worst_window() <= f.allowed());
}

// Failure: a lower quota does not hold within its window, or a higher one only later.
Test(quota_shares, a_changed_quota_holds_at_once)
{
    quota_fleet f{6, 100, 100};
    f.run(14s, on_all(0));
    f.run(10s, on_all(100));
    f.set_customers(10, 10);
    const time_point changed = f.now;
    f.run(15s, on_all(100));
    cr_assert(f.worst_window(changed + 5s) <= f.allowed());
    f.set_customers(200, 200);
    const auto before = f.admitted.size();
    f.run(1s, on_all(100));
    cr_assert(f.admitted.size() - before > 150);
}

// Failure: a request that has not run costs a token, or giving back raises a bucket above its
// capacity.
Test(quota_shares, tokens_of_refused_requests_are_given_back)
{
    quota_fleet f{1, 1, 3};
    f.run(60s, on_all(0));
    quota_shares& shares = *f.members[0].shares;
    std::size_t burst = 0;
    while (shares.take("acme", f.now))
        ++burst;
    shares.give_back("acme", f.now);
    cr_assert(shares.take("acme", f.now) && !shares.take("acme", f.now));
    f.run(60s, on_all(0));
    shares.give_back("acme", f.now);
    std::size_t again = 0;
    while (shares.take("acme", f.now))
        ++again;
    cr_assert(again <= burst + 1);
    cr_assert(shares.time_to_token("acme", f.now) > 0ms);
    cr_assert(shares.take("unknown", f.now));
}

// Failure: reports grow with the number of customers, or some customers are never reported.
Test(quota_shares, reports_are_bounded_and_take_turns)
{
    std::vector<customer_policy> customers;
    customers.reserve(200);
    for (int it = 0; it < 200; ++it)
        customers.push_back({.name = "c" + std::to_string(it), .per_second = 100, .burst = 100});
    quota_shares shares{host_id{"h"}, bound, time_point{1h}};
    shares.set_customers(customers, time_point{1h});
    cr_assert(shares.report(time_point{2h}).empty());
    for (const customer_policy& it : customers)
        static_cast<void>(shares.take(it.name, time_point{2h}));
    std::set<std::uint32_t> seen;
    for (int it = 0; it < 3; ++it) {
        const auto report = shares.report(time_point{2h} + 300ms * it);
        cr_assert(report.size() <= quota_shares::max_reported);
        for (const customer_demand& each : report)
            seen.insert(each.customer);
    }
    cr_assert(seen.size() == 200);
}
