// Strict single-pass validation of an upstream's reply. No tree is built, because
// hits are large and only passed on.
#pragma once

#include "base/identifiers.h"
#include "dispatch/upstreamdispatcher.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonywick {

/// Known top-level members of a reply; `hits` points into the scanned text.
struct reply_fields
{
    std::optional<index_version> version;
    std::optional<shard_map_epoch> epoch;
    std::optional<std::string> shard;
    std::vector<index_version> versions;
    reported_state state = reported_state::unknown;
    std::uint64_t boot_id = 0;
    std::uint32_t load = 0;
    // Serialized array; empty if the member is absent or not an array.
    std::string_view hits;
    bool not_run = false;
    bool cancelled = false;

    auto operator<=>(const reply_fields&) const = default;
};

/// Empty unless `text` is exactly one JSON object in valid UTF-8, nested at most
/// 64 deep, whose known members have the expected types.
[[nodiscard]] std::optional<reply_fields> scan_reply(std::string_view text);

} // namespace ebonywick
