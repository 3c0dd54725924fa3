// Hashes of the parts of a request, each seeded with the hash of the part before it.
#include "quarantine/requestkey.h"

#include "base/hashing.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>

namespace ebonywick {

request_key make_request_key(const request_parts& parts)
{
    // Names of hosts are compared without regard to case.
    std::string host{parts.host};
    std::transform(host.begin(), host.end(), host.begin(),
                   [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    const std::size_t query = std::min(parts.target.find('?'), parts.target.size());
    std::uint64_t resource = stable_hash(parts.method);
    for (const std::string_view it :
         {std::string_view{host}, parts.customer, parts.target.substr(0, query)})
        resource = stable_hash(it, resource);
    const std::uint64_t with_query = stable_hash(parts.target.substr(query), resource);
    return {stable_hash(parts.body, with_query), resource};
}

std::string key_text(std::uint64_t hash)
{
    return fmt::format("{:016x}", hash);
}

} // namespace ebonywick
