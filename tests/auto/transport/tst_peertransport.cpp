// Tests for the message transport between hosts and the estimated age of messages.
#include "transport/messageageestimator.h"
#include "transport/peertransport.h"

#include <criterion/criterion.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

/// Collects messages. wait_for() returns when `n` have arrived, or after 20 s.
class inbox
{
public:
    void add(std::string_view bytes)
    {
        const std::lock_guard lock{mutex_};
        messages_.emplace_back(bytes);
        changed_.notify_all();
    }

    std::vector<std::string> wait_for(std::size_t n)
    {
        std::unique_lock lock{mutex_};
        changed_.wait_for(lock, 20s, [&] { return messages_.size() >= n; });
        return messages_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> messages_;
};

} // namespace

// Guards against messages between two running hosts being truncated, reordered or
// lost.
Test(peer_transport, messages_arrive_whole_and_in_order)
{
    inbox received;
    peer_transport receiver{endpoint{"127.0.0.1", 25101}, [&](std::string_view bytes) {
                                received.add(bytes);
                            }};
    peer_transport sender{endpoint{"127.0.0.1", 25102}, [](std::string_view) {
                          }};
    for (int it = 0; it < 500; ++it)
        sender.send(endpoint{"127.0.0.1", 25101}, std::string(std::size_t(it) * 7, 'x'));
    const std::vector<std::string> messages = received.wait_for(500);
    cr_assert_eq(messages.size(), 500U);
    for (std::size_t it = 0; it < messages.size(); ++it)
        cr_assert_eq(messages[it].size(), it * 7);
}

// Guards against a second process binding the same address and receiving part of
// the messages.
Test(peer_transport, second_listener_on_an_address_is_refused)
{
    peer_transport first{endpoint{"127.0.0.1", 25103}, [](std::string_view) {
                         }};
    bool refused = false;
    try {
        peer_transport second{endpoint{"127.0.0.1", 25103}, [](std::string_view) {
                              }};
    } catch (const std::system_error&) {
        refused = true;
    }
    cr_assert(refused);
}

// Guards against a host keeping a connection with its ZMTP heartbeats to every host
// that it has ever sent to, and against a peer that cannot be reached again after
// its connection was closed.
Test(peer_transport, idle_connection_is_closed_and_reopened)
{
    inbox received;
    peer_transport receiver{endpoint{"127.0.0.1", 25104}, [&](std::string_view bytes) {
                                received.add(bytes);
                            }};
    peer_transport sender{endpoint{"127.0.0.1", 25105}, [](std::string_view) {}, 200ms};
    const auto closes = [&] {
        const auto end = std::chrono::steady_clock::now() + 20s;
        while (sender.totals().open_peers != 0 && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(10ms);
        return sender.totals().open_peers == 0;
    };
    sender.send(endpoint{"127.0.0.1", 25104}, "first");
    cr_assert_eq(received.wait_for(1).size(), 1U);
    cr_assert(closes());
    sender.send(endpoint{"127.0.0.1", 25104}, "second");
    cr_assert_eq(received.wait_for(2).size(), 2U);
    cr_assert(closes());
}

// Guards against a call that was queued during an outage being run after its
// deadline, because its time in the queue was not counted.
Test(message_age_estimator, delay_beyond_the_fastest_message_counts)
{
    message_age_estimator age_estimator;
    const host_id sender{"a"};
    const time_point mine{100s};
    const time_point theirs{5s};
    cr_assert_eq(age_estimator.estimate(sender, 1, theirs, mine).count(), 0);
    cr_assert_eq(age_estimator.estimate(sender, 1, theirs + 1s, mine + 1s + 30ms).count(),
                 duration{30ms}.count());
    cr_assert_eq(age_estimator.estimate(sender, 1, theirs + 2s, mine + 4s).count(),
                 duration{2s}.count());
    // Timestamps of a restarted sender are not comparable with earlier ones.
    cr_assert_eq(age_estimator.estimate(sender, 2, time_point{1s}, mine + 5s).count(), 0);
}
