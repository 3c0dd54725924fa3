// Error kinds and the error type. Each error has a remedy: what the reader can do about it.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

#include <compare>
#include <string>
#include <string_view>

namespace ebonywick {

namespace leaf = boost::leaf;

enum class error_kind {
    // The request is invalid and was not run.
    invalid_request,
    unknown_service,
    body_too_large,
    key_reused,
    // The request is valid but was not run.
    overloaded,
    deadline_too_short,
    configuration_unconfirmed,
    not_holder,
    lease_lapsed,
    upstream_leaving,
    upstream_unavailable,
    failure_domain_out,
    version_not_held,
    shutting_down,
    no_replica,
    // The request, or a part of it, may have run.
    deadline_exceeded,
    coverage_unmet,
    reply_lost,
    reply_invalid,
    attempt_in_progress,
    cancelled,
    // Reading or changing settings, declarations and store objects failed.
    store_unavailable,
    conflict,
    not_found,
    invalid_settings,
    invalid_declaration,
};

/// Name of the kind in replies and logs. Names are part of the interface and must not change.
[[nodiscard]] std::string_view to_string(error_kind kind);

/// True if errors of this kind guarantee that no upstream ran the call.
[[nodiscard]] bool is_not_run(error_kind kind);

/// A failure with a description of its cause and of what to do about it.
struct error
{
    error_kind kind = error_kind::invalid_request;
    std::string message;
    std::string remedy;

    auto operator<=>(const error&) const = default;
};

/// An error with the standard remedy of its kind.
[[nodiscard]] error make_error(error_kind kind, std::string message);

template <class T>
using result = leaf::result<T>;

} // namespace ebonywick
