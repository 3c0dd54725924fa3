// Tests object_store_client, above all when the store or the connection fails. Each test starts
// an HTTP server on loopback in its own process.
#include "httplistener.h"
#include "objecttable.h"
#include "store/objectstoreclient.h"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>

#include <atomic>
#include <future>
#include <thread>

using namespace ebonywick;
using namespace ebonywick::standin;
using namespace std::chrono_literals;

namespace {

// Long enough not to expire on a busy machine.
constexpr duration long_timeout = 20s;

/// An HTTP server that answers with `handler`, and a client connected to it.
struct server_fixture
{
    explicit server_fixture(http_handler handler, duration timeout = long_timeout)
        : listener{0, std::move(handler)}
    {
        cr_assert(listener.open());
        client =
            std::make_unique<object_store_client>(endpoint{"127.0.0.1", listener.port()}, timeout);
    }
    ~server_fixture() { client.reset(); }
    server_fixture(const server_fixture&) = delete;
    server_fixture& operator=(const server_fixture&) = delete;

    http_listener listener;
    std::unique_ptr<object_store_client> client;
};

/// A server that keeps objects like the platform's store, and a client for it.
struct store_fixture
{
    object_table objects{""};
    server_fixture server{[this](const http_request& it) {
        return objects.serve(it);
    }};
    object_store_client& client = *server.client;
};

enum class read_outcome { object, nothing, store_unavailable };

template <class Call>
read_outcome outcome_of(Call call)
{
    return leaf::try_handle_all(
        [&]() -> result<read_outcome> {
            BOOST_LEAF_AUTO(value, call());
            return value ? read_outcome::object : read_outcome::nothing;
        },
        [](const error& reason) {
            cr_assert(reason.kind == error_kind::store_unavailable);
            return read_outcome::store_unavailable;
        },
        [] { return read_outcome::store_unavailable; });
}

template <class Expected>
bool holds(const put_result& result)
{
    return std::holds_alternative<Expected>(result);
}

http_handler reply_with(int status)
{
    return [status](const http_request&) {
        return http_reply{status, "", ""};
    };
}

} // namespace

// Guards against a write without its condition, which would revert another writer's change.
Test(object_store_client, writes_are_conditional, .timeout = 60)
{
    store_fixture it;
    cr_assert(it.client.put("a/b", "1", 0) == put_result{put_accepted{1}});
    cr_assert(it.client.put("a/b", "2", 0) == put_result{put_mismatch{1}});
    cr_assert(it.client.put("a/b", "3", 1) == put_result{put_accepted{2}});
    cr_assert(it.client.put("a/b", "4", 1) == put_result{put_mismatch{2}});
    cr_assert(it.client.put("new", "5", 9) == put_result{put_mismatch{0}});
    cr_assert_eq(it.client.call_count(), 5);
}

// Guards against a key whose characters end the path, so that two keys name one object.
Test(object_store_client, keys_are_encoded, .timeout = 60)
{
    store_fixture it;
    cr_assert(holds<put_accepted>(it.client.put("a?x=1 %41#", "1", 0)));
    cr_assert(outcome_of([&] { return it.client.get("a?x=1 %41#"); }) == read_outcome::object);
    cr_assert(outcome_of([&] { return it.client.get("a"); }) == read_outcome::nothing);
}

// Guards against reporting a write as refused, or sending it again, when it may have taken
// effect.
Test(object_store_client, write_without_reply_is_unconfirmed_and_not_repeated, .timeout = 60)
{
    std::atomic<int> writes{0};
    server_fixture it{[&writes](const http_request&) -> std::optional<http_reply> {
        ++writes;
        return std::nullopt;
    }};
    cr_assert(holds<put_unconfirmed>(it.client->put("a", "1", 0)));
    cr_assert_eq(writes.load(), 1);
}

// Guards against reporting a write that was never sent as unconfirmed: it would be read back
// for nothing, and an order would end as unknown.
Test(object_store_client, write_without_connection_is_refused, .timeout = 60)
{
    store_fixture it;
    it.server.listener.close();
    cr_assert(holds<put_refused>(it.client.put("a", "1", 0)));
}

