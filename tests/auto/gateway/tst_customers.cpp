// Tests keys of customers on a complete gateway.
#include "gatewayfixture.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

struct customer_fixture : gateway_fixture
{
    explicit customer_fixture(fixture_clock clock = fixture_clock::system)
        : gateway_fixture(1, clock)
    {
    }

    // `key` holds for the customer acme; the route of orders is public.
    json keyed(int version, const std::string& key) const
    {
        json out = configuration(version);
        out["routes"][1]["public"] = true;
        out["tenants"] =
            json::array({{{"name", "acme"}, {"api_keys", json::array({key})}, {"priority", 0}},
                         {{"name", "keyless"}, {"api_keys", json::array()}}});
        return out;
    }
    void start_keyed()
    {
        publish();
        store.put("config", "main", keyed(2, "secret-one"));
        start();
        wait_until([this] { return get(settings.readiness, "/ebonywick/ready").status == 200; });
    }
    http_message ask(const std::string& path, const std::string& id, const std::string& fields)
    {
        return call(settings.callers,
                    fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {}\r\n"
                                "X-Deadline-Ms: 2000\r\n{}\r\n",
                                path, id, fields));
    }
};

} // namespace

// Failure: a request without a valid key runs, or one with a key does not; a public route asks for
// a key.
Test(gateway_customers, requests_need_a_key_unless_the_route_is_public)
{
    customer_fixture f;
    f.start_keyed();
    cr_assert(f.ask("/q/x", "r1", "").status == 401);
    cr_assert(f.ask("/q/x", "r2", "X-Key: other\r\n").status == 401);
    cr_assert(f.ask("/q/x", "r3", "X-Key: secret-one\r\nx-key: secret-one\r\n").status == 401);
    cr_assert(f.ask("/q/x", "r4", "X-Key:\r\n").status == 401);
    cr_assert(f.ask("/q/x", "r5", "X-Key: secret-one\r\nX-Tenant: other\r\n").status == 200);
    cr_assert(f.ask("/o/x", "r6", "X-Tenant: other\r\n").status == 200);
    cr_assert(f.ask("/none/x", "r7", "").status == 404);
    for (const char* it : {"r1", "r2", "r3", "r4"})
        cr_assert(f.runs_of(it) == 0, "%s", it);
    cr_assert(f.runs_of("r5") == 1 && f.runs_of("r6") == 1);
}

// Failure: a withdrawn key stays valid, also after a change back to an older version; a new one is
// not taken.
Test(gateway_customers, keys_follow_the_newest_version)
{
    customer_fixture f;
    f.start_keyed();
    f.store.put("config", "main", f.keyed(3, "secret-two"));
    cr_assert(
        f.wait_until([&] { return f.ask("/q/x", "n", "X-Key: secret-two\r\n").status == 200; }));
    cr_assert(f.ask("/q/x", "o", "X-Key: secret-one\r\n").status == 401);
    f.store.put("config", "main", f.keyed(2, "secret-one"));
    f.run(1500ms);
    cr_assert(f.ask("/q/x", "p", "X-Key: secret-one\r\n").status == 401);
    cr_assert(f.ask("/q/x", "q", "X-Key: secret-two\r\n").status == 200);
}

// Failure: a host that knows no configuration says that a key is unknown, so that callers give up.
Test(gateway_customers, without_a_configuration_no_key_is_refused)
{
    customer_fixture f;
    f.start();
    cr_assert(f.ask("/q/x", "r1", "X-Key: secret-one\r\n").status == 503);
}

// Failure: a key leaves the host in an error text or on the metrics page.
Test(gateway_customers, no_answer_contains_a_key)
{
    customer_fixture f;
    f.start_keyed();
    f.ask("/q/x", "r1", "X-Key: secret-one\r\n");
    const std::string texts = f.ask("/q/x", "r2", "X-Key: secret-bad\r\n").body +
                              f.get(f.settings.metrics, "/metrics").body +
                              f.get(f.settings.directory, "/ebonywick/resolve").body;
    cr_assert(!texts.empty() && texts.find("secret") == std::string::npos);
}

// Failure: a host that refuses outdated keys goes on trusting them without the store and without
// other hosts.
Test(gateway_customers, unconfirmed_keys_are_refused_where_the_settings_say_so)
{
    customer_fixture f;
    f.settings.stale_keys = stale_key_policy::refuse;
    f.settings.key_max_age = 4s;
    f.start_keyed();
    cr_assert(
        f.wait_until([&] { return f.ask("/q/x", "r1", "X-Key: secret-one\r\n").status == 200; }));
    f.store.set_faults({.silent = true});
    cr_assert(
        f.wait_until([&] { return f.ask("/q/x", "r2", "X-Key: secret-one\r\n").status == 503; }));
    cr_assert(f.ask("/o/x", "r3", "").status == 200);
}

// Failure: a customer's requests run beyond its quota, or a refusal does not state when to return.
Test(gateway_customers, requests_beyond_a_quota_are_refused_with_a_time)
{
    customer_fixture f{fixture_clock::by_hand};
    f.start_keyed();
    json limited = f.keyed(3, "secret-three");
    limited["tenants"][0]["rate_per_s"] = 2;
    limited["tenants"][0]["burst"] = 2;
    f.store.put("config", "main", limited);
    cr_assert(
        f.wait_until([&] { return f.ask("/q/x", "r0", "X-Key: secret-three\r\n").status == 200; }));
    int refused = 0;
    for (int it = 0; it < 60; ++it) {
        const auto id = "q" + std::to_string(it);
        const http_message answer = f.ask("/q/x", id, "X-Key: secret-three\r\n");
        if (answer.status != 429)
            continue;
        ++refused;
        cr_assert(std::stod(std::string{answer.field("Retry-After")}) > 0);
        cr_assert(f.runs_of(id) == 0);
    }
    cr_assert(refused >= 27, "%d", refused);
}
