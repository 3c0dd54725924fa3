// Guards the object store client against the ways in which a store fails. Each
// test runs a server on loopback in its own process.
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

// Long enough that a busy machine does not reach it by accident.
constexpr duration long_timeout = 20s;

/// A server with the handler, and a client for it.
struct fixture
{
    explicit fixture(http_handler handler, duration timeout = long_timeout)
        : listener{0, std::move(handler)}
    {
        cr_assert(listener.open());
        client =
            std::make_unique<object_store_client>(endpoint{"127.0.0.1", listener.port()}, timeout);
    }
    ~fixture() { client.reset(); }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    http_listener listener;
    std::unique_ptr<object_store_client> client;
};

/// A fixture whose server is the stand-in.
struct store_fixture
{
    object_table objects{""};
    fixture server{[this](const http_request& it) {
        return objects.serve(it);
    }};
    object_store_client& client = *server.client;
};

enum class found { object, nothing, store_unavailable };

template <class Call>
found kind_of(Call call)
{
    return leaf::try_handle_all(
        [&]() -> result<found> {
            BOOST_LEAF_AUTO(value, call());
            return value ? found::object : found::nothing;
        },
        [](const error& reason) {
            cr_assert(reason.kind == error_kind::store_unavailable);
            return found::store_unavailable;
        },
        [] { return found::store_unavailable; });
}

template <class Expected>
bool is(const put_result& result)
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

// Failure: a write without its condition reverts another writer's change.
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

// Failure: characters of a key end the path, and two objects become one.
Test(object_store_client, keys_are_encoded, .timeout = 60)
{
    store_fixture it;
    cr_assert(is<put_accepted>(it.client.put("a?x=1 %41#", "1", 0)));
    cr_assert(kind_of([&] { return it.client.get("a?x=1 %41#"); }) == found::object);
    cr_assert(kind_of([&] { return it.client.get("a"); }) == found::nothing);
}

// Failure: a write that took effect counts as refused, or is sent again.
Test(object_store_client, write_without_reply_is_lost_and_not_repeated, .timeout = 60)
{
    std::atomic<int> writes{0};
    fixture it{[&writes](const http_request&) -> std::optional<http_reply> {
        ++writes;
        return std::nullopt;
    }};
    cr_assert(is<put_unconfirmed>(it.client->put("a", "1", 0)));
    cr_assert_eq(writes.load(), 1);
}

// Failure: a write that never left the host is read back for nothing, and an
// order ends as unknown.
Test(object_store_client, write_without_connection_is_refused, .timeout = 60)
{
    store_fixture it;
    it.server.listener.close();
    cr_assert(is<put_refused>(it.client.put("a", "1", 0)));
}

// Failure: a status that leaves the effect open counts as refused.
Test(object_store_client, only_clear_statuses_count_as_refused, .timeout = 60)
{
    for (const int status : {400, 429, 503})
        cr_assert(is<put_refused>(fixture{reply_with(status)}.client->put("a", "1", 0)));
    // A 200 without ETag took effect at an unknown version.
    for (const int status : {200, 500, 504})
        cr_assert(is<put_unconfirmed>(fixture{reply_with(status)}.client->put("a", "1", 0)));
}

// Failure: an outage looks like an absent object, and a record is created anew.
Test(object_store_client, outage_differs_from_an_absent_object, .timeout = 60)
{
    store_fixture it;
    cr_assert(kind_of([&] { return it.client.get("a"); }) == found::nothing);
    it.server.listener.close();
    cr_assert(kind_of([&] { return it.client.get("a"); }) == found::store_unavailable);
    fixture failing{reply_with(500)};
    cr_assert(kind_of([&] { return failing.client->get("a"); }) == found::store_unavailable);
}

// Failure: after a restart of the store the kept connection loses a write.
Test(object_store_client, closed_connections_are_replaced, .timeout = 60)
{
    store_fixture it;
    cr_assert(is<put_accepted>(it.client.put("a", "1", 0)));
    it.server.listener.close();
    cr_assert(it.server.listener.open());
    cr_assert(is<put_accepted>(it.client.put("b", "1", 0)));
}

// Failure: each of several silent connections costs a caller a timeout.
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
            // Both calls at once, so that two connections are kept.
            for (++arrived; arrived < 2;)
                std::this_thread::yield();
            return http_reply{200, "\"1\"", "x"};
        };
        fixture it{handler, 500ms};
        const auto get = [&it] {
            return kind_of([&] { return it.client->get("a"); });
        };
        auto other = std::async(std::launch::async, get);
        cr_assert(get() == found::object);
        cr_assert(other.get() == found::object);
        silent = true;
        cr_assert(get() == found::store_unavailable);
        cr_assert(get() == found::object);
        end.set_value();
    }
}

// Failure: a watch reports a version that is known already as a change.
Test(object_store_client, watch_returns_only_newer_versions, .timeout = 60)
{
    store_fixture it;
    cr_assert(is<put_accepted>(it.client.put("a", "1", 0)));
    cr_assert(kind_of([&] { return it.client.watch("a", 0, long_timeout); }) == found::object);
    cr_assert(kind_of([&] { return it.client.watch("a", 1, 1ms); }) == found::nothing);
    fixture stale{[](const http_request&) {
        return http_reply{200, "\"3\"", "x"};
    }};
    cr_assert(kind_of([&] { return stale.client->watch("a", 3, 1ms); }) == found::nothing);
}

// Failure: a 304 without Content-Length is read until the timeout.
Test(object_store_client, unchanged_watch_needs_no_content_length, .timeout = 10)
{
    fixture it{[](const http_request&) {
        return http_reply{304, "", "", true};
    }};
    cr_assert(kind_of([&] { return it.client->watch("a", 1, 1ms); }) == found::nothing);
}

// Failure: a pending watch delays the shutdown, or takes a call's connection.
Test(object_store_client, stop_ends_a_pending_watch, .timeout = 10)
{
    std::promise<void> pending;
    std::promise<void> end;
    {
        fixture it{[&](const http_request&) -> std::optional<http_reply> {
            pending.set_value();
            end.get_future().wait();
            return std::nullopt;
        }};
        auto watch = std::async(std::launch::async, [&it] {
            return kind_of([&] { return it.client->watch("a", 0, long_timeout); });
        });
        pending.get_future().wait();
        it.client->stop();
        cr_assert(watch.get() == found::store_unavailable);
        cr_assert(is<put_refused>(it.client->put("a", "1", 0)));
        cr_assert_eq(it.client->call_count(), 1);
        end.set_value();
    }
}

// Failure: one bad entry of the platform's list hides all hosts.
Test(object_store_client, hosts_skip_entries_that_cannot_be_read, .timeout = 60)
{
    fixture it{[](const http_request&) {
        return http_reply{200, "",
                          R"({"hosts":[{"id":"a","control":"10.0.0.1:7"},{"id":5},)"
                          R"({"id":"b","control":"10.0.0.2:7","leaving":true}]})"};
    }};
    std::vector<listed_host> hosts;
    cr_assert(kind_of([&]() -> result<std::optional<int>> {
                  BOOST_LEAF_ASSIGN(hosts, it.client->list_hosts());
                  return std::optional{1};
              }) == found::object);
    cr_assert_eq(hosts.size(), 2);
    cr_assert(hosts[1] == (listed_host{host_id{"b"}, endpoint{"10.0.0.2", 7}, true}));
}
