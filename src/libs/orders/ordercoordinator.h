// At-most-once execution of a non-idempotent request (an order) at one entry host. A
// record in the store, found by the idempotency key, is claimed before the call is sent.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/identifiers.h"
#include "query/outcome.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ebonywick {

/// State of an order record:
/// - started: its attempt may have sent the call;
/// - done: the call ran, and the record holds the reply;
/// - not_run: the call did not run, so another attempt may claim the record.
enum class order_state { started, done, not_run };

/// Content of the store object `ebonywick/orders/HASH`.
struct order_record
{
    service_name service;
    std::string key;
    // The attempt that may send the call.
    request_id attempt;
    // Hash of the body; detects a key that is used for another request.
    std::uint64_t fingerprint = 0;
    order_state state = order_state::started;
    // The upstream's reply; empty unless done.
    std::string outcome;

    auto operator<=>(const order_record&) const = default;
};

/// A record as read from the store, with its version for conditional writes.
struct stored_record
{
    order_record record;
    object_version version = 0;

    auto operator<=>(const stored_record&) const = default;
};

enum class write_result {
    accepted,
    // The current version differs from the expected one; nothing was written.
    mismatch,
    // No reply arrived; the write may have taken effect.
    lost,
    // The store refused the write or could not be reached; nothing was written.
    refused,
};

/// Result of a write_record.
struct record_written
{
    write_result status = write_result::accepted;
    // Of the written record; only if accepted.
    object_version version = 0;
    // The store was found to be restored from an older copy during the call.
    bool restored = false;

    auto operator<=>(const record_written&) const = default;
};

/// Result of a read_record, which may be stale.
struct record_read
{
    // False: the store did not answer.
    bool answered = false;
    // Empty: no such record.
    std::optional<stored_record> found;
    // As in record_written.
    bool restored = false;

    auto operator<=>(const record_read&) const = default;
};

/// The call ran, with this reply.
struct order_replied
{
    std::string reply;

    auto operator<=>(const order_replied&) const = default;
};

/// The call ended without a reply. It may have run unless is_not_run(reason.kind).
struct order_failed
{
    error reason;

    auto operator<=>(const order_failed&) const = default;
};

/// The request must end now, at its deadline or because the host ends it earlier.
struct order_deadline
{
    auto operator<=>(const order_deadline&) const = default;
};

using order_event =
    std::variant<record_written, record_read, order_replied, order_failed, order_deadline>;

/// Conditionally writes the record: creates it if `expected` is 0, otherwise replaces
/// that version.
struct write_record
{
    order_record record;
    object_version expected = 0;

    auto operator<=>(const write_record&) const = default;
};

struct read_record
{
    auto operator<=>(const read_record&) const = default;
};

/// Sends the call to an upstream. Returned at most once.
struct send_order
{
    auto operator<=>(const send_order&) const = default;
};

struct order_answer
{
    std::string reply;
    // The reply is the recorded one of an earlier attempt with the same key.
    bool repeated = false;

    auto operator<=>(const order_answer&) const = default;
};

/// Ends the caller's request. Writes of the record may follow.
struct finish_order
{
    std::variant<order_answer, not_run, unknown_outcome> outcome;

    auto operator<=>(const finish_order&) const = default;
};

using order_action = std::variant<write_record, read_record, send_order, finish_order>;

struct order_request
{
    request_id attempt;
    service_name service;
    std::string key;
    std::uint64_t fingerprint = 0;
    time_point deadline;

    auto operator<=>(const order_request&) const = default;
};

/// Time for which no order is sent after a restoration of the store: every host writes the records
/// again that the store may have lost.
inline constexpr duration restored_records_wait = std::chrono::milliseconds{3000};

/// Coordinates one order request at an entry host. Not thread-safe.
///
/// If the store is restored before the call is sent, the call is not sent: the record of an earlier
/// attempt may be lost.
///
/// The caller carries out the returned actions. It answers each write_record and
/// read_record with one event, and send_order with one order_replied or order_failed,
/// also after finish_order.
class order_coordinator
{
public:
    explicit order_coordinator(order_request request);
    ~order_coordinator();
    order_coordinator(const order_coordinator&) = delete;
    order_coordinator& operator=(const order_coordinator&) = delete;

    std::vector<order_action> start(time_point now);
    std::vector<order_action> handle(const order_event& ev, time_point now);
    /// True when no further action will be returned. This may be later than
    /// finish_order, because the outcome is recorded also after the deadline.
    [[nodiscard]] bool finished() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Store key of the record: `ebonywick/orders/` and the hash of service and key in 32
/// hexadecimal digits.
[[nodiscard]] std::string order_record_key(const service_name& service, const std::string& key);

} // namespace ebonywick
