// The list of entry hosts that one caller uses.
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

/// Fetches the list from one host at a time, refreshes it before it expires and never
/// uses an expired list. Thread-safe.
class entry_host_list
{
public:
    entry_host_list(std::vector<std::string> initial_hosts, std::string caller,
                    host_connections& connections, std::uint64_t seed);
    ~entry_host_list();
    entry_host_list(const entry_host_list&) = delete;
    entry_host_list& operator=(const entry_host_list&) = delete;

    /// Returns a random host of the list. Prefers hosts other than `avoid` that have not
    /// been reported as failed. Waits for a valid list until `until`; empty if there is none
    /// by then.
    [[nodiscard]] std::optional<std::string> pick(random_source& random, const std::string& avoid,
                                                  time_point until);
    /// Avoids the host until the list is refreshed.
    void report_failed(const std::string& host);

private:
    void refresh_loop(const std::stop_token& stop);
    bool fetch(const std::string& host);

    const std::vector<std::string> initial_hosts_;
    const std::string caller_;
    host_connections& connections_;
    random_source random_;
    std::mutex mutex_;
    std::condition_variable_any changed_;
    std::vector<std::string> hosts_;
    std::set<std::string> failed_;
    time_point fetched_at_{};
    duration validity_ = duration::zero();
    std::jthread refresh_thread_;
};

} // namespace ebonywick::load
