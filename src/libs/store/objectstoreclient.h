// Client of the platform's object store over HTTP.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/identifiers.h"
#include "settings/declaration.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ebonywick {

struct stored_object
{
    object_version version = 0;
    std::string content;

    auto operator<=>(const stored_object&) const = default;
};

struct put_accepted
{
    object_version version = 0;

    auto operator<=>(const put_accepted&) const = default;
};

/// The condition did not hold; `current` is 0 if the object does not exist.
struct put_mismatch
{
    object_version current = 0;

    auto operator<=>(const put_mismatch&) const = default;
};

/// No reply came: the write may have taken effect.
struct put_unconfirmed
{
    auto operator<=>(const put_unconfirmed&) const = default;
};

/// The store could not be reached or refused: nothing was written.
struct put_refused
{
    std::string reason;

    auto operator<=>(const put_refused&) const = default;
};

using put_result = std::variant<put_accepted, put_mismatch, put_unconfirmed, put_refused>;

/// A host in the platform's lagging list.
struct listed_host
{
    host_id id;
    endpoint control;
    bool leaving = false;

    auto operator<=>(const listed_host&) const = default;
};

/// Blocking calls, one connection for each calling thread's use. Thread-safe.
class object_store_client
{
public:
    object_store_client(endpoint address, duration timeout);
    ~object_store_client();
    object_store_client(const object_store_client&) = delete;
    object_store_client& operator=(const object_store_client&) = delete;

    /// Empty optional: no such object. Fails with store_unavailable.
    [[nodiscard]] result<std::optional<stored_object>> get(const std::string& key);
    /// Waits up to `wait` for a version above `after`; empty: nothing changed.
    [[nodiscard]] result<std::optional<stored_object>> watch(const std::string& key,
                                                             object_version after, duration wait);
    /// `expected` 0: only if the object does not exist.
    [[nodiscard]] put_result put(const std::string& key, const std::string& content,
                                 object_version expected);
    [[nodiscard]] result<std::vector<listed_host>> list_hosts();

    /// Calls made since the start.
    [[nodiscard]] std::uint64_t call_count() const { return calls_.load(); }
    /// Ends calls in progress and refuses later ones.
    void stop();

private:
    struct state;

    std::atomic<std::uint64_t> calls_{0};
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
