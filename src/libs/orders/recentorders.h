// Records of recent orders, to be written again after a restoration of the store.
#pragma once

#include "base/clock.h"
#include "orders/ordercoordinator.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace ebonywick {

/// Remembers the records that this host has written lately. A store that is restored from an older
/// copy loses some of them, and an order with the same key would run once more.
///
/// A copy is some seconds old, so records are remembered for `retention`. Not thread-safe.
class recent_orders
{
public:
    static constexpr duration retention = std::chrono::seconds{120};
    /// Bounds the memory; the oldest records are forgotten first.
    static constexpr std::size_t max_bytes = 8U << 20U;

    /// The record was, or is about to be, written under the store key.
    void note(const std::string& store_key, const order_record& record, time_point now);
    /// All records are to be compared with the store, the newest ones first.
    void restored(time_point now);
    /// The record is to be compared with the store.
    void check(const std::string& store_key);
    /// Store key of a record that is to be compared; empty if there is none.
    [[nodiscard]] std::optional<std::string> next_check(time_point now);
    /// What to write if the store has `stored` under the key; nothing if that is right. An order
    /// that is done stays so, whoever has run it.
    [[nodiscard]] std::optional<write_record>
    resolve(const std::string& store_key, const std::optional<stored_record>& stored) const;
    [[nodiscard]] bool empty(time_point now);

private:
    struct kept_record
    {
        order_record record;
        time_point noted_at{};
    };

    void forget_old(time_point now);
    void forget_oldest();

    std::map<std::string, kept_record> records_;
    // Keys of records_ and when they were noted, oldest first; a key that was noted again has a
    // further element.
    std::deque<std::pair<std::string, time_point>> order_;
    std::deque<std::string> due_;
    std::size_t bytes_ = 0;
};

} // namespace ebonywick
