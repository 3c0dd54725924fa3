// Hash functions that give the same results on all hosts.
#pragma once

#include <cstdint>
#include <string_view>

namespace ebonywick {

/// 64-bit XXH3 hash, with the same result on all hosts.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Weight of `candidate` for `key` in rendezvous hashing; the candidate with the largest weight
/// is selected.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

} // namespace ebonywick
