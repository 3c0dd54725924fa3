// Times and sizes of the gateway's input and output.
#pragma once

#include "base/clock.h"

#include <cstddef>

namespace ebonywick::gateway_constants {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bytes read at once from a connection; most messages fit into one read.
inline constexpr std::size_t read_bytes = 4096;
// Longest reply that is taken from an upstream; declared replies stay below 20 kB.
inline constexpr std::size_t reply_body_bytes = std::size_t{1} << 20U;
// A connection to an upstream is set up within some milliseconds; more means that the
// upstream or the way to it is gone.
inline constexpr duration connect_timeout = milliseconds{400};
// Data that the peer does not acknowledge for so long means a dead connection.
inline constexpr duration unacknowledged_timeout = milliseconds{1500};
// An idle connection to an upstream is closed after this time, to free its place there.
inline constexpr duration upstream_idle_limit = seconds{8};
// A connection that was used so recently is not closed by the upstream for idleness.
inline constexpr duration recently_used = milliseconds{300};
// Part of the connection limit of an upstream that the hosts use together; the rest is
// for hosts that are not known yet and for closed connections that the upstream still
// counts.
inline constexpr double used_connection_part = 0.9;

// The same where only some hosts are entry hosts: each other host may hold a connection
// for the few requests that reach it.
inline constexpr double entry_hosts_connection_part = 0.55;

// Wait of a watch at the store, which returns earlier when something changes. Each call
// is charged, so it is long, but shorter than the 20 s of history that the store keeps:
// after a longer wait the next watch would find its revision gone and need a list.
inline constexpr duration watch_wait = milliseconds{16000};
// Added to the wait of a call before it is taken for lost.
inline constexpr duration store_call_slack = milliseconds{2000};
// Probes of idle store connections: one that goes silent is found within 3 s, so that
// a change is still applied within the bounds.
// The store answers in milliseconds; a connection that takes longer is cut off.
inline constexpr duration store_connect_timeout = milliseconds{600};
inline constexpr int keepalive_idle_s = 1;
inline constexpr int keepalive_interval_s = 1;
inline constexpr int keepalive_probes = 2;
// Pauses between a change and the next watch. A change of the configuration must be in
// force within 3 s, and a leaving upstream must get nothing after 3 s; changes often come
// some hundred milliseconds apart.
inline constexpr duration configuration_pause = milliseconds{200};
inline constexpr duration upstream_pause = milliseconds{400};
inline constexpr duration host_pause = milliseconds{500};
// Pauses after failed calls.
inline constexpr duration store_retry_first = milliseconds{100};
inline constexpr duration store_retry_longest = milliseconds{600};
// Time limits of calls that the store answers at once, within 4 ms as a rule and within
// 360 ms when it is slowed down.
inline constexpr duration store_limit_first = milliseconds{300};
inline constexpr duration store_limit_step = milliseconds{200};
inline constexpr duration store_limit_longest = milliseconds{1000};

// An upstream whose entry vanished may be back within two seconds; until then it is
// used only if no other is left. Below the 3 s after which it must get nothing.
inline constexpr duration entry_lapse = milliseconds{2200};

// Hosts that read the newest state of the store; enough that two may be lost at once.
inline constexpr std::size_t newest_readers = 3;
// Time after a gap in the store's history in which the newest state is read; states that
// lag are some seconds old.
inline constexpr duration newest_after_gap = milliseconds{8000};
// A change that others have seen is given this time to arrive by a lagging watch, whose
// pause is 400 ms. With a heartbeat before it the change is applied within the 3 s bounds.
inline constexpr duration catch_up_patience = milliseconds{1000};
// After this time a host that hears no others reads the newest state itself; three
// heartbeats of a large fleet.
inline constexpr duration hearing_time = milliseconds{3000};
// Pause between two reads of another host's state, and the time that one may take.
inline constexpr duration state_read_pause = milliseconds{1000};
inline constexpr duration state_read_timeout = milliseconds{1000};
// Connections that are opened ahead of requests with each heartbeat; setting one up costs
// an upstream 6 ms of a slot.
inline constexpr std::size_t connections_warmed_at_once = 40;
// Addresses that one answer of the directory may hold.
inline constexpr std::size_t directory_addresses = 64;
// Callers keep the list of hosts for this time, some of them three times as long.
inline constexpr duration directory_validity = milliseconds{1500};

// A leaving host admits requests for this part of its grace period; later ones are sent
// to another host because they might not end in time.
inline constexpr double admitting_part = 0.72;
// A leaving host ends after this part of its grace period at the latest.
inline constexpr double serving_part = 0.95;

inline constexpr duration log_flush_interval = milliseconds{250};

} // namespace ebonywick::gateway_constants
