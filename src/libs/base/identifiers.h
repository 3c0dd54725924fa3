// Identifiers shared by all libraries. Names are distinct types, so that the id of a host
// cannot be passed where the id of an upstream is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace ebonywick {

/// The name of one kind of object. `Tag` only makes the types distinct.
template <class Tag>
class name_id
{
public:
    name_id() = default;
    explicit name_id(std::string value) : value_(std::move(value)) {}

    [[nodiscard]] const std::string& value() const { return value_; }
    [[nodiscard]] bool empty() const { return value_.empty(); }

    auto operator<=>(const name_id&) const = default;

private:
    std::string value_;
};

using host_id = name_id<struct host_tag>;
using upstream_id = name_id<struct upstream_tag>;
using service_name = name_id<struct service_tag>;
using shard_name = name_id<struct shard_tag>;
using failure_domain_id = name_id<struct failure_domain_tag>;
using caller_id = name_id<struct caller_tag>;
using preset_name = name_id<struct preset_tag>;

/// Id of a request: 128 random bits, so that an id is practically never used twice.
struct request_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const request_id&) const = default;
};

/// Id of one attempt to call one shard for a request.
struct call_id
{
    request_id request;
    std::uint32_t shard_index = 0;
    std::uint32_t attempt = 0;

    auto operator<=>(const call_id&) const = default;
};

/// Version of an upstream's index. 0 in a call requests the newest version.
using index_version = std::uint64_t;
/// Number of a service's shard map; increases with each repartition.
using shard_map_epoch = std::uint64_t;
/// Version that the object store assigned to an object. 0: no version is known.
using object_version = std::uint64_t;
/// Distinguishes the processes that use one host id in turn; a later start has a larger value.
using incarnation_number = std::uint64_t;

/// An index version together with the shard map that it was built for.
struct snapshot
{
    index_version version = 0;
    shard_map_epoch epoch = 0;

    auto operator<=>(const snapshot&) const = default;
};

/// Lower-case hexadecimal form, 32 digits.
[[nodiscard]] std::string to_string(const request_id& id);
/// `REQUEST-SHARD-ATTEMPT`, as sent in the `X-Call-Id` header.
[[nodiscard]] std::string to_string(const call_id& id);

} // namespace ebonywick

template <class Tag>
struct std::hash<ebonywick::name_id<Tag>>
{
    std::size_t operator()(const ebonywick::name_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};

template <>
struct std::hash<ebonywick::request_id>
{
    // The bits of the id are random, so no further hashing is needed.
    std::size_t operator()(const ebonywick::request_id& id) const noexcept { return id.low; }
};

template <>
struct std::hash<ebonywick::call_id>
{
    std::size_t operator()(const ebonywick::call_id& id) const noexcept
    {
        return id.request.low ^ (std::size_t{id.shard_index} << 32U) ^ id.attempt;
    }
};
