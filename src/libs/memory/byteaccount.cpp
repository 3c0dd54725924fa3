// Room of the classes, and charges.
#include "memory/byteaccount.h"

#include <algorithm>
#include <utility>

namespace ebonywick::memory {

namespace {

// By byte_class. Bodies have none: they use what the others leave.
constexpr std::array<double, byte_class_count> reserved_ratios{0.1, 0.0, 0.1, 0.1, 0.1, 0.1, 0.05};

constexpr std::size_t index_of(byte_class of)
{
    return static_cast<std::size_t>(of);
}

} // namespace

std::string_view to_string(byte_class of)
{
    constexpr std::array<std::string_view, byte_class_count> names{
        "caller_headers", "caller_bodies", "forwarded_requests", "answers", "upstream_replies",
        "store_replies",  "peers"};
    return names[index_of(of)];
}

byte_budget make_byte_budget(std::uint64_t memory_bytes, double ratio)
{
    const double total = static_cast<double>(memory_bytes) * ratio;
    byte_budget out{.total = static_cast<std::uint64_t>(total)};
    for (std::size_t it = 0; it < byte_class_count; ++it)
        out.reserved[it] = static_cast<std::uint64_t>(total * reserved_ratios[it]);
    return out;
}

std::uint64_t byte_account::room(byte_class of) const
{
    std::uint64_t taken = used_[index_of(of)];
    for (std::size_t it = 0; it < byte_class_count; ++it) {
        if (it != index_of(of))
            taken += std::max(used_[it], budget_.reserved[it]);
    }
    return taken < budget_.total ? budget_.total - taken : 0;
}

std::uint64_t byte_account::used(byte_class of) const
{
    return used_[index_of(of)];
}

byte_charge::byte_charge(byte_charge&& other) noexcept
    : account_(std::move(other.account_)), of_(other.of_), size_(std::exchange(other.size_, 0))
{
}

byte_charge& byte_charge::operator=(byte_charge&& other) noexcept
{
    if (this == &other)
        return *this;
    resize(0);
    account_ = std::move(other.account_);
    of_ = other.of_;
    size_ = std::exchange(other.size_, 0);
    return *this;
}

void byte_charge::resize(std::uint64_t bytes) noexcept
{
    if (!account_)
        return;
    std::uint64_t& used = account_->used_[index_of(of_)];
    used = used - size_ + bytes;
    size_ = bytes;
}

} // namespace ebonywick::memory
