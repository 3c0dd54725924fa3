// Record of all requests for the history checker.
#pragma once

#include "answercheck.h"
#include "base/clock.h"

#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

namespace ebonywick::load {

/// One HTTP request and its end. An order with repeats has several.
struct logged_request
{
    std::string stream;
    std::string caller;
    bool is_order = false;
    std::string service;
    std::string host;
    // The query; for an order its key.
    std::string query;
    std::uint32_t repeat = 0;
    time_point intended;
    time_point start;
    time_point end;
    int status = 0;
    checked_answer answer;
};

/// Thread-safe.
class request_log
{
public:
    /// Empty path: no record. Throws std::runtime_error if it cannot be opened.
    explicit request_log(const std::string& path);
    ~request_log();
    request_log(const request_log&) = delete;
    request_log& operator=(const request_log&) = delete;

    void add(const logged_request& request);

private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
};

} // namespace ebonywick::load
