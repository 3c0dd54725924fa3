// Keyed digests of customers' keys, so that neither the table of keys nor its comparisons hold a
// key.
#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace ebonywick {

/// Secret of a process, drawn at random at its start.
struct digest_secret
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;

    auto operator<=>(const digest_secret&) const = default;
};

/// 128 bits. Who does not know the secret can neither foresee a digest nor choose texts whose
/// digests share their first bits, so the time of a comparison tells nothing of the key.
struct key_digest
{
    std::uint64_t low = 0;
    std::uint64_t high = 0;

    auto operator<=>(const key_digest&) const = default;
};

/// SipHash-2-4 of `text`.
[[nodiscard]] std::uint64_t siphash(std::string_view text, const digest_secret& secret);

/// Two values of SipHash-2-4 under secrets derived from `secret`.
[[nodiscard]] key_digest digest_of(std::string_view key, const digest_secret& secret);

} // namespace ebonywick
