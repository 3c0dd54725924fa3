// Tests of the threads that watch the store's objects.
#include "httplistener.h"
#include "node/storesync.h"

#include <criterion/criterion.h>

#include <mutex>
#include <set>
#include <thread>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

constexpr duration change_bound = 3s;
constexpr duration call_timeout = 1s;
// Longest pause after a first failure.
constexpr duration first_pause = 200ms;

} // namespace

// A watch on a connection that has gone silent ends with its wait and the timeout of a call, and
// the witnesses watch the same objects. Guards against a change that none of them reads in time,
// because the wait is too long, or because all wait for the same time.
Test(store_sync, watches_end_within_the_bound_of_a_change, .timeout = 60)
{
    std::mutex mutex;
    std::set<int> waits;
    standin::http_listener store{
        0, [&](const standin::http_request& it) -> std::optional<standin::http_reply> {
            if (it.path != "/objects/config" && it.path.find("config") == std::string::npos)
                return standin::http_reply{404, "", ""};
            const auto wait = it.parameters.find("wait_ms");
            if (wait == it.parameters.end())
                return standin::http_reply{200, "\"1\"", "{}"};
            {
                const std::lock_guard lock{mutex};
                waits.insert(std::stoi(wait->second));
            }
            std::this_thread::sleep_for(20ms);
            return standin::http_reply{304, "\"1\"", ""};
        }};
    cr_assert(store.open());
    const std::set<int> seen = [&] {
        object_store_client client{endpoint{"127.0.0.1", store.port()}, call_timeout};
        logger log{log_level::error};
        node_settings settings;
        store_sync sync{
            settings,
            1,
            client,
            log,
            {.needs =
                 [](object_kind kind) {
                     return sync_needs{.watch = kind == object_kind::config, .known = {1, "{}"}};
                 },
             .on_object = [](object_kind, const stored_object&) {},
             .known =
                 [](object_kind) {
                     return stored_object{1, "{}"};
                 },
             .view = [] { return std::make_shared<const fleet_view>(); },
             .is_current = [] { return false; },
             .status_of =
                 [](const host_id&) {
                     return host_status{};
                 }}};
        while (true) {
            std::this_thread::sleep_for(10ms);
            const std::lock_guard lock{mutex};
            if (waits.size() < 20 && !waits.contains(10000))
                continue;
            client.stop();
            return waits;
        }
    }();
    for (const int it : seen)
        cr_assert_lt(std::chrono::milliseconds{it} + call_timeout + first_pause, change_bound);
    cr_assert_geq(seen.size(), 10);
}
