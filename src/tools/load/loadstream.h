// One stream of requests: its arrivals and its threads.
#pragma once

#include "base/randomsource.h"
#include "entrydirectory.h"
#include "hostconnections.h"
#include "loadoptions.h"
#include "requestlog.h"
#include "streamstatistics.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace ebonywick::load {

using directory_map = std::map<std::string, entry_directory*>;

/// Starts its threads when constructed.
class load_stream
{
public:
    /// `begin`: start of the program, from which stream_options::start counts.
    /// `directories`: one for each caller.
    load_stream(stream_options options, std::uint64_t seed, time_point begin,
                directory_map directories, host_connections& connections, request_log& log);

    /// Returns when all requests have ended.
    void join();
    [[nodiscard]] const std::string& name() const { return options_.name; }
    [[nodiscard]] std::string report() { return statistics_.report(); }

private:
    struct operation
    {
        std::string caller;
        std::string service;
        // For an order its key.
        std::string query;
        time_point intended;
    };

    /// Time of the next request; empty when the stream has ended.
    std::optional<time_point> next_arrival();
    void work(std::uint64_t seed);
    operation make_operation(time_point intended, random_source& random);
    operation_result run(const operation& todo, random_source& random);
    logged_request attempt(const operation& todo, const std::string& host, std::uint32_t repeat);

    const stream_options options_;
    const std::uint64_t seed_;
    const directory_map directories_;
    host_connections& connections_;
    request_log& log_;
    stream_statistics statistics_;
    const time_point first_counted_;
    const time_point end_;
    std::mutex mutex_;
    // Guarded by mutex_.
    random_source arrivals_;
    time_point next_;
    std::uint64_t made_ = 0;
    std::vector<std::jthread> threads_;
};

} // namespace ebonywick::load
