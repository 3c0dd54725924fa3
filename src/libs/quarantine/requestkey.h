// Identity of a request across hosts and repetitions.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace ebonywick {

/// Parts of a request that a repetition has in common with it. Its id, its deadline and the
/// connection differ, so they are no parts of it; neither are other header fields, which agents on
/// the way may add.
struct request_parts
{
    std::string_view method;
    std::string_view host;
    // Path and query.
    std::string_view target;
    // Customer on whose behalf the caller asks; empty if there are no customers.
    std::string_view customer;
    std::string_view body;

    auto operator<=>(const request_parts&) const = default;
};

/// Hashes that are the same on all hosts.
struct request_key
{
    // Of all parts.
    std::uint64_t request = 0;
    // Of all parts but the query and the body: requests that ask the same of a customer's resource.
    std::uint64_t resource = 0;

    auto operator<=>(const request_key&) const = default;
};

[[nodiscard]] request_key make_request_key(const request_parts& parts);

/// Text of one of the hashes, for logs.
[[nodiscard]] std::string key_text(std::uint64_t hash);

} // namespace ebonywick
