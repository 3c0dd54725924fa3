// Validates the headers and body of a caller's request, and writes outcomes as
// JSON. Does not depend on the HTTP library.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "node/orderservice.h"
#include "node/queryservice.h"
#include "query/outcome.h"
#include "settings/declaration.h"

#include <cstddef>
#include <functional>
#include <string>
#include <variant>

namespace ebonywick {

/// Largest body of a request.
inline constexpr std::size_t max_body_bytes = std::size_t{1024} * 1024;
/// Longest value of X-Caller, in characters.
inline constexpr std::size_t max_caller_length = 128;
/// Longest time to the deadline that a caller may request.
inline constexpr std::chrono::milliseconds max_deadline{60000};

/// Returns the value of a header; empty if the header is absent.
using header_reader = std::function<std::string(const char* name)>;

/// Returns the validated request or the reason why it is refused. Absent headers
/// take their values from `config`: the service's default class and twice the
/// deadline of the preset in force.
[[nodiscard]] std::variant<caller_request, error>
read_caller_request(const request_id& id, const std::string& service, const header_reader& header,
                    const std::string& body, const configuration& config, time_point now);

/// Status code and body of a response.
struct http_reply
{
    int status = 200;
    std::string body;

    auto operator<=>(const http_reply&) const = default;
};

[[nodiscard]] http_reply write_outcome(const request_id& id, const query_outcome& outcome);
[[nodiscard]] http_reply write_outcome(const request_id& id, const order_outcome& outcome);
[[nodiscard]] http_reply write_refusal(const request_id& id, const not_run& refusal);

} // namespace ebonywick
