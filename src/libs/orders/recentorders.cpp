// Retention of records and comparison with the store.
#include "orders/recentorders.h"

#include <algorithm>

namespace ebonywick {

namespace {

std::size_t size_of(const std::string& store_key, const order_record& record)
{
    constexpr std::size_t overhead = 300;
    return overhead + 2 * store_key.size() + record.key.size() + record.outcome.size();
}

} // namespace

void recent_orders::note(const std::string& store_key, const order_record& record, time_point now)
{
    const auto found = records_.find(store_key);
    if (found != records_.end())
        bytes_ -= size_of(store_key, found->second.record);
    records_[store_key] = {record, now};
    bytes_ += size_of(store_key, record);
    order_.emplace_back(store_key, now);
    forget_old(now);
}

void recent_orders::forget_oldest()
{
    const auto [key, noted_at] = order_.front();
    order_.pop_front();
    const auto found = records_.find(key);
    if (found == records_.end() || found->second.noted_at != noted_at)
        return;
    bytes_ -= size_of(key, found->second.record);
    records_.erase(found);
}

void recent_orders::forget_old(time_point now)
{
    while (!order_.empty() && (bytes_ > max_bytes || now - order_.front().second >= retention))
        forget_oldest();
}

bool recent_orders::empty(time_point now)
{
    forget_old(now);
    return records_.empty();
}

void recent_orders::restored(time_point now)
{
    forget_old(now);
    due_.clear();
    // The newest records are the most likely to be lost.
    for (auto it = order_.rbegin(); it != order_.rend(); ++it) {
        const auto found = records_.find(it->first);
        if (found != records_.end() && found->second.noted_at == it->second)
            due_.push_back(it->first);
    }
}

void recent_orders::check(const std::string& store_key)
{
    due_.push_back(store_key);
}

std::optional<std::string> recent_orders::next_check(time_point now)
{
    forget_old(now);
    while (!due_.empty()) {
        std::string key = std::move(due_.front());
        due_.pop_front();
        if (records_.contains(key))
            return key;
    }
    return std::nullopt;
}

std::optional<write_record> recent_orders::resolve(const std::string& store_key,
                                                   const std::optional<stored_record>& stored) const
{
    const auto found = records_.find(store_key);
    if (found == records_.end())
        return std::nullopt;
    const order_record& own = found->second.record;
    // An order that did not run may be claimed again, also by another attempt.
    if (own.state == order_state::not_run && (!stored || stored->record.attempt != own.attempt))
        return std::nullopt;
    if (!stored)
        return write_record{own, 0};
    if (stored->record == own || stored->record.state == order_state::done)
        return std::nullopt;
    return write_record{own, stored->version};
}

} // namespace ebonywick
