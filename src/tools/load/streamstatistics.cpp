// Computes the report of one stream.
#include "streamstatistics.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace ebonywick::load {

namespace {

/// `sorted`: in ascending order. Returns 0 if it is empty.
double quantile(const std::vector<double>& sorted, double q)
{
    if (sorted.empty())
        return 0.0;
    const auto rank = static_cast<std::size_t>(q * static_cast<double>(sorted.size()));
    return sorted[std::min(rank, sorted.size() - 1)];
}

} // namespace

void stream_statistics::add(const operation_result& result)
{
    const std::lock_guard lock{mutex_};
    ++sent_;
    ++outcomes_[result.outcome];
    if (!result.kind.empty())
        ++kinds_[result.kind];
    failed_connections_ += result.failed_connections;
    repeats_ += result.repeats;
    if (!result.answer_error.empty() && wrong_answers_++ == 0)
        first_answer_error_ = result.answer_error;
    if (result.outcome != "answered")
        return;
    coverage_min_ = std::min(coverage_min_, result.coverage);
    latencies_.push_back(to_milliseconds(result.latency));
}

std::string stream_statistics::report()
{
    const std::lock_guard lock{mutex_};
    std::sort(latencies_.begin(), latencies_.end());
    nlohmann::json report{{"sent", sent_},
                          {"failed_connections", failed_connections_},
                          {"repeats", repeats_},
                          {"wrong", wrong_answers_},
                          {"kinds", kinds_},
                          {"latency_ms",
                           {{"p50", quantile(latencies_, 0.5)},
                            {"p90", quantile(latencies_, 0.9)},
                            {"p99", quantile(latencies_, 0.99)},
                            {"p999", quantile(latencies_, 0.999)},
                            {"max", latencies_.empty() ? 0.0 : latencies_.back()}}}};
    for (const char* it : {"answered", "not_run", "unknown", "invalid", "connect_failed",
                           "no_reply", "cut", "timed_out", "no_host"})
        report[it] = outcomes_[it];
    report["coverage_min"] = nullptr;
    if (!latencies_.empty())
        report["coverage_min"] = coverage_min_;
    if (!first_answer_error_.empty())
        report["first_wrong"] = first_answer_error_;
    return report.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace ebonywick::load
