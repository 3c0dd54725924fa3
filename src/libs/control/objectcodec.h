// JSON encoding of the store objects `ebonywick/config` and `ebonywick/roster`.
#pragma once

#include "base/error.h"
#include "settings/declaration.h"
#include "settings/roster.h"

#include <string>
#include <vector>

namespace ebonywick {

inline constexpr const char* config_key = "ebonywick/config";
inline constexpr const char* roster_key = "ebonywick/roster";

/// Number of change ids that an object keeps. A writer that got no reply finds its
/// change by its id.
inline constexpr std::size_t max_change_ids = 16;

struct config_object
{
    configuration config;
    // Newest first, at most max_change_ids.
    std::vector<std::string> change_ids;

    auto operator<=>(const config_object&) const = default;
};

struct roster_object
{
    roster hosts;
    std::vector<std::string> change_ids;

    auto operator<=>(const roster_object&) const = default;
};

[[nodiscard]] std::string encode(const config_object& object);
[[nodiscard]] std::string encode(const roster_object& object);
/// Fails with error_kind::invalid_declaration.
[[nodiscard]] result<config_object> decode_config(const std::string& text);
[[nodiscard]] result<roster_object> decode_roster(const std::string& text);

} // namespace ebonywick
