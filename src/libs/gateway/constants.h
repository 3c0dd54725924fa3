// Timeouts, intervals and size limits of the gateway.
#pragma once

#include "base/clock.h"

#include <cstddef>

namespace ebonywick::gateway_constants {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Size of the read buffer of a connection; most messages fit into one read.
inline constexpr std::size_t read_buffer_bytes = 4096;
// Receive buffer of a caller's connection in the system, which holds at most twice as much. A
// larger one grows with the sender and counts for this host.
inline constexpr int receive_buffer_bytes = 64 * 1024;
// Pause after a failure to accept a connection.
inline constexpr duration accept_pause = milliseconds{100};
// When a caller may repeat a request that this host has no memory for.
inline constexpr duration no_room_retry_after = seconds{1};
// What a request may hold to count as small, for which room is reserved.
inline constexpr std::size_t small_request_bytes = 4096;
// Replies of upstreams with a larger body are rejected; declared replies stay below 20 kB.
inline constexpr std::size_t max_upstream_reply_body_bytes = std::size_t{1} << 20U;
// Connecting to an upstream normally takes a few milliseconds; after this time the upstream
// or the network path counts as down.
inline constexpr duration connect_timeout = milliseconds{400};
// A connection whose peer does not acknowledge sent data for this long is dead.
inline constexpr duration unacknowledged_data_timeout = milliseconds{1500};
// Idle connections to an upstream are closed after this time, because they count against
// its connection limit.
inline constexpr duration max_upstream_idle_time = seconds{8};
// An upstream does not close a connection as idle within this time after its last use.
inline constexpr duration recent_use_limit = milliseconds{300};
// The same on a host that is not an entry host: it gets few requests, and the connections of
// hundreds of such hosts would take most of the limit. Removed with the heartbeats, so they may
// last an interval longer.
inline constexpr duration max_rare_idle_time = milliseconds{500};
// Share of an upstream's connection limit that is divided among the known hosts. The rest is
// for hosts that are not known yet and for closed connections that the upstream still
// counts.
inline constexpr double known_hosts_connection_ratio = 0.9;

// The same share if only some hosts are entry hosts. The rest of known_hosts_connection_ratio is
// divided among the others, for the few requests that reach them; each may hold one connection.
inline constexpr double entry_hosts_connection_ratio = 0.55;

// Longest time that the store holds a watch; it returns earlier when something changes.
// Long, because each call is charged, but shorter than the 20 s of history that the store
// keeps: after a longer wait the next watch would find its revision gone and need a list.
inline constexpr duration watch_wait = milliseconds{16000};
// The hosts that read the newest state renew their watches of the configuration in turn, at least
// one of them in this time. A silent connection is thus found, and a change passed on to all hosts,
// within 3 s of the change.
inline constexpr duration renewal_interval = milliseconds{1600};
// By how much the turns of a reader may move until it repeats its watch: more than messages between
// hosts differ in their delays.
inline constexpr duration turn_tolerance = milliseconds{400};
// After the reply to such a watch, the other collections have this long to show the changes up to
// the revision that it states. Longer than the pauses below.
inline constexpr duration verification_delay = milliseconds{600};
// A watch that is renewed in turn counts as lost if its reply is this late. Twice the reply time of
// a slow store.
inline constexpr duration renewal_margin = milliseconds{800};
// Wait of a watch that is to be answered at once.
inline constexpr duration probe_wait = milliseconds{1};
// A watch without a reply this long after its wait counts as lost. Also the limit for data
// that the store or another host does not acknowledge.
inline constexpr duration store_call_margin = milliseconds{2000};
// Longest time in which a reply that arrives steadily is read. A page of a list, 1 MB, takes 0.6 s
// on a link of 14 Mbit/s.
inline constexpr duration max_reply_time = milliseconds{10000};
// Connecting to the store takes milliseconds; a longer attempt is aborted.
inline constexpr duration store_connect_timeout = milliseconds{600};
// TCP keep-alive on connections to the store and to other hosts: a peer whose system is gone is
// detected within 3 s. One that acknowledges, but returns nothing, is not.
inline constexpr int keepalive_idle_s = 1;
inline constexpr int keepalive_interval_s = 1;
inline constexpr int keepalive_probes = 2;
// Pauses between a reply with changes and the next watch. A configuration change must be in
// force within 3 s, and a leaving upstream must get no calls after 3 s. Changes often come
// a few hundred milliseconds apart.
inline constexpr duration configuration_pause = milliseconds{200};
inline constexpr duration upstream_pause = milliseconds{400};
inline constexpr duration host_pause = milliseconds{500};
// Interval between calls to the store that fail: doubled with each failure, within these
// bounds.
inline constexpr duration min_store_retry_pause = milliseconds{100};
inline constexpr duration max_store_retry_pause = milliseconds{600};
// Number of hosts that keep these bounds during an outage of the store. The others call it less
// often, and at once when a heartbeat shows that a host has regained it.
inline constexpr std::size_t outage_prober_count = 4;
inline constexpr duration max_idle_store_retry_pause = milliseconds{2400};
// A watch whose call is held back checks again after this time.
inline constexpr duration held_call_pause = milliseconds{100};
// Timeout of lists: grows by a step with each failure, up to the maximum. The store normally
// replies within 4 ms, and within 360 ms when it is slow.
inline constexpr duration initial_store_call_timeout = milliseconds{300};
inline constexpr duration store_call_timeout_step = milliseconds{200};
inline constexpr duration max_store_call_timeout = milliseconds{1000};

// How long an upstream stays in the table after its entry has disappeared from the store, as
// a last resort. An entry may come back within 2 s, and 3 s after its removal an upstream
// must get no calls.
inline constexpr duration lapsed_entry_retention = milliseconds{2200};

// How long an upstream's entry that a restored store does not have is kept: it comes back within
// 2 s, and one that is still missing is gone.
inline constexpr duration restored_entry_wait = milliseconds{2500};
// How long the known state is kept if a restored store has an older one, or an object that was
// deleted. Longer than three heartbeats of an upstream, after which the store removes the
// entry of one that is gone; operators repeat their changes sooner.
inline constexpr duration restored_state_wait = milliseconds{6000};

// Number of hosts that read the newest state of the store; two of them may fail at once.
inline constexpr std::size_t newest_reader_count = 3;
// After a gap in the store's history a host whose reads may lag waits this long before the next
// one, while other hosts pass on the changes. Stale reads are some seconds behind then.
inline constexpr duration stale_read_pause_after_gap = milliseconds{4000};
// Without such hosts the newest state is read for this time.
inline constexpr duration newest_reads_after_gap = milliseconds{8000};
// A change that other hosts have applied may take this long to arrive by a stale watch,
// whose pause is at most 400 ms, before the newest state is read. Together with a heartbeat
// interval this stays below the 3 s within which changes must be applied.
inline constexpr duration catch_up_delay = milliseconds{1000};
// A host that has just started receives the heartbeats of the others within this time, which
// is three heartbeat intervals of a large fleet. Until then its watches may
// lag; a host that receives none reads the newest state afterwards.
inline constexpr duration peer_discovery_time = milliseconds{3000};
// A host that starts waits this long for the list of hosts before it reads the rest of the
// store; the list normally takes 4 ms.
inline constexpr duration host_list_wait = milliseconds{150};
// A host that starts in a large fleet lets the relays pass on the store's state for this time
// before it reads the store itself, and for a longer time if a relay has answered: the relays may
// have started with it.
inline constexpr duration relayed_start_wait = milliseconds{1000};
inline constexpr duration answered_start_wait = milliseconds{3000};
// Interval of heartbeats and queries until the store's state is known.
inline constexpr duration starting_heartbeat_interval = milliseconds{250};
// A host that is not registered yet waits this long, because at the first start of a fleet the
// other hosts register within this time.
inline constexpr duration registration_wait = milliseconds{1000};
// A host follows its relays for this time after the last one has lost the store. An outage is
// usually shorter, and reads by all hosts would hit the store when it returns.
inline constexpr duration readerless_follow_time = milliseconds{10000};
// A host follows its relays as long as one has answered within this time, which is two heartbeat
// intervals of a large fleet and a margin.
inline constexpr duration relay_answer_timeout = milliseconds{2500};
// A host that watches the store waits this long for a change that others have applied before it
// reads the change from one of them; below the delay after which it reads the newest state. A
// host that follows relays waits as long for one of its failure domain to have the change.
inline constexpr duration follow_delay = milliseconds{400};
// A host that lacks a change of other hosts for this long logs it. Reading a change from another
// host normally takes less.
inline constexpr duration behind_log_delay = milliseconds{1500};
// The same for a change that another host has announced, which the store may not pass on.
inline constexpr duration announced_change_delay = milliseconds{100};
// Shortest interval between two reads of another host's store snapshot, after one that succeeded
// and after one that failed, and the timeout of a read.
inline constexpr duration snapshot_read_interval = milliseconds{200};
inline constexpr duration snapshot_read_pause = milliseconds{1000};
inline constexpr duration snapshot_read_timeout = milliseconds{1000};
// The same on a connection that was kept open and may have gone silent. A read that gets no reply
// is repeated on a new one. A host replies within milliseconds, a slow one within 200 ms.
inline constexpr duration kept_snapshot_read_timeout = milliseconds{300};
// Number of connections opened ahead of requests with each heartbeat; a new connection
// occupies a slot of the upstream for 6 ms.
inline constexpr std::size_t max_connections_warmed_per_heartbeat = 40;
// Number of addresses in one answer of the directory.
inline constexpr std::size_t max_directory_addresses = 64;
// How long callers may cache the list of hosts; some keep it three times as long.
inline constexpr duration directory_ttl = milliseconds{1500};

// Part of its grace period in which a leaving host admits requests, as far as the rest is long
// enough for them. It refuses the others, so that callers go to another host.
inline constexpr double admission_grace_ratio = 0.72;
// Part of its grace period after which a leaving host ends the open requests and exits.
inline constexpr double serving_grace_ratio = 0.95;

// Part of its grace period after which a leaving host exits although answers are being sent.
inline constexpr double sending_grace_ratio = 0.985;
// Time in which a peer is expected to close its connection after the last answer.
inline constexpr duration linger_time = milliseconds{1000};

inline constexpr duration log_flush_interval = milliseconds{250};
// Shortest time between two log lines about callers that were cut off.
inline constexpr duration cut_callers_log_interval = seconds{5};

} // namespace ebonywick::gateway_constants
