// Tests of what hosts tell each other of requests that crash upstreams.
#include "peers/hostrecord.h"
#include "quarantine/quarantine.h"

#include <criterion/criterion.h>

#include <fmt/format.h>

#include <limits>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

// What the receive buffer of heartbeats holds.
constexpr std::size_t max_datagram = 8192;

} // namespace

// Guards against fields that are lost or mixed up, and against ages that overflow.
Test(quarantine_messages, survive_encoding)
{
    peer_message message;
    message.heartbeat.id = host_id{"a"};
    message.quarantine.crashes = {{{{1, 2}, 3, 4}, 5, 6ms}, {{{7, 8}, 9, 10}, 11, 12s}};
    message.quarantine.blocks = {{13, 2, 0x80000001, 24h},
                                 {std::numeric_limits<std::uint64_t>::max(), 1, 4, 0ms}};
    message.quarantine.releases = {{14, 15, 16ms}};
    cr_assert(decode_peer_message(encode_peer_message(message)) == message);
    message.quarantine.blocks[0].age = duration::max();
    const auto decoded = decode_peer_message(encode_peer_message(message));
    cr_assert(decoded && decoded->quarantine.blocks[0].age > 24h);
}

// Guards against a message that does not fit into a datagram, and against steady traffic of relays
// above the bound of the control plane: a relay of 460 hosts sends one message a second to each of
// 31 others.
Test(quarantine_messages, fit_into_datagrams_and_the_bound_of_the_control_plane)
{
    constexpr std::size_t other_relays = 31;
    constexpr std::size_t control_bytes_per_s = 7000;
    quarantine it{host_id{"a"}};
    std::vector<quarantine_change> changes;
    time_point now{1h};
    for (std::uint32_t n = 0; n < 3000; ++n) {
        const std::uint64_t key =
            std::numeric_limits<std::uint64_t>::max() - std::uint64_t{n} / 3 * 2;
        it.crashed({{{{key, key - 1}, n, n}, n, now}}, now, changes);
        now += 1ms;
        if (n % 3 == 2)
            it.merge({.blocks = {{key, 1, 1U << 31U, 0ms}}}, now, changes);
    }
    const auto bytes = [&] {
        peer_message message;
        message.heartbeat.id = host_id{"a"};
        const std::size_t without = encode_peer_message(message).size();
        message.quarantine = it.report(now);
        return encode_peer_message(message).size() - without;
    };
    const std::size_t burst = bytes();
    cr_assert_lt(burst, max_datagram / 2);
    now += 5s;
    const std::size_t steady = bytes();
    fmt::print("{} bytes in a message at first, {} later\n", burst, steady);
    cr_assert_gt(steady, 0);
    cr_assert_lt(steady * other_relays, control_bytes_per_s / 2);
}
