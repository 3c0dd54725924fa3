// Tests of a gateway whose upstreams state in their replies that they are leaving, while the store
// still lists them as ready.
#include "gatewayfixture.h"
#include "scriptedupstream.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace ebonywick;

namespace {

// Time after the first such reply from which the platform expects no further request.
constexpr duration notice = 3s;

// Sends queries for `span`, one after another. Returns how many were answered with success.
std::size_t query_for(gateway_fixture& f, duration span, const std::string& prefix)
{
    std::size_t out = 0;
    const time_point end = boot_clock::now() + span;
    for (int it = 0; boot_clock::now() < end; ++it)
        out += f.query(prefix + std::to_string(it)).status == 200 ? 1 : 0;
    return out;
}

std::size_t arrivals_since(const standin::platform_upstream& of, time_point since)
{
    const auto& all = of.arrivals();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](time_point it) { return it >= since; }));
}

bool knows_leaving(gateway_fixture& f, const endpoint& metrics)
{
    const auto body = f.get(metrics, "/metrics").body;
    return body.find("\nebonywick_gateway_leaving_upstreams 1\n") != std::string::npos;
}

struct leaving_reply
{
    const char* name;
    // Encodes the reply to the request with this id.
    std::function<scripted_reply(const std::string& id)> encode;
};

std::vector<leaving_reply> leaving_replies()
{
    const auto refusal = [](const std::string& status) {
        return [status](const std::string& id) {
            return scripted_reply{"HTTP/1.1 " + status + "\r\nX-Not-Executed: 1\r\nX-Request-Id: " +
                                  id + "\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"};
        };
    };
    const std::string ok = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nServer-Leaving: 1\r\n";
    return {{"success",
             [=](const std::string& id) {
                 return scripted_reply{ok + "X-Request-Id: " + id +
                                       "\r\nContent-Length: 16\r\n\r\n0123456789abcdef"};
             }},
            {"503", refusal("503 Service Unavailable")},
            {"429", refusal("429 Too Many Requests")},
            {"404",
             [](const std::string& id) {
                 return scripted_reply{"HTTP/1.1 404 Not Found\r\nX-Server-Stamp: s\r\n"
                                       "X-Request-Id: " +
                                       id + "\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"};
             }},
            {"body that breaks off",
             [=](const std::string& id) {
                 return scripted_reply{
                     ok + "X-Request-Id: " + id + "\r\nContent-Length: 16\r\n\r\n01234", true};
             }},
            {"header of a body that does not come",
             [=](const std::string& id) {
                 return scripted_reply{ok + "X-Request-Id: " + id +
                                       "\r\nContent-Length: 16\r\n\r\n"};
             }},
            {"body that is no chunk",
             [=](const std::string& id) {
                 return scripted_reply{ok + "X-Request-Id: " + id +
                                       "\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n"};
             }},
            {"reply to another request", [=](const std::string& id) {
                 return scripted_reply{ok + "X-Request-Id: not-" + id +
                                       "\r\nContent-Length: 16\r\n\r\n0123456789abcdef"};
             }}};
}

} // namespace

// Guards against requests to an upstream that has said in its replies that it leaves, while its
// entry still says ready.
Test(leaving_upstream, gets_no_requests_after_it_has_said_so)
{
    gateway_fixture f{1};
    f.start_ready();
    cr_assert_gt(query_for(f, 500ms, "a"), 0);
    f.upstreams[0]->state_leaving(true);
    const time_point stated = boot_clock::now();
    cr_assert_gt(query_for(f, notice + 1s, "b"), 0);
    cr_assert_eq(arrivals_since(*f.upstreams[0], stated + notice), 0);
    cr_assert_gt(arrivals_since(*f.upstreams[1], stated + notice), 0);
}

// Guards against a statement that is missed because its reply is a refusal or a failure, breaks off
// after its header, or belongs to another request.
Test(leaving_upstream, every_kind_of_reply_can_say_so)
{
    for (const leaving_reply& it : leaving_replies()) {
        gateway_fixture f{1};
        const endpoint at = free_address();
        scripted_upstream upstream{f.loop, at, [&](const std::string& request) {
                                       return it.encode(
                                           scripted_upstream::field(request, "X-Request-Id"));
                                   }};
        f.entries[0]["address"] = to_string(at);
        f.start_ready();
        for (int n = 0; n < 60 && upstream.requests().empty(); ++n)
            f.query("a" + std::to_string(n));
        f.run(20ms);
        cr_assert_eq(upstream.requests().size(), 1, "%s", it.name);
        cr_assert(knows_leaving(f, f.settings.metrics), "%s", it.name);
        f.run(300ms);
        cr_assert_gt(query_for(f, 300ms, "b"), 0, "%s", it.name);
        cr_assert_eq(upstream.requests().size(), 1, "%s", it.name);
    }
}

