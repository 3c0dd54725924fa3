// Reads one line of a record file; converts the lines of the load tool and of
// the stand-ins.
#pragma once

#include "history/record.h"

#include <compare>
#include <string>
#include <variant>

namespace ebonywick::history {

enum class line_problem {
    not_json,
    unknown_kind,
    missing_field,
    wrong_type,
    unknown_value,
};

struct line_error
{
    line_problem problem = line_problem::not_json;
    std::string source;
    // The field, kind or value in question.
    std::string detail;

    auto operator<=>(const line_error&) const = default;
};

/// `source` is `FILE:LINE`, for messages.
[[nodiscard]] std::variant<record, line_error> read_line(const std::string& text,
                                                         const std::string& source);
[[nodiscard]] std::string to_string(const line_error& problem);

} // namespace ebonywick::history
