// Client of the platform's object store, which it reaches over HTTP.
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

/// The object was written at `version`.
struct put_accepted
{
    object_version version = 0;

    auto operator<=>(const put_accepted&) const = default;
};

/// The object is not at the expected version, so nothing was written. `current` is its version,
/// or 0 if it does not exist.
struct put_mismatch
{
    object_version current = 0;

    auto operator<=>(const put_mismatch&) const = default;
};

/// It is unknown whether the write took effect: no reply came, or one that leaves it open.
struct put_unconfirmed
{
    auto operator<=>(const put_unconfirmed&) const = default;
};

/// The store could not be reached or refused the request, so nothing was written.
struct put_refused
{
    std::string reason;

    auto operator<=>(const put_refused&) const = default;
};

using put_result = std::variant<put_accepted, put_mismatch, put_unconfirmed, put_refused>;

/// An entry of the platform's list of hosts, which may lag behind.
struct listed_host
{
    host_id id;
    endpoint control;
    bool leaving = false;

    auto operator<=>(const listed_host&) const = default;
};

/// All calls block until the reply or a timeout. Thread-safe; concurrent calls use separate
/// connections.
class object_store_client
{
public:
    object_store_client(endpoint address, duration timeout);
    ~object_store_client();
    object_store_client(const object_store_client&) = delete;
    object_store_client& operator=(const object_store_client&) = delete;

    /// Reads an object; an empty optional if it does not exist. Like all reads it fails with
    /// store_unavailable.
    [[nodiscard]] result<std::optional<stored_object>> get(const std::string& key);
    /// Waits up to `wait` for a version above `after`; an empty optional if there was none or the
    /// object does not exist.
    [[nodiscard]] result<std::optional<stored_object>> watch(const std::string& key,
                                                             object_version after, duration wait);
    /// Writes the object if its version is `expected`; 0 stands for an object that does not exist.
    [[nodiscard]] put_result put(const std::string& key, const std::string& content,
                                 object_version expected);
    /// Entries that cannot be parsed are left out.
    [[nodiscard]] result<std::vector<listed_host>> list_hosts();

    /// Number of epochs of the store that replies have stated, the first one included; 0 if they
    /// state none. A new epoch begins when the store is restored from an older copy: objects and
    /// versions may have gone back.
    [[nodiscard]] std::uint64_t epochs() const { return epochs_.load(); }
    /// Calls sent to the store since the start.
    [[nodiscard]] std::uint64_t call_count() const { return calls_.load(); }
    /// Aborts the calls in progress and makes later ones fail.
    void stop();

private:
    struct state;

    // Takes note of the epoch that a reply states, if any.
    void note_epoch(const std::string& epoch);

    std::atomic<std::uint64_t> calls_{0};
    std::atomic<std::uint64_t> epochs_{0};
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
