// Failure detection, gossip, leases and responsibility of one host as a pure
// decision object.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "base/randomsource.h"
#include "membership/hoststate.h"
#include "settings/declaration.h"
#include "settings/roster.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace ebonywick {

// Messages between hosts, as the decision sees them. `from` is the sender.

struct heartbeat
{
    host_id from;
    incarnation_number incarnation = 0;
    // Grows with each heartbeat of the sender; the reply repeats it.
    std::uint64_t sequence = 0;
    object_version config = 0;
    object_version roster = 0;
    // The sender asks this host, as its monitor, for a lease.
    bool wants_lease = false;
    std::vector<member_update> updates;

    auto operator<=>(const heartbeat&) const = default;
};

struct heartbeat_reply
{
    host_id from;
    incarnation_number incarnation = 0;
    std::uint64_t sequence = 0;
    object_version config = 0;
    object_version roster = 0;
    bool lease_granted = false;
    std::vector<currency_token> tokens;
    std::vector<member_update> updates;

    auto operator<=>(const heartbeat_reply&) const = default;
};

struct fence_request
{
    host_id from;
    host_id subject;
    std::uint64_t sequence = 0;

    auto operator<=>(const fence_request&) const = default;
};

struct fence_reply
{
    host_id from;
    host_id subject;
    std::uint64_t sequence = 0;
    bool granted = false;

    auto operator<=>(const fence_reply&) const = default;
};

struct lease_release
{
    host_id from;
    incarnation_number incarnation = 0;

    auto operator<=>(const lease_release&) const = default;
};

enum class object_kind { config, roster };

/// A newer version of a store object, as serialized JSON.
struct object_push
{
    host_id from;
    object_kind kind = object_kind::config;
    object_version version = 0;
    std::string content;

    auto operator<=>(const object_push&) const = default;
};

struct object_fetch
{
    host_id from;
    object_kind kind = object_kind::config;

    auto operator<=>(const object_fetch&) const = default;
};

using control_message = std::variant<heartbeat, heartbeat_reply, fence_request, fence_reply,
                                     lease_release, object_push, object_fetch>;

struct message_received
{
    control_message message;

    auto operator<=>(const message_received&) const = default;
};

/// A store object was read from the store, a peer or an operator's push, and it
/// parses. Exactly one of the two is used, by `kind`.
struct object_received
{
    object_kind kind = object_kind::config;
    object_version version = 0;
    std::string content;
    configuration config;
    roster hosts;

    auto operator<=>(const object_received&) const = default;
};

/// Call at least every 100 ms.
struct membership_tick
{
    auto operator<=>(const membership_tick&) const = default;
};

/// This host was told to leave.
struct leave_requested
{
    auto operator<=>(const leave_requested&) const = default;
};

/// All work of this host as holder has ended; its lease may be released.
struct calls_drained
{
    auto operator<=>(const calls_drained&) const = default;
};

using membership_event = std::variant<message_received, object_received, membership_tick,
                                      leave_requested, calls_drained>;

struct send_control
{
    host_id to;
    control_message message;

    auto operator<=>(const send_control&) const = default;
};

/// Take a newer object into use; forwarding is asked for separately.
struct adopt_object
{
    object_kind kind = object_kind::config;
    object_version version = 0;

    auto operator<=>(const adopt_object&) const = default;
};

/// Read the object from the store; a peer or a witness knows a newer one.
struct read_store
{
    object_kind kind = object_kind::config;

    auto operator<=>(const read_store&) const = default;
};

struct holder_gained
{
    upstream_id upstream;
    std::string reason;

    auto operator<=>(const holder_gained&) const = default;
};

struct holder_lost
{
    upstream_id upstream;
    std::string reason;

    auto operator<=>(const holder_lost&) const = default;
};

struct host_changed
{
    host_id host;
    host_status status = host_status::joining;

    auto operator<=>(const host_changed&) const = default;
};

struct currency_changed
{
    bool current = false;

    auto operator<=>(const currency_changed&) const = default;
};

using membership_action = std::variant<send_control, adopt_object, read_store, holder_gained,
                                       holder_lost, host_changed, currency_changed>;

/// Not thread-safe.
class membership_agent
{
public:
    membership_agent(host_id self, incarnation_number incarnation, std::uint64_t seed,
                     time_point started);
    ~membership_agent();
    membership_agent(const membership_agent&) = delete;
    membership_agent& operator=(const membership_agent&) = delete;

    std::vector<membership_action> handle(const membership_event& ev, time_point now);

    /// Until when this host may act as holder; to be checked right before use.
    [[nodiscard]] time_point lease_until() const;
    /// Until when this host counts as current if nothing more is heard.
    [[nodiscard]] time_point current_until() const;
    [[nodiscard]] bool holds(const upstream_id& upstream, time_point now) const;
    /// When the fences end that holding the upstream rests on: a call must end
    /// before. time_point::min() if the upstream is not held.
    [[nodiscard]] time_point fences_valid_until(const upstream_id& upstream) const;
    /// The host that should hold the upstream, as far as is known; empty: none.
    [[nodiscard]] host_id expected_holder(const upstream_id& upstream) const;
    [[nodiscard]] host_status status_of(const host_id& host) const;
    [[nodiscard]] object_version known_version(object_kind kind) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
