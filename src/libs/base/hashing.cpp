// Hash functions based on XXH3.
#include "base/hashing.h"

#include <xxhash.h>

namespace ebonywick {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate)
{
    return stable_hash(candidate, stable_hash(key));
}

} // namespace ebonywick
