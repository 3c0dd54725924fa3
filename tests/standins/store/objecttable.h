// Objects, faults and counts of the object store stand-in.
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
    // Calls that hung take effect when the outage ends; otherwise they are cut.
    bool late_effect = false;
    duration slow = duration::zero();
    // Share of the writes under the prefix that take effect without a reply.
    double lose_replies = 0.0;
    std::string lose_prefix;
    // Share of the reads that return the version before the current one.
    double stale_reads = 0.0;
};

/// Thread-safe; calls block as the faults demand.
class object_table
{
public:
    /// `record_path` empty: no record. Throws std::runtime_error if it cannot be
    /// opened.
    explicit object_table(const std::string& record_path);
    ~object_table();
    object_table(const object_table&) = delete;
    object_table& operator=(const object_table&) = delete;

    /// Serves /objects/...; empty: no reply.
    std::optional<http_reply> serve(const http_request& request);

    [[nodiscard]] fault_settings faults();
    void set_faults(const fault_settings& faults);
    void seed(std::uint64_t value);
    void reset_stats();
    [[nodiscard]] std::string stats();

private:
    struct revision
    {
        object_version version = 0;
        std::string content;
    };
    struct history
    {
        revision current;
        // Version 0: the object did not exist before.
        revision previous;
    };
    struct counts
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t watches = 0;
    };

    /// Waits out an outage and the delay of a slow store. False: cut the call.
    bool pass_faults(std::unique_lock<std::mutex>& lock);
    std::optional<http_reply> read(const std::string& key);
    std::optional<http_reply> watch(const std::string& key, const http_request& request,
                                    std::unique_lock<std::mutex>& lock);
    std::optional<http_reply> write(const std::string& key, const http_request& request);
    void record(const std::string& key, object_version version, const char* result);
    counts& current_second();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, history> objects_;
    object_version last_version_ = 0;
    fault_settings faults_;
    // Grows with each change of the outage mode.
    std::uint64_t outage_number_ = 0;
    random_source random_{1};
    time_point stats_start_ = boot_clock::now();
    std::map<std::int64_t, counts> seconds_;
    std::uint64_t pending_watches_ = 0;
    std::uint64_t lost_replies_ = 0;
    std::uint64_t stale_replies_ = 0;
    std::FILE* record_ = nullptr;
};

} // namespace ebonywick::standin
