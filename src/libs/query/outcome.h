// Outcome of a request: answered, not run, or unknown.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/identifiers.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ebonywick {

/// Number of shards in the answer, out of all shards of the snapshot's map.
struct coverage
{
    std::uint32_t merged = 0;
    std::uint32_t total = 0;
    std::vector<shard_name> missing;

    /// From 0 to 1; 0 if there are no shards.
    [[nodiscard]] double ratio() const { return total == 0 ? 0.0 : double(merged) / total; }

    auto operator<=>(const coverage&) const = default;
};

struct answered
{
    snapshot from;
    coverage covered;
    // One serialized JSON array of hits for each merged shard.
    std::vector<std::string> hits;

    auto operator<=>(const answered&) const = default;
};

/// It is certain that no upstream ran any call of the request.
struct not_run
{
    error reason;
    // Zero: no recommendation.
    duration retry_after = duration::zero();

    auto operator<=>(const not_run&) const = default;
};

/// A call may have run, but there is no answer.
struct unknown_outcome
{
    error reason;

    auto operator<=>(const unknown_outcome&) const = default;
};

using query_outcome = std::variant<answered, not_run, unknown_outcome>;

/// Returns one line for the log, without the hits.
[[nodiscard]] std::string to_string(const query_outcome& outcome);

} // namespace ebonywick
