// Snapshot of store collections that a host offers to hosts which cannot reach the store.
#pragma once

#include "platform/storecodec.h"
#include "settings/declaration.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace ebonywick {

// On the control address of each host.
inline constexpr std::string_view snapshot_path = "/v1/state";

/// Local copies of the store collections on one host, each with its revision.
struct store_snapshot
{
    platform::collection_page configuration;
    platform::collection_page upstreams;
    platform::collection_page domains;

    auto operator<=>(const store_snapshot&) const = default;
};

/// HTTP request for the snapshot of `host`.
[[nodiscard]] std::string encode_snapshot_request(const endpoint& host);
/// HTTP answer with the snapshot as JSON body.
[[nodiscard]] std::string encode_snapshot_answer(const store_snapshot& snapshot);
/// Decodes the body of the answer; empty if it is not a snapshot.
[[nodiscard]] std::optional<store_snapshot> decode_snapshot(std::string_view body);

} // namespace ebonywick
