// One HTTP message in memory.
#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ebonywick {

struct http_message
{
    // Requests only.
    std::string method;
    std::string target;
    // Replies only.
    int status = 0;
    // In the order of arrival.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    // The connection may carry another message after this one.
    bool keep_alive = false;

    auto operator<=>(const http_message&) const = default;

    /// Value of the first field `name`, compared without regard to case; empty if there
    /// is none.
    [[nodiscard]] std::string_view field(std::string_view name) const;
    [[nodiscard]] bool has_field(std::string_view name) const;
};

[[nodiscard]] bool field_names_equal(std::string_view a, std::string_view b);

/// True for fields that concern one connection only and are not forwarded. `message`
/// tells which further names its Connection field lists.
[[nodiscard]] bool is_connection_field(std::string_view name, const http_message& message);

/// Standard reason phrase of a status.
[[nodiscard]] std::string_view reason_phrase(int status);

/// Appends `NAME: VALUE` and the line end.
void append_field(std::string& out, std::string_view name, std::string_view value);

} // namespace ebonywick
