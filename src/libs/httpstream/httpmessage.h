// A complete HTTP request or reply in memory, and helpers for its header fields.
#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ebonywick {

struct http_message
{
    // Set in requests only.
    std::string method;
    std::string target;
    // Set in replies only.
    int status = 0;
    // Names and values of the header fields, in the order of arrival.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    // True if the connection may carry another message after this one.
    bool keep_alive = false;

    auto operator<=>(const http_message&) const = default;

    /// Value of the first field with this name, in any case; empty if there is none.
    [[nodiscard]] std::string_view field(std::string_view name) const;
    [[nodiscard]] bool has_field(std::string_view name) const;
};

/// Memory that the message takes, in bytes.
[[nodiscard]] std::size_t held_bytes(const http_message& message);

/// Compares without regard to case.
[[nodiscard]] bool field_names_equal(std::string_view a, std::string_view b);

/// True if the field concerns a single connection and must not be forwarded. Besides the
/// standard names this holds for those that the Connection field of `message` lists.
[[nodiscard]] bool is_connection_field(std::string_view name, const http_message& message);

/// Standard reason phrase of a status code.
[[nodiscard]] std::string_view reason_phrase(int status);

/// Appends `name: value` and the line end; checks neither text.
void append_field(std::string& out, std::string_view name, std::string_view value);

} // namespace ebonywick
