// A hash map divided into shards with a mutex each, so that threads that access different keys
// rarely wait for each other.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace ebonywick {

/// Thread-safe. Operations on a key lock the shard of the key only; size() locks nothing and
/// may not include operations in progress.
template <class Key, class Value, std::size_t ShardCount = 16>
class lock_sharded_map
{
public:
    /// False if the key exists already; its value is not changed then.
    bool insert(const Key& key, Value value)
    {
        lock_shard& shard = shard_of(key);
        const std::lock_guard lock{shard.mutex};
        const bool inserted = shard.entries.emplace(key, std::move(value)).second;
        if (inserted)
            size_.fetch_add(1, std::memory_order_relaxed);
        return inserted;
    }

    /// A copy of the value, or empty if the key does not exist.
    [[nodiscard]] std::optional<Value> find(const Key& key) const
    {
        const lock_shard& shard = shard_of(key);
        const std::lock_guard lock{shard.mutex};
        const auto found = shard.entries.find(key);
        if (found == shard.entries.end())
            return std::nullopt;
        return found->second;
    }

    /// False if the key does not exist.
    bool erase(const Key& key)
    {
        lock_shard& shard = shard_of(key);
        const std::lock_guard lock{shard.mutex};
        const bool erased = shard.entries.erase(key) > 0;
        if (erased)
            size_.fetch_sub(1, std::memory_order_relaxed);
        return erased;
    }

    [[nodiscard]] std::size_t size() const { return size_.load(std::memory_order_relaxed); }

private:
    struct lock_shard
    {
        mutable std::mutex mutex;
        // Guarded by mutex.
        std::unordered_map<Key, Value> entries;
    };

    [[nodiscard]] const lock_shard& shard_of(const Key& key) const
    {
        return shards_[std::hash<Key>{}(key) % ShardCount];
    }
    [[nodiscard]] lock_shard& shard_of(const Key& key)
    {
        return shards_[std::hash<Key>{}(key) % ShardCount];
    }

    std::array<lock_shard, ShardCount> shards_;
    // Total number of entries of all shards.
    std::atomic<std::size_t> size_{0};
};

} // namespace ebonywick
