// Conversion of identifiers to text.
#include "base/identifiers.h"

#include <fmt/format.h>

namespace ebonywick {

std::string to_string(const request_id& id)
{
    return fmt::format("{:016x}{:016x}", id.high, id.low);
}

std::string to_string(const call_id& id)
{
    return fmt::format("{}-{}-{}", to_string(id.request), id.shard_index, id.attempt);
}

} // namespace ebonywick
