// A hash map in lock shards, so that threads that work on different keys rarely
// wait for each other.
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

/// Thread-safe; each operation takes the lock of one shard.
template <class Key, class Value, std::size_t ShardCount = 16>
class lock_sharded_map
{
public:
    /// False if the key is present already; the value is then unchanged.
    bool insert(const Key& key, Value value)
    {
        lock_shard& it = shard_of(key);
        const std::lock_guard lock{it.mutex};
        const bool inserted = it.entries.emplace(key, std::move(value)).second;
        if (inserted)
            size_.fetch_add(1, std::memory_order_relaxed);
        return inserted;
    }

    [[nodiscard]] std::optional<Value> find(const Key& key) const
    {
        const lock_shard& it = shard_of(key);
        const std::lock_guard lock{it.mutex};
        const auto found = it.entries.find(key);
        if (found == it.entries.end())
            return std::nullopt;
        return found->second;
    }

    bool erase(const Key& key)
    {
        lock_shard& it = shard_of(key);
        const std::lock_guard lock{it.mutex};
        const bool erased = it.entries.erase(key) > 0;
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
    // Sum of the shards' sizes.
    std::atomic<std::size_t> size_{0};
};

} // namespace ebonywick
