// Generates one stream of requests on threads of its own.
#pragma once

#include "base/randomsource.h"
#include "entryhostlist.h"
#include "hostconnections.h"
#include "loadoptions.h"
#include "requestrecorder.h"
#include "streamstatistics.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace ebonywick::load {

using host_list_map = std::map<std::string, entry_host_list*>;

/// The constructor starts the threads.
class load_stream
{
public:
    /// `program_start`: stream_options::start is relative to it.
    /// `host_lists`: one for each caller.
    load_stream(stream_options options, std::uint64_t seed, time_point program_start,
                host_list_map host_lists, host_connections& connections,
                request_recorder& recorder);

    /// Waits until all requests have ended.
    void join();
    [[nodiscard]] const std::string& name() const { return options_.name; }
    /// See stream_statistics::report().
    [[nodiscard]] std::string report() { return statistics_.report(); }

private:
    /// A query, or an order with all its repeats.
    struct operation
    {
        std::string caller;
        std::string service;
        // The query, or the key of an order.
        std::string query;
        // Time of arrival, from which the latency counts.
        time_point intended;
    };

    /// Time of the next arrival; empty if the stream has ended.
    std::optional<time_point> next_arrival();
    void work(std::uint64_t seed);
    operation make_operation(time_point intended, random_source& random);
    operation_result run(const operation& op, random_source& random);
    request_record attempt(const operation& op, const std::string& host, std::uint32_t repeat);

    const stream_options options_;
    const std::uint64_t seed_;
    const host_list_map host_lists_;
    host_connections& connections_;
    request_recorder& recorder_;
    stream_statistics statistics_;
    const time_point measurement_start_;
    const time_point end_;
    std::mutex mutex_;
    // The three members below are guarded by mutex_.
    random_source arrivals_;
    time_point next_;
    std::uint64_t next_number_ = 0;
    std::vector<std::jthread> threads_;
};

} // namespace ebonywick::load
