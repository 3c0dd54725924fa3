// Names and standard remedies of the error kinds.
#include "base/error.h"

#include <utility>

namespace ebonywick {

namespace {

struct kind_description
{
    error_kind kind;
    std::string_view name;
    // See is_not_run().
    bool not_run;
    std::string_view remedy;
};

constexpr kind_description descriptions[] = {
    {error_kind::invalid_request, "invalid_request", true, "correct the request and send it again"},
    {error_kind::unknown_service, "unknown_service", true,
     "use a service name that /v1/status lists, or declare the service"},
    {error_kind::body_too_large, "body_too_large", true, "send a body of at most 1 MiB"},
    {error_kind::key_reused, "key_reused", true,
     "use a new Idempotency-Key for a different request body"},
    {error_kind::overloaded, "overloaded", true, "retry after the time in retry_after_ms"},
    {error_kind::deadline_too_short, "deadline_too_short", true,
     "send a longer X-Deadline-Ms or retry later"},
    {error_kind::configuration_unconfirmed, "configuration_unconfirmed", true,
     "use another entry host"},
    {error_kind::not_holder, "not_holder", true, "retry; the holder of the upstream is changing"},
    {error_kind::lease_lapsed, "lease_lapsed", true, "retry; the holder is renewing its lease"},
    {error_kind::upstream_leaving, "searcher_leaving", true, "retry at another replica"},
    {error_kind::upstream_unavailable, "searcher_unavailable", true, "retry at another replica"},
    {error_kind::failure_domain_out, "failure_domain_out", true,
     "retry at a replica in another failure domain"},
    {error_kind::version_not_held, "version_not_held", true,
     "ask a replica that holds the version, or restart at a newer one"},
    {error_kind::shutting_down, "shutting_down", true, "use another entry host"},
    {error_kind::no_replica, "no_replica", true,
     "retry later; operators: check the upstreams of the shard"},
    {error_kind::deadline_exceeded, "deadline_exceeded", false, "retry with a longer deadline"},
    {error_kind::coverage_unmet, "coverage_unmet", false,
     "retry later, or declare a lower least_coverage"},
    {error_kind::reply_lost, "reply_lost", false,
     "repeat the request with the same Idempotency-Key to learn its outcome"},
    {error_kind::reply_invalid, "reply_invalid", false,
     "operators: check the upstream that sent the reply"},
    {error_kind::attempt_in_progress, "attempt_in_progress", false,
     "repeat the request with the same Idempotency-Key later"},
    {error_kind::cancelled, "cancelled", false, "none needed; another attempt answered"},
    {error_kind::store_unavailable, "store_unavailable", true,
     "retry when the object store answers again"},
    {error_kind::conflict, "conflict", true,
     "fetch the current declaration, merge the change and apply it again"},
    {error_kind::not_found, "not_found", true, "create the object first"},
    {error_kind::invalid_settings, "invalid_settings", true, "correct the settings file"},
    {error_kind::invalid_declaration, "invalid_declaration", true, "correct the declaration file"},
};

const kind_description& describe(error_kind kind)
{
    for (const kind_description& it : descriptions) {
        if (it.kind == kind)
            return it;
    }
    return descriptions[0];
}

} // namespace

std::string_view to_string(error_kind kind)
{
    return describe(kind).name;
}

bool is_not_run(error_kind kind)
{
    return describe(kind).not_run;
}

error make_error(error_kind kind, std::string message)
{
    return error{kind, std::move(message), std::string{describe(kind).remedy}};
}

} // namespace ebonywick
