// Counts the outcomes and collects the latencies of one stream.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace ebonywick::load {

/// Result of one operation, including all its repeats.
struct operation_result
{
    // An outcome of checked_answer, or `connect_failed`, `no_reply`, `cut`, `timed_out`
    // or `no_host`.
    std::string outcome;
    std::string kind;
    std::string answer_error;
    double coverage = 1.0;
    std::uint32_t repeats = 0;
    std::uint32_t failed_connections = 0;
    // Time from the intended start to the end.
    duration latency = duration::zero();
};

/// Thread-safe.
class stream_statistics
{
public:
    void add(const operation_result& result);
    /// Returns a JSON object.
    [[nodiscard]] std::string report();

private:
    std::mutex mutex_;
    std::uint64_t sent_ = 0;
    std::uint64_t failed_connections_ = 0;
    std::uint64_t repeats_ = 0;
    std::uint64_t wrong_answers_ = 0;
    std::string first_answer_error_;
    double coverage_min_ = 1.0;
    std::map<std::string, std::uint64_t> outcomes_;
    std::map<std::string, std::uint64_t> kinds_;
    // In milliseconds, of answered operations only: fast refusals must not hide slow
    // answers.
    std::vector<double> latencies_;
};

} // namespace ebonywick::load