// Guards against reporting a write as refused on a status that leaves its effect open.
Test(object_store_client, only_statuses_that_rule_out_an_effect_count_as_refused, .timeout = 60)
{
    for (const int status : {400, 429, 503})
        cr_assert(holds<put_refused>(server_fixture{reply_with(status)}.client->put("a", "1", 0)));
    // A write that gets a 200 without ETag took effect at an unknown version.
    for (const int status : {200, 500, 504})
        cr_assert(
            holds<put_unconfirmed>(server_fixture{reply_with(status)}.client->put("a", "1", 0)));
}

// Guards against reporting an object as absent during an outage: its record would be created a
// second time.
Test(object_store_client, outage_differs_from_an_absent_object, .timeout = 60)
{
    store_fixture it;
    cr_assert(outcome_of([&] { return it.client.get("a"); }) == read_outcome::nothing);
    it.server.listener.close();
    cr_assert(outcome_of([&] { return it.client.get("a"); }) == read_outcome::store_unavailable);
    server_fixture failing{reply_with(500)};
    cr_assert(outcome_of([&] { return failing.client->get("a"); }) ==
              read_outcome::store_unavailable);
}

// Guards against losing a write on a pooled connection that the store closed in a restart.
Test(object_store_client, closed_connections_are_replaced, .timeout = 60)
{
    store_fixture it;
    cr_assert(holds<put_accepted>(it.client.put("a", "1", 0)));
    it.server.listener.close();
    cr_assert(it.server.listener.open());
    cr_assert(holds<put_accepted>(it.client.put("b", "1", 0)));
}

// Guards against a timeout for each of several open connections on which the store no longer
// answers: the first one must close them all.
Test(object_store_client, one_timeout_replaces_all_silent_connections, .timeout = 60)
{
    std::atomic<int> arrived{0};
    std::atomic<bool> silent{false};
    std::promise<void> end;
    const std::shared_future<void> ended = end.get_future().share();
    {
        const http_handler handler = [&](const http_request&) -> std::optional<http_reply> {
            // Each connection has its own thread.
            thread_local int served = 0;
            if (served++ > 0 && silent) {
                ended.wait();
                return std::nullopt;
            }
            // Waits until both calls have arrived, so that the pool opens two connections.
            for (++arrived; arrived < 2;)
                std::this_thread::yield();
            return http_reply{200, "\"1\"", "x"};
        };
        server_fixture it{handler, 5s};
        const auto get = [&it] {
            return outcome_of([&] { return it.client->get("a"); });
        };
        auto other = std::async(std::launch::async, get);
        cr_assert(get() == read_outcome::object);
        cr_assert(other.get() == read_outcome::object);
        silent = true;
        cr_assert(get() == read_outcome::store_unavailable);
        cr_assert(get() == read_outcome::object);
        end.set_value();
    }
}

// Guards against reporting a version that the caller knows already as a change.
Test(object_store_client, watch_returns_only_newer_versions, .timeout = 60)
{
    store_fixture it;
    cr_assert(holds<put_accepted>(it.client.put("a", "1", 0)));
    cr_assert(outcome_of([&] { return it.client.watch("a", 0, long_timeout); }) ==
              read_outcome::object);
    cr_assert(outcome_of([&] { return it.client.watch("a", 1, 1ms); }) == read_outcome::nothing);
    server_fixture stale{[](const http_request&) {
        return http_reply{200, "\"3\"", "x"};
    }};
    cr_assert(outcome_of([&] { return stale.client->watch("a", 3, 1ms); }) ==
              read_outcome::nothing);
}

// Guards against reading a 304 without Content-Length until the timeout.
Test(object_store_client, unchanged_watch_needs_no_content_length, .timeout = 10)
{
    server_fixture it{[](const http_request&) {
        return http_reply{304, "", "", true};
    }};
    cr_assert(outcome_of([&] { return it.client->watch("a", 1, 1ms); }) == read_outcome::nothing);
}

// Guards against a pending watch that delays the shutdown or occupies a connection for calls.
Test(object_store_client, stop_ends_a_pending_watch, .timeout = 10)
{
    std::promise<void> pending;
    std::promise<void> end;
    {
        server_fixture it{[&](const http_request&) -> std::optional<http_reply> {
            pending.set_value();
            end.get_future().wait();
            return std::nullopt;
        }};
        auto watch = std::async(std::launch::async, [&it] {
            return outcome_of([&] { return it.client->watch("a", 0, long_timeout); });
        });
        pending.get_future().wait();
        it.client->stop();
        cr_assert(watch.get() == read_outcome::store_unavailable);
        cr_assert(holds<put_refused>(it.client->put("a", "1", 0)));
        cr_assert_eq(it.client->call_count(), 1);
        end.set_value();
    }
}

