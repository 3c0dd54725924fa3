// Customers of one configuration, and which of them holds a key.
#pragma once

#include "customers/keydigest.h"
#include "routing/routing.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace ebonywick {

/// Holds digests, no keys. A look-up takes the same time for known and unknown keys, whatever the
/// number of keys; with 100,000 keys the table takes 6.3 MB. Immutable.
class key_table
{
public:
    static constexpr std::size_t no_customer = static_cast<std::size_t>(-1);

    key_table() = default;
    /// A key that two customers hold belongs to neither; see ambiguous_keys().
    key_table(std::span<const customer_policy> customers, const digest_secret& secret);

    /// Index of the customer that holds the key, or no_customer. `secret` is that of the
    /// constructor.
    [[nodiscard]] std::size_t find(std::string_view key, const digest_secret& secret) const;
    [[nodiscard]] std::size_t size() const { return size_; }
    /// Keys that were left out because several customers hold them.
    [[nodiscard]] std::size_t ambiguous_keys() const { return ambiguous_; }
    [[nodiscard]] std::size_t memory_bytes() const { return slots_.capacity() * sizeof(slot); }

    bool operator==(const key_table&) const = default;

private:
    struct slot
    {
        key_digest digest;
        // Index plus 1; 0 in an empty slot.
        std::uint32_t customer = 0;

        bool operator==(const slot&) const = default;
    };

    [[nodiscard]] std::size_t position(const key_digest& digest) const;

    // Open addressing with linear probing. The size is 0 or a power of two; at most half of the
    // slots are in use, so that a search always ends at an empty one.
    std::vector<slot> slots_;
    std::size_t size_ = 0;
    std::size_t ambiguous_ = 0;
};

} // namespace ebonywick
