// Formatting of log records as lines of text.
#pragma once

#include "logging/logger.h"

#include <fmt/format.h>

#include <initializer_list>
#include <string_view>

namespace ebonywick {

/// Appends `time=... level=... event=...`, the fields and the line end. Values are quoted and
/// escaped so that a record always takes exactly one line.
void append_log_line(fmt::memory_buffer& buf, log_level level, std::string_view event,
                     std::initializer_list<log_field> fields);
/// Appends a record that reports `dropped` lines lost since the last such record, and `total` since
/// the start.
void append_drop_line(fmt::memory_buffer& buf, std::uint64_t dropped, std::uint64_t total);

} // namespace ebonywick