// Guards against losing the whole list of hosts over one entry that cannot be parsed.
Test(object_store_client, list_hosts_skips_entries_that_cannot_be_parsed, .timeout = 60)
{
    server_fixture it{[](const http_request&) {
        return http_reply{200, "",
                          R"({"hosts":[{"id":"a","control":"10.0.0.1:7"},{"id":5},)"
                          R"({"id":"b","control":"10.0.0.2:7","leaving":true}]})"};
    }};
    std::vector<listed_host> hosts;
    cr_assert(outcome_of([&]() -> result<std::optional<int>> {
                  BOOST_LEAF_ASSIGN(hosts, it.client->list_hosts());
                  return std::optional{1};
              }) == read_outcome::object);
    cr_assert_eq(hosts.size(), 2);
    cr_assert(hosts[1] == (listed_host{host_id{"b"}, endpoint{"10.0.0.2", 7}, true}));
}

// Guards against losing the whole list of hosts over one entry that the JSON library rejects or
// that is nested so deeply that it ends the process.
Test(object_store_client, list_hosts_skips_entries_that_are_no_json, .timeout = 60)
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    for (const std::string& odd :
         {deep, "{\"id\":" + deep + "}", std::string{R"({"id":"x","leaving":1e400})"},
          std::string{R"({"id":"\udcff"})"}, std::string{"{\"id\":\"\xff\"}"}}) {
        server_fixture it{[&](const http_request&) {
            return http_reply{200, "",
                              R"({"hosts":[{"id":"a","control":"10.0.0.1:7"},)" + odd +
                                  R"(,{"id":"b","control":"10.0.0.2:7","leaving":true}]})"};
        }};
        std::vector<listed_host> hosts;
        cr_assert(outcome_of([&]() -> result<std::optional<int>> {
                      BOOST_LEAF_ASSIGN(hosts, it.client->list_hosts());
                      return std::optional{1};
                  }) == read_outcome::object);
        cr_assert_eq(hosts.size(), 2);
    }
}

// Guards against a host that grows with a reply without end, and against a later call that fails
// for an earlier reply.
Test(object_store_client, long_replies_are_not_kept, .timeout = 60)
{
    std::atomic<bool> long_reply = true;
    server_fixture it{[&](const http_request&) {
        return long_reply ? http_reply{200, "\"3\"", std::string(std::size_t{64} << 20U, ' ')}
                          : http_reply{200, "\"3\"", R"({"hosts":[]})"};
    }};
    const auto list = [&]() -> result<std::optional<int>> {
        BOOST_LEAF_AUTO(hosts, it.client->list_hosts());
        return std::optional{static_cast<int>(hosts.size())};
    };
    const auto get = [&] {
        return it.client->get("a");
    };
    const auto watch = [&] {
        return it.client->watch("a", 0, 1ms);
    };
    cr_assert(outcome_of(get) == read_outcome::store_unavailable);
    cr_assert(outcome_of(list) == read_outcome::store_unavailable);
    cr_assert(outcome_of(watch) == read_outcome::store_unavailable);
    long_reply = false;
    cr_assert(outcome_of(get) == read_outcome::object);
    cr_assert(outcome_of(list) == read_outcome::object);
    cr_assert(outcome_of(watch) == read_outcome::object);
}

// Guards against a restoration of the store that hosts do not notice, and against a further reply
// of the same epoch that looks like one.
Test(object_store_client, epochs_are_counted)
{
    store_fixture f;
    cr_assert(f.client.epochs() == 0);
    f.objects.keep_copy();
    cr_assert(std::holds_alternative<put_accepted>(f.client.put("a", "1", 0)));
    cr_assert(outcome_of([&] { return f.client.get("a"); }) == read_outcome::object);
    cr_assert(f.client.epochs() == 1);
    f.objects.restore();
    // The version of the lost object is given out again.
    cr_assert(f.client.put("a", "2", 0) == put_result{put_accepted{1}});
    cr_assert(f.client.epochs() == 2);
    f.objects.restore();
    cr_assert(outcome_of([&] { return f.client.watch("a", 1, 10ms); }) == read_outcome::nothing);
    cr_assert(f.client.epochs() == 3);
    cr_assert(outcome_of([&] { return f.client.get("a"); }) == read_outcome::nothing);
    cr_assert(f.client.epochs() == 3);
}
