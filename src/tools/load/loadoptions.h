// Command-line options of ebonywick-load.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ebonywick::load {

struct stream_options
{
    std::string name = "main";
    // Arrivals per second; 0: closed loop.
    double rate = 0.0;
    // Concurrent requests, each on a thread of its own.
    std::uint32_t connections = 64;
    std::string request_class;
    std::vector<std::string> services;
    std::vector<std::string> callers;
    // Sent as X-Deadline-Ms unless zero.
    duration deadline = duration::zero();
    bool orders = false;
    // Distinct keys that orders draw from; 0: each order has its own.
    std::uint64_t keys = 0;
    // Times that an order with unknown outcome is repeated.
    std::uint32_t repeats = 3;
    duration repeat_pause = std::chrono::milliseconds{100};
    // Time from the start of the program to the first request.
    duration start = duration::zero();
    // Requests whose intended start is within the warm-up are sent but not counted.
    duration warmup = duration::zero();
    // Time after the warm-up over which requests are counted.
    duration measured_time = std::chrono::seconds{10};
};

struct load_options
{
    // Entry hosts to fetch the host list from, as IP:PORT.
    std::vector<std::string> hosts;
    std::vector<stream_options> streams;
    std::string record_path;
    std::uint64_t seed = 1;
};

/// Throws std::runtime_error that names the invalid option.
[[nodiscard]] load_options parse_options(int argc, const char** argv);

} // namespace ebonywick::load