// Another process at the upstream's address refuses its requests and says that it is leaving
// itself. Guards against taking that for a statement of the upstream.
Test(leaving_upstream, another_process_at_its_address_does_not_speak_for_it)
{
    gateway_fixture f{1};
    const endpoint at = free_address();
    const scripted_upstream upstream{f.loop, at, [](const std::string&) {
                                         return scripted_reply{
                                             "HTTP/1.1 421 Misdirected Request\r\n"
                                             "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"};
                                     }};
    f.entries[0]["address"] = to_string(at);
    f.start_ready();
    for (int n = 0; n < 60 && upstream.requests().empty(); ++n)
        f.query("a" + std::to_string(n));
    cr_assert_eq(upstream.requests().size(), 1);
    cr_assert(!knows_leaving(f, f.settings.metrics));
}

// Orders wait for the only connection to the only upstream, whose reply to the first one says that
// it is leaving. Guards against sending the others, and against a rejection that does not say that
// they have not run.
Test(leaving_upstream, requests_that_wait_for_a_connection_are_not_sent)
{
    gateway_fixture f{1};
    f.connection_limit = 1;
    f.entries[3]["state"] = "draining";
    f.start_ready();
    f.order_upstream(0).set_service_time(100ms);
    f.order_upstream(0).state_leaving(true);
    std::vector<std::unique_ptr<http_channel>> callers;
    std::vector<http_message> answers;
    for (int it = 0; it < 5; ++it) {
        callers.push_back(std::make_unique<http_channel>(f.loop, f.timers, f.settings.callers));
        callers.back()->call(f.request_text("POST", "/o/x", "o" + std::to_string(it), "body"), 5s,
                             [&](const std::optional<http_message>& reply) {
                                 answers.push_back(reply.value_or(http_message{}));
                             });
    }
    cr_assert(f.wait_until([&] { return answers.size() == 5; }));
    const auto with_status = [&](int status) {
        return std::count_if(answers.begin(), answers.end(),
                             [&](const auto& it) { return it.status == status; });
    };
    cr_assert_eq(f.order_upstream(0).arrivals().size(), 1);
    cr_assert(with_status(200) == 1 && with_status(503) == 4);
    // Known to be hopeless, so rejected at once.
    const time_point before = boot_clock::now();
    cr_assert_eq(f.order("late").status, 503);
    cr_assert(boot_clock::now() - before < 500ms);
}

// Guards against a host that starts, or that has had no such reply, and calls the upstream although
// other hosts know that it is leaving; and against news that also bar its next incarnation.
Test(leaving_upstream, hosts_tell_each_other)
{
    gateway_fixture f{1};
    f.start_ready();
    f.upstreams[0]->state_leaving(true);
    for (int n = 0; n < 60 && f.upstreams[0]->arrivals().empty(); ++n)
        f.query("a" + std::to_string(n));
    const std::size_t before = f.upstreams[0]->arrivals().size();
    const gateway_settings settings = f.other_host("h2");
    gateway other{f.loop, f.timers, settings, f.log, 6};
    other.start();
    cr_assert(f.wait_until([&] { return knows_leaving(f, settings.metrics); }));
    const auto query_other = [&](const std::string& id) {
        return f.call(settings.callers, f.request_text("GET", "/q/x", id)).status;
    };
    cr_assert(f.wait_until([&] { return query_other("w") == 200; }));
    for (int n = 0; n < 30; ++n)
        cr_assert_eq(query_other("b" + std::to_string(n)), 200);
    cr_assert_eq(f.upstreams[0]->arrivals().size(), before);
    // A new start under the same id and at the same address.
    f.upstreams[0]->state_leaving(false);
    f.entries[0]["born"] = 2;
    f.store.put("servers", f.ids[0], f.entries[0]);
    cr_assert(f.wait_until([&] {
        query_other("c");
        return f.upstreams[0]->arrivals().size() > before;
    }));
}

// The store is restored from a copy that still says ready, and the upstream's entry is missing for
// a while. Guards against an entry that brings the upstream back.
Test(leaving_upstream, entries_do_not_bring_it_back)
{
    gateway_fixture f{1};
    f.start_ready();
    const auto copy = f.store.copy();
    f.upstreams[0]->state_leaving(true);
    for (int n = 0; n < 60 && f.upstreams[0]->arrivals().empty(); ++n)
        f.query("a" + std::to_string(n));
    const std::size_t before = f.upstreams[0]->arrivals().size();
    f.store.remove("servers", f.ids[0]);
    // Longer than the time for which the entry is kept.
    f.run(2800ms);
    cr_assert(!knows_leaving(f, f.settings.metrics));
    f.store.put("servers", f.ids[0], f.entries[0]);
    cr_assert(f.wait_until([&] { return knows_leaving(f, f.settings.metrics); }));
    cr_assert_gt(query_for(f, 300ms, "b"), 0);
    f.entries[0]["state"] = "draining";
    f.entries[0]["sequence"] = 2;
    f.store.put("servers", f.ids[0], f.entries[0]);
    f.run(600ms);
    f.store.restore(copy);
    f.run(1s);
    cr_assert_gt(query_for(f, 300ms, "c"), 0);
    cr_assert_eq(f.upstreams[0]->arrivals().size(), before);
}
