// Messages of the dispatch socket as plain structs.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/identifiers.h"
#include "query/querycoordinator.h"
#include "settings/declaration.h"

#include <compare>
#include <optional>
#include <string>
#include <variant>

namespace ebonywick {

/// A call that an entry host sends to the holder of the upstream.
struct call_request
{
    call_id id;
    service_name service;
    shard_name shard;
    upstream_id upstream;
    caller_id caller;
    snapshot wanted;
    request_class traffic = request_class::interactive;
    bool idempotent = true;
    // Time to the deadline when the message was written.
    duration remaining = duration::zero();
    // Sender's boot clock when the message was written.
    time_point sent_at{};
    std::string body;
    // The caller's key; only for a call that is not idempotent.
    std::string idempotency_key;

    auto operator<=>(const call_request&) const = default;
};

/// Result of a call, sent to the entry host.
struct call_reply
{
    call_id id;
    upstream_id upstream;
    // Empty if the upstream completed the call.
    std::optional<error_kind> failure;
    // Index version and shard map epoch that the upstream answered from.
    snapshot from;
    shard_name shard;
    // Empty if the reply does not come from the upstream's dispatcher.
    std::optional<upstream_report> report;
    // Time that the call waited in the dispatcher's queue.
    duration waited = duration::zero();
    std::string body;

    auto operator<=>(const call_reply&) const = default;
};

/// Request to stop a call whose reply is no longer needed.
struct call_cancel
{
    call_id id;
    upstream_id upstream;

    auto operator<=>(const call_cancel&) const = default;
};

using dispatch_message = std::variant<call_request, call_reply, call_cancel>;

} // namespace ebonywick
