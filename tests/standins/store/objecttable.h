// Holds the objects, faults and operation counts of the object store stand-in.
#pragma once

#include "httplistener.h"

#include "base/clock.h"
#include "base/identifiers.h"
#include "base/randomsource.h"

#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace ebonywick::standin {

enum class outage_mode { none, refuse, hang };

struct fault_settings
{
    outage_mode outage = outage_mode::none;
    // Requests that hang take effect when the outage ends; if false, their connections are
    // closed then.
    bool late_effect = false;
    // Delay of every request.
    duration delay = duration::zero();
    // Share (0 to 1) of the writes under the prefix that are executed but get no reply.
    double lost_reply_share = 0.0;
    std::string lost_reply_prefix;
    // Share (0 to 1) of the reads that return the version before the current one.
    double stale_read_share = 0.0;
};

/// Thread-safe. serve() blocks during watches and as long as the faults delay the request.
class object_table
{
public:
    /// Records the writes to `record_path` unless it is empty. Throws std::runtime_error if
    /// the file can't be opened.
    explicit object_table(const std::string& record_path);
    ~object_table();
    object_table(const object_table&) = delete;
    object_table& operator=(const object_table&) = delete;

    /// Keeps a copy of all objects for restore().
    void keep_copy();
    /// Returns to the kept copy, as after a restart from a backup: versions go back and are given
    /// out again, and a new epoch begins. Without a copy, all objects are gone.
    void restore();

    /// Serves /objects/...; empty if the connection must be closed without a reply.
    std::optional<http_reply> serve(const http_request& request);

    [[nodiscard]] fault_settings faults();
    void set_faults(const fault_settings& faults);
    /// Seeds the random choice of lost replies and stale reads.
    void seed(std::uint64_t value);
    void reset_stats();
    /// Returns a JSON object.
    [[nodiscard]] std::string stats();

private:
    struct revision
    {
        object_version version = 0;
        std::string content;
    };
    struct stored_object
    {
        revision current;
        // Has version 0 if the object did not exist before.
        revision previous;
    };
    struct operation_counts
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t watches = 0;
    };

    /// Waits until the outage ends and for the delay of a slow store. Returns false if the
    /// connection must be closed without a reply.
    bool apply_faults(std::unique_lock<std::mutex>& lock);
    std::optional<http_reply> serve_object(const std::string& key, const http_request& request,
                                           std::unique_lock<std::mutex>& lock);
    std::optional<http_reply> read(const std::string& key);
    std::optional<http_reply> watch(const std::string& key, const http_request& request,
                                    std::unique_lock<std::mutex>& lock);
    std::optional<http_reply> write(const std::string& key, const http_request& request);
    void write_record(const std::string& key, object_version version, const char* result);
    operation_counts& counts_of_current_second();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, stored_object> objects_;
    object_version last_version_ = 0;
    std::map<std::string, stored_object> copied_objects_;
    object_version copied_version_ = 0;
    // Stated in all replies; differs between any two processes and changes with restore().
    std::uint64_t epoch_ = static_cast<std::uint64_t>(
        std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds{1});
    fault_settings faults_;
    // Incremented with each change of the outage mode.
    std::uint64_t outage_number_ = 0;
    random_source random_{1};
    time_point stats_start_ = boot_clock::now();
    // The key is in seconds since stats_start_.
    std::map<std::int64_t, operation_counts> counts_by_second_;
    std::uint64_t pending_watches_ = 0;
    std::uint64_t lost_replies_ = 0;
    std::uint64_t stale_replies_ = 0;
    std::FILE* record_file_ = nullptr;
};

} // namespace ebonywick::standin
