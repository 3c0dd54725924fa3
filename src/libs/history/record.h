// Events of a run as the history checker reads them; docs/history-format.md
// describes the fields.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ebonywick::history {

/// CLOCK_BOOTTIME in nanoseconds.
using timestamp = std::int64_t;

/// One HTTP request of a caller to an entry host.
struct caller_request
{
    timestamp start = 0;
    std::string host;
    std::string service;
    std::string outcome;
    // HTTP status; 0: no response.
    int status = 0;
    std::string id;
    // Idempotency key; set for orders only.
    std::string key;
    std::uint64_t version = 0;
    // Numbers of shards in the reported coverage.
    std::uint64_t merged = 0;
    std::uint64_t total = 0;
    std::uint64_t missing = 0;
    std::vector<std::uint64_t> hit_versions;
    std::string reply;
    // What the load tool found wrong with the answer; empty if nothing.
    std::string answer_error;

    auto operator<=>(const caller_request&) const = default;
};

/// Start of a call at an upstream. Call ids are REQUEST-SHARD-ATTEMPT.
struct call_start
{
    std::string upstream;
    std::string call;
    std::uint64_t version = 0;
    bool cold = false;
    // Running calls, including this one, as counted by the upstream; 0: not recorded.
    std::uint64_t concurrent = 0;

    auto operator<=>(const call_start&) const = default;
};

struct call_end
{
    std::string upstream;
    std::string call;
    std::uint64_t version = 0;
    bool completed = false;

    auto operator<=>(const call_end&) const = default;
};

/// Execution of an order by an upstream.
struct order_run
{
    std::string upstream;
    std::string call;
    std::string key;

    auto operator<=>(const order_run&) const = default;
};

/// Conditional write of an object in the store.
struct store_write
{
    std::string key;
    std::uint64_t version = 0;
    bool accepted = false;

    auto operator<=>(const store_write&) const = default;
};

struct upstream_declared
{
    std::string upstream;
    std::string failure_domain;
    std::uint64_t cold_concurrency = 1;

    auto operator<=>(const upstream_declared&) const = default;
};

/// Most calls that an upstream ran at once while it was cold.
struct cold_peak
{
    std::string upstream;
    std::uint64_t concurrent = 0;

    auto operator<=>(const cold_peak&) const = default;
};

/// An upstream starts to leave, or returns.
struct upstream_leaving_change
{
    std::string upstream;
    bool leaving = false;

    auto operator<=>(const upstream_leaving_change&) const = default;
};

/// A failure domain is taken out, or returns.
struct domain_out_change
{
    std::string failure_domain;
    bool out = false;

    auto operator<=>(const domain_out_change&) const = default;
};

enum class change_result { accepted, conflict, unknown };

/// Configuration change by an operator, with the result that was reported to the operator.
struct operator_change
{
    change_result result = change_result::unknown;
    // A stored version that contains the change; after a lost reply it may be a
    // later one than the change's own.
    std::optional<std::uint64_t> version;
    // Time at which the operator started the change.
    timestamp start = 0;

    auto operator<=>(const operator_change&) const = default;
};

struct host_status
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t config_version = 0;
    bool current = false;

    auto operator<=>(const host_status&) const = default;
};

enum class host_event_kind { start, leave, end };

struct host_event
{
    std::string host;
    host_event_kind kind = host_event_kind::start;
    int exit_code = 0;

    auto operator<=>(const host_event&) const = default;
};

using record_body = std::variant<caller_request, call_start, call_end, order_run, store_write,
                                 upstream_declared, cold_peak, upstream_leaving_change,
                                 domain_out_change, operator_change, host_status, host_event>;

struct record
{
    // End of a request; 0 for declarations.
    timestamp time = 0;
    record_body body;
    // The line as read, and its location as FILE:LINE.
    std::string text;
    std::string source;

    auto operator<=>(const record&) const = default;
};

} // namespace ebonywick::history
