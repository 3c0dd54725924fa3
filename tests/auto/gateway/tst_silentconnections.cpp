// Tests of hosts whose open connections go silent without a reset, to the store and to each other.
// The time is set by hand.
#include "gatewayfixture.h"
#include "silentrelay.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

// A change must be in force within this time, counted from the store's acknowledgement.
constexpr duration change_bound = 3s;
// Until then the hosts know each other, and which of them read the newest state of the store.
constexpr duration settling_time = 5s;
// Between the clocks of a host and of the one that was started before it.
constexpr duration clock_difference = 1900ms;
// Kind of the hosts' entries in the store.
const std::string host_kind = "entry-hosts";

/// Hosts in three failure domains that reach the store, and each other's state, through relays.
class silent_fleet : public gateway_fixture
{
public:
    explicit silent_fleet(int hosts) : gateway_fixture(1, fixture_clock::by_hand)
    {
        publish();
        for (int it = 0; it < hosts; ++it) {
            gateway_settings own = other_host(fmt::format("h{}", it));
            own.domain = failure_domain_id{fmt::format("z{}", it % 3)};
            own.seeds.clear();
            add_host(own);
        }
        run(settling_time);
        cr_assert(all_have(1));
        relay_states();
    }

    void add_host(gateway_settings own)
    {
        own.store = free_address();
        to_store.push_back(std::make_unique<silent_relay>(loop, own.store, store_address));
        host_settings.push_back(own);
        logs.push_back(std::make_unique<event_loop_logger>(log_level::error));
        const duration ahead = clock_difference * static_cast<int>(host_timers.size());
        host_timers.push_back(
            std::make_unique<timer_queue>(loop, [this, ahead] { return hand_time + ahead; }));
        instances.push_back(std::make_unique<gateway>(loop, *host_timers.back(), own, *logs.back(),
                                                      6 + instances.size()));
        instances.back()->start();
    }
    /// Lets a host leave, which then no longer counts.
    void end_host(std::size_t it)
    {
        const auto at = static_cast<std::ptrdiff_t>(it);
        instances[it]->leave([] {});
        left_hosts.push_back(std::move(instances[it]));
        instances.erase(instances.begin() + at);
        host_settings.erase(host_settings.begin() + at);
    }
    /// Whether `reached` holds within `limit`.
    template <class Condition>
    bool reached_within(duration limit, const Condition& reached)
    {
        for (const time_point end = hand_time + limit; hand_time < end;) {
            if (reached())
                return true;
            advance();
        }
        return reached();
    }
    /// Value of a gauge of a host; -1 if it is missing.
    double gauge(std::size_t host, const std::string& name)
    {
        http_channel channel{loop, timers, host_settings[host].metrics};
        std::optional<http_message> reply;
        bool ended = false;
        channel.call("GET /metrics HTTP/1.1\r\nHost: t\r\n\r\n", 5s,
                     [&](std::optional<http_message> it) {
                         reply = std::move(it);
                         ended = true;
                     });
        while (!ended)
            poll();
        const std::string line = "\nebonywick_gateway_" + name + " ";
        const auto at = reply ? reply->body.find(line) : std::string::npos;
        return at == std::string::npos ? -1 : std::stod(reply->body.substr(at + line.size()));
    }
    bool all_have(int version)
    {
        for (std::size_t it = 0; it < instances.size(); ++it) {
            if (gauge(it, "config_version") != version)
                return false;
        }
        return true;
    }
    void change_configuration(int version) { store.put("config", "main", configuration(version)); }
    // Whether all hosts have the version in force within the bound.
    bool in_force(int version)
    {
        return reached_within(change_bound, [&] { return all_have(version); });
    }

    /// Connections on which the first request contains this text.
    void silence_store(std::string_view request = "")
    {
        for (const auto& it : to_store)
            it->silence(request);
    }
    void silence_hosts()
    {
        for (const auto& it : to_state)
            it->silence();
    }

    std::vector<std::unique_ptr<silent_relay>> to_store;
    // To the address at which each host passes on its state.
    std::vector<std::unique_ptr<silent_relay>> to_state;
    std::vector<gateway_settings> host_settings;
    std::vector<std::unique_ptr<event_loop_logger>> logs;
    std::vector<std::unique_ptr<gateway>> instances;
    std::vector<std::unique_ptr<gateway>> left_hosts;

private:
    // Replaces the address in each host's entry by that of a relay.
    void relay_states()
    {
        for (const gateway_settings& it : host_settings) {
            const endpoint relayed = free_address();
            to_state.push_back(std::make_unique<silent_relay>(loop, relayed, it.control));
            json entry = store.objects(host_kind).at(it.host.value()).at("spec");
            entry["control"] = to_string(relayed);
            store.put(host_kind, it.host.value(), entry);
        }
        run(1s);
    }
};

duration random_time(random_source& random, std::chrono::milliseconds limit)
{
    return std::chrono::milliseconds{random.below(static_cast<std::uint64_t>(limit.count()))};
}

} // namespace

// Guards against hosts that keep an old configuration because each of them waits for changes on a
// connection to the store that will never return anything.
Test(silent_connections, change_is_in_force_when_all_connections_to_the_store_are_silent,
     .timeout = 120)
{
    for (const int hosts : {1, 5, 13}) {
        silent_fleet f{hosts};
        int version = 1;
        for (const duration after_silence : {0ms, 700ms, 2900ms, 5300ms}) {
            f.silence_store();
            f.run(after_silence);
            f.change_configuration(++version);
            cr_assert(f.in_force(version), "%d hosts, version %d", hosts, version);
            f.run(1700ms);
        }
    }
}

