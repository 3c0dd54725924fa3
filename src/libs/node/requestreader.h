// Reads and checks the headers and body of a caller's request, and writes the
// JSON forms of outcomes. Knows nothing of the HTTP library.
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

inline constexpr std::size_t largest_body_bytes = std::size_t{1024} * 1024;
inline constexpr std::size_t longest_name = 128;
/// Longest deadline that a caller may ask for.
inline constexpr std::chrono::milliseconds longest_deadline{60000};

/// Value of a header, empty if it is absent.
using header_reader = std::function<std::string(const char* name)>;

/// A checked request or the reason why it was refused.
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
