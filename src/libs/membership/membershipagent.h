// Failure detection, gossip, leases and claims on upstreams of one host, as a
// deterministic state machine: events go in, actions come out, and it does no I/O.
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

// Messages between hosts. `from` is the sender.

struct heartbeat
{
    host_id from;
    incarnation_number incarnation = 0;
    // Increases with each heartbeat of the sender; the reply repeats it.
    std::uint64_t sequence = 0;
    object_version config = 0;
    object_version roster = 0;
    // The sender requests its lease from the receiver as its monitor.
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

/// Asks a monitor of `subject` for a fence against it.
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

/// The sender gives up its lease for good; see lease_registry::release().
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

/// Asks for an object_push of the receiver's version.
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

/// An object came from the store, a peer or an operator, and parsed without errors.
/// `kind` tells which of `config` and `hosts` is set.
struct object_received
{
    object_kind kind = object_kind::config;
    object_version version = 0;
    std::string content;
    configuration config;
    roster hosts;

    auto operator<=>(const object_received&) const = default;
};

/// Must be passed in at least every 100 ms.
struct membership_tick
{
    auto operator<=>(const membership_tick&) const = default;
};

/// This host was told to leave.
struct leave_requested
{
    auto operator<=>(const leave_requested&) const = default;
};

/// All calls that this host runs as holder have ended; its lease may be released.
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

/// Take a newer object into use. Peers that want it ask for it with object_fetch.
struct adopt_object
{
    object_kind kind = object_kind::config;
    object_version version = 0;

    auto operator<=>(const adopt_object&) const = default;
};

/// Read the object from the store: none is known, or the peers that announced a newer
/// version did not send it.
struct read_store
{
    object_kind kind = object_kind::config;

    auto operator<=>(const read_store&) const = default;
};

/// This host became the holder of the upstream; `reason` is for the decision log.
struct holder_gained
{
    upstream_id upstream;
    std::string reason;

    auto operator<=>(const holder_gained&) const = default;
};

/// This host is no longer the holder of the upstream.
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

/// Membership of one host in the fleet. Not thread-safe.
class membership_agent
{
public:
    membership_agent(host_id self, incarnation_number incarnation, std::uint64_t seed,
                     time_point started);
    ~membership_agent();
    membership_agent(const membership_agent&) = delete;
    membership_agent& operator=(const membership_agent&) = delete;

    /// Handles one event. The caller carries out the returned actions in order.
    std::vector<membership_action> handle(const membership_event& ev, time_point now);

    /// Until when this host has its lease; check it immediately before each use.
    [[nodiscard]] time_point lease_until() const;
    /// Until when this host is current if it receives no further message.
    [[nodiscard]] time_point current_until() const;
    /// True if this host has its lease, is current and has all fences for `upstream`.
    [[nodiscard]] bool holds(const upstream_id& upstream, time_point now) const;
    /// Until when the fences that the claim on the upstream needs are valid; a call
    /// must end before. time_point::max() if it needs none, time_point::min() if the
    /// upstream is not held.
    [[nodiscard]] time_point fences_valid_until(const upstream_id& upstream) const;
    /// The host that holds the upstream as far as this host knows; empty if none.
    [[nodiscard]] host_id expected_holder(const upstream_id& upstream) const;
    [[nodiscard]] host_status status_of(const host_id& host) const;
    /// Version that this host has; 0 if none.
    [[nodiscard]] object_version known_version(object_kind kind) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
