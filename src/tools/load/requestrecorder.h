// Records all requests for the history checker.
#pragma once

#include "answercheck.h"
#include "base/clock.h"

#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

namespace ebonywick::load {

/// One HTTP request and its result. An order with repeats has several.
struct request_record
{
    std::string stream;
    std::string caller;
    bool is_order = false;
    std::string service;
    std::string host;
    // The query, or the key of an order.
    std::string query;
    // 0 for the first request of an order.
    std::uint32_t repeat = 0;
    time_point intended;
    time_point start;
    time_point end;
    // HTTP status; 0: no response.
    int status = 0;
    checked_answer answer;
};

/// Thread-safe.
class request_recorder
{
public:
    /// Records nothing if `path` is empty. Throws std::runtime_error if the file can't be
    /// opened.
    explicit request_recorder(const std::string& path);
    ~request_recorder();
    request_recorder(const request_recorder&) = delete;
    request_recorder& operator=(const request_recorder&) = delete;

    void add(const request_record& request);

private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
};

} // namespace ebonywick::load
