// The list of entry hosts as one caller keeps it.
#pragma once

#include "base/clock.h"
#include "base/randomsource.h"
#include "hostconnections.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace ebonywick::load {

/// Asks one host at a time for the list, renews it before it expires and never
/// uses an expired one. Thread-safe.
class entry_directory
{
public:
    entry_directory(std::vector<std::string> seeds, std::string caller,
                    host_connections& connections, std::uint64_t seed);
    ~entry_directory();
    entry_directory(const entry_directory&) = delete;
    entry_directory& operator=(const entry_directory&) = delete;

    /// A random host of the list other than `avoid` and those that failed, as
    /// long as another is left. Waits for a list until `until`; empty: none came.
    [[nodiscard]] std::optional<std::string> pick(random_source& random, const std::string& avoid,
                                                  time_point until);
    /// Keeps the host out of use until the list is renewed.
    void report_failed(const std::string& host);

private:
    void renew(const std::stop_token& stopped);
    bool fetch(const std::string& host);

    const std::vector<std::string> seeds_;
    const std::string caller_;
    host_connections& connections_;
    random_source random_;
    std::mutex mutex_;
    std::condition_variable_any changed_;
    std::vector<std::string> hosts_;
    std::set<std::string> failed_;
    time_point fetched_{};
    duration validity_ = duration::zero();
    std::jthread renewer_;
};

} // namespace ebonywick::load
