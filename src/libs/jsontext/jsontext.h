// Reads JSON text from outside of the system, of which any part may be invalid.
//
// The library's parser rejects a whole text for one invalid value in it, and its other functions
// recurse. So a text that holds the values of many writers is first split by its brackets, and each
// value is then parsed by itself within a bounded depth.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace ebonywick {

/// Deepest nesting of arrays and objects that is parsed. What the system and its operators write
/// has fewer than ten levels.
inline constexpr std::size_t max_json_depth = 64;

/// A member of an object, as written.
struct json_member
{
    // Without the quotation marks; escapes are not decoded.
    std::string_view key;
    std::string_view value;

    auto operator<=>(const json_member&) const = default;
};

/// Split an array or object into its elements or members, which are not checked. Nothing if `text`
/// is of another kind or its brackets or quotation marks do not match.
[[nodiscard]] std::optional<std::vector<std::string_view>> split_json_array(std::string_view text);
[[nodiscard]] std::optional<std::vector<json_member>> split_json_object(std::string_view text);

/// The value with which `text` begins, after whitespace; nothing if it does not end within `text`.
[[nodiscard]] std::optional<std::string_view> leading_json_value(std::string_view text);

/// Value of the first member with this key; empty if there is none.
[[nodiscard]] std::string_view find_json_member(const std::vector<json_member>& members,
                                                std::string_view key);

/// Parses a value of any size and nesting without recursion. Throws std::invalid_argument with a
/// short reason if it is invalid or too deep.
[[nodiscard]] nlohmann::json parse_json(std::string_view text);
/// Throws like parse_json(), but does not build the value, so it needs little memory.
void check_json(std::string_view text);

} // namespace ebonywick
