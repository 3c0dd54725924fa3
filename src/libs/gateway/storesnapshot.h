// What a host passes on of the store's collections to other hosts.
#pragma once

#include "gateway/collectioncopy.h"
#include "peers/hostrecord.h"
#include "platform/httpcodec.h"
#include "settings/declaration.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace ebonywick {

// On the control address of each host.
inline constexpr std::string_view snapshot_path = "/v1/state";

/// Updates of the collections; nothing for a collection of which the sender has no newer state.
struct store_snapshot
{
    std::optional<collection_update> configuration;
    std::optional<collection_update> upstreams;
    std::optional<collection_update> domains;
    std::optional<collection_update> hosts;
    std::optional<collection_update> rollouts = {};

    auto operator<=>(const store_snapshot&) const = default;
};

/// HTTP request to `host` for what is newer than `known`, the revisions of the sender's copies.
[[nodiscard]] std::string encode_snapshot_request(const endpoint& host,
                                                  const applied_revisions& known);
/// Revisions in the target of such a request; 0 for those that it does not state.
[[nodiscard]] applied_revisions decode_snapshot_target(std::string_view target);
[[nodiscard]] bool is_snapshot_target(std::string_view target);
/// HTTP answer with the snapshot as JSON body.
[[nodiscard]] std::string encode_snapshot_answer(const store_snapshot& snapshot,
                                                 platform::connection_use use);
/// Decodes the body of the answer; empty if it is not a snapshot.
[[nodiscard]] std::optional<store_snapshot> decode_snapshot(std::string_view body);

} // namespace ebonywick
