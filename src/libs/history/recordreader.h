// Parses one line of a record file, as the load tool, the stand-ins and the scripts
// write them.
#pragma once

#include "history/record.h"

#include <compare>
#include <string>
#include <variant>

namespace ebonywick::history {

enum class line_error_kind {
    not_json,
    unknown_kind,
    missing_field,
    wrong_type,
    unknown_value,
};

struct line_error
{
    line_error_kind kind = line_error_kind::not_json;
    std::string source;
    // The offending field, kind or value, or the begin of a line that is not JSON.
    std::string detail;

    auto operator<=>(const line_error&) const = default;
};

/// `source`: location of the line as FILE:LINE, for messages.
[[nodiscard]] std::variant<record, line_error> read_line(const std::string& text,
                                                         const std::string& source);
[[nodiscard]] std::string to_string(const line_error& error);

} // namespace ebonywick::history
