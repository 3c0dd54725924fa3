// Account of the bytes that a process holds for others, by class of work. Each class has room
// reserved, so that no other class can take all of the budget.
#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ebonywick::memory {

enum class byte_class : std::uint8_t {
    // Heads of requests and the first bytes of their bodies.
    caller_headers,
    // The rest of the bodies that are being read.
    caller_bodies,
    // Complete requests, until they are answered.
    forwarded_requests,
    // What callers have not read of their answers.
    answers,
    upstream_replies,
    store_replies,
    peers,
};

inline constexpr std::size_t byte_class_count = 7;

/// The classes that the gateway charges so far.
inline constexpr std::array charged_classes{byte_class::caller_headers, byte_class::caller_bodies,
                                            byte_class::forwarded_requests, byte_class::answers};

[[nodiscard]] std::string_view to_string(byte_class of);

struct byte_budget
{
    std::uint64_t total = 0;
    // Part of the total that only this class may use.
    std::array<std::uint64_t, byte_class_count> reserved{};

    auto operator<=>(const byte_budget&) const = default;
};

/// The budget of a process that may use `memory_bytes`, of which `ratio` is for others.
[[nodiscard]] byte_budget make_byte_budget(std::uint64_t memory_bytes, double ratio);

/// Owned by its charges as well, because connections may outlive their server. Not thread-safe.
class byte_account : public boost::intrusive_ref_counter<byte_account, boost::thread_unsafe_counter>
{
public:
    explicit byte_account(const byte_budget& budget) : budget_(budget) {}

    /// Bytes that the class may take further. Charges beyond it are counted all the same: who
    /// reads or accepts more asks before.
    [[nodiscard]] std::uint64_t room(byte_class of) const;
    [[nodiscard]] std::uint64_t used(byte_class of) const;
    [[nodiscard]] const byte_budget& budget() const { return budget_; }

private:
    friend class byte_charge;

    byte_budget budget_;
    std::array<std::uint64_t, byte_class_count> used_{};
};

using byte_account_pointer = boost::intrusive_ptr<byte_account>;

/// Bytes of one owner in the account; the destructor returns them.
class byte_charge
{
public:
    byte_charge(byte_account_pointer account, byte_class of) : account_(std::move(account)), of_(of)
    {
    }
    ~byte_charge() { resize(0); }
    byte_charge(byte_charge&& other) noexcept;
    byte_charge& operator=(byte_charge&& other) noexcept;
    byte_charge(const byte_charge&) = delete;
    byte_charge& operator=(const byte_charge&) = delete;

    /// Without effect on a charge that was moved from.
    void resize(std::uint64_t bytes) noexcept;
    [[nodiscard]] std::uint64_t size() const { return size_; }

private:
    // Null after a move.
    byte_account_pointer account_;
    byte_class of_;
    std::uint64_t size_ = 0;
};

} // namespace ebonywick::memory