// Guards against readers whose turns coincide after one of them has ended or another one has
// started, so that all of them find a silent connection late.
Test(silent_connections, change_is_in_force_after_the_readers_have_changed, .timeout = 120)
{
    for (int ended = 0; ended < 5; ++ended) {
        silent_fleet f{5};
        f.end_host(static_cast<std::size_t>(ended));
        int version = 1;
        for (const duration pause : {2100ms, 3400ms, 5700ms, 7900ms}) {
            f.run(pause);
            f.silence_store();
            f.run(20ms);
            f.change_configuration(++version);
            cr_assert(f.in_force(version), "host %d, version %d", ended, version);
            gateway_settings own = f.other_host(fmt::format("n{}", version));
            own.domain = failure_domain_id{fmt::format("z{}", version % 3)};
            own.seeds = {f.host_settings.front().control};
            f.add_host(own);
            f.run(4s);
        }
    }
}

// Guards against readers whose turns coincide after single ones have repeated their watches, so
// that all of them find a silent connection late.
Test(silent_connections, change_is_in_force_after_random_silences, .timeout = 240)
{
    constexpr std::uint64_t seeds = 40;
    constexpr int rounds = 6;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        random_source random{seed};
        silent_fleet f{static_cast<int>(3 + random.below(11))};
        for (int version = 2; version < 2 + rounds; ++version) {
            for (std::uint64_t it = random.below(5); it > 0; --it) {
                f.to_store[random.below(f.to_store.size())]->silence();
                f.run(random_time(random, 3s));
            }
            f.silence_store();
            if (random.below(2) == 0)
                f.silence_hosts();
            f.run(random_time(random, 3s));
            f.change_configuration(version);
            const time_point end = f.hand_time + change_bound;
            if (random.below(2) == 0) {
                f.run(random_time(random, 2s));
                f.silence_store();
                f.silence_hosts();
            }
            cr_expect(f.reached_within(end - f.hand_time, [&] { return f.all_have(version); }),
                      "seed %d, version %d", static_cast<int>(seed), version);
        }
    }
}

// Guards against hosts of a large fleet that learn of a change only by the relays' heartbeats and
// their own queries, once a second each, when the watches of most relays have gone silent.
Test(silent_connections, change_is_in_force_in_a_large_fleet, .timeout = 240)
{
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U, 32U}) {
        random_source random{seed};
        silent_fleet f{50};
        for (const int version : {2, 3, 4, 5}) {
            const std::uint64_t spared_tenths = random.below(4);
            for (const auto& it : f.to_store) {
                if (random.below(10) >= spared_tenths)
                    it->silence();
            }
            if (random.below(2) == 0)
                f.silence_hosts();
            f.run(random_time(random, 3s));
            f.change_configuration(version);
            cr_expect(f.in_force(version), "seed %d, version %d", static_cast<int>(seed), version);
            f.run(4s);
        }
    }
}

// Guards against a collection that stands still on all hosts because only its connections have gone
// silent, also if a later change of another collection hides the revision of its own.
Test(silent_connections, change_of_one_collection_is_known_when_its_connections_are_silent,
     .timeout = 120)
{
    for (const duration later_change : {100ms, 900ms, 30000ms}) {
        silent_fleet f{5};
        f.silence_store("objects/servers");
        json entry = f.entries.front();
        entry["address"] = to_string(free_address());
        f.store.put("servers", "i-new", entry);
        f.run(std::min<duration>(later_change, change_bound));
        if (later_change < change_bound)
            f.change_configuration(2);
        const auto known_on = [&](std::size_t it) {
            return f.gauge(it, "upstreams") == static_cast<double>(f.entries.size() + 1);
        };
        cr_assert(f.reached_within(std::max<duration>(change_bound - later_change, 0s), [&] {
            for (std::size_t it = 0; it < f.instances.size(); ++it) {
                if (!known_on(it))
                    return false;
            }
            return true;
        }));
    }
}

// One host reaches no store, so that it reads changes from other hosts. Guards against a host that
// knows of a change but waits for it on a connection to another host that has gone silent.
Test(silent_connections, change_is_read_from_other_hosts_when_connections_between_hosts_are_silent,
     .timeout = 120)
{
    for (const duration after_silence : {50ms, 300ms, 550ms, 800ms}) {
        silent_fleet f{5};
        f.to_store[4]->silence();
        f.to_store[4]->silence_new(true);
        f.change_configuration(2);
        cr_assert(f.reached_within(20s, [&] { return f.all_have(2); }));
        f.run(after_silence);
        f.silence_hosts();
        f.change_configuration(3);
        cr_assert(f.in_force(3), "after %d ms", static_cast<int>(to_milliseconds(after_silence)));
    }
}

// Reads that may lag state a revision that their content does not contain yet. Guards against hosts
// that take themselves for complete and read a change from neither the store nor other hosts.
Test(silent_connections, change_is_in_force_when_lagging_reads_state_its_revision, .timeout = 120)
{
    silent_fleet f{5};
    f.store.set_faults({.blind_stale_watches = true});
    for (const int version : {2, 3}) {
        f.change_configuration(version);
        cr_assert(f.in_force(version), "version %d", version);
        f.run(700ms);
    }
}
