// At-most-once decisions for one non-idempotent request at one entry host.
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

enum class order_state { started, done, not_run };

/// Content of the store object `ebonywick/orders/HASH`.
struct order_record
{
    service_name service;
    std::string key;
    // Of the attempt that may send the call.
    request_id attempt;
    // Hash of the body, so that a key is not used for two requests.
    std::uint64_t fingerprint = 0;
    order_state state = order_state::started;
    // The upstream's reply; only when done.
    std::string outcome;

    auto operator<=>(const order_record&) const = default;
};

struct stored_record
{
    order_record record;
    object_version version = 0;

    auto operator<=>(const stored_record&) const = default;
};

enum class write_result {
    accepted,
    // The version that was expected is not the current one.
    mismatch,
    // No reply: the write may have taken effect.
    lost,
    // The store refused or could not be reached; nothing was written.
    refused,
};

struct record_written
{
    write_result status = write_result::accepted;
    object_version version = 0;

    auto operator<=>(const record_written&) const = default;
};

struct record_read
{
    // False: the store did not answer.
    bool answered = false;
    // Empty: no such record.
    std::optional<stored_record> found;

    auto operator<=>(const record_read&) const = default;
};

struct order_replied
{
    std::string reply;

    auto operator<=>(const order_replied&) const = default;
};

struct order_failed
{
    error reason;

    auto operator<=>(const order_failed&) const = default;
};

struct order_deadline
{
    auto operator<=>(const order_deadline&) const = default;
};

using order_event =
    std::variant<record_written, record_read, order_replied, order_failed, order_deadline>;

/// Creates (`expected` 0) or updates the record by conditional write.
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

/// Sends the call to an upstream; comes at most once.
struct send_order
{
    auto operator<=>(const send_order&) const = default;
};

struct order_answer
{
    std::string reply;
    // True: the outcome of an earlier attempt with the same key.
    bool repeated = false;

    auto operator<=>(const order_answer&) const = default;
};

/// The request has ended. A write_record that follows still records the outcome.
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

/// Not thread-safe; one for each order request at an entry host. Each
/// write_record and read_record is answered by one event, and send_order by one
/// order_replied or order_failed, also after finish_order.
class order_coordinator
{
public:
    explicit order_coordinator(order_request plan);
    ~order_coordinator();
    order_coordinator(const order_coordinator&) = delete;
    order_coordinator& operator=(const order_coordinator&) = delete;

    std::vector<order_action> start(time_point now);
    std::vector<order_action> handle(const order_event& ev, time_point now);
    /// True when no further action will come. The outcome of a call whose deadline
    /// has passed is still recorded, so this may be later than finish_order.
    [[nodiscard]] bool finished() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Store key of the record: `ebonywick/orders/` and 32 hexadecimal digits.
[[nodiscard]] std::string order_record_key(const service_name& service, const std::string& key);

} // namespace ebonywick
