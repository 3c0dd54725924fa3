// Hash table of key digests.
#include "customers/keytable.h"

#include <bit>
#include <limits>

namespace ebonywick {

namespace {

constexpr std::uint32_t ambiguous_customer = std::numeric_limits<std::uint32_t>::max();

} // namespace

key_table::key_table(std::span<const customer_policy> customers, const digest_secret& secret)
{
    std::size_t keys = 0;
    for (const customer_policy& it : customers)
        keys += it.keys.size();
    if (keys == 0)
        return;
    slots_.resize(std::bit_ceil(keys * 2));
    for (std::size_t index = 0; index < customers.size(); ++index) {
        const auto customer = static_cast<std::uint32_t>(index + 1);
        for (const std::string& key : customers[index].keys) {
            const key_digest digest = digest_of(key, secret);
            slot& at = slots_[position(digest)];
            if (at.customer == customer || at.customer == ambiguous_customer)
                continue;
            if (at.customer == 0) {
                at = {digest, customer};
                ++size_;
                continue;
            }
            at.customer = ambiguous_customer;
            --size_;
            ++ambiguous_;
        }
    }
}

std::size_t key_table::position(const key_digest& digest) const
{
    const std::size_t mask = slots_.size() - 1;
    std::size_t at = digest.low & mask;
    while (slots_[at].customer != 0 && slots_[at].digest != digest)
        at = (at + 1) & mask;
    return at;
}

std::size_t key_table::find(std::string_view key, const digest_secret& secret) const
{
    const key_digest digest = digest_of(key, secret);
    if (slots_.empty() || key.empty())
        return no_customer;
    const std::uint32_t customer = slots_[position(digest)].customer;
    if (customer == 0 || customer == ambiguous_customer)
        return no_customer;
    return customer - 1;
}

} // namespace ebonywick
