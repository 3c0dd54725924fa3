// Command line of ebonywick-load.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ebonywick::load {

struct stream_options
{
    std::string name = "main";
    // Arrivals a second; 0: closed loop.
    double rate = 0.0;
    // Requests at once; one thread each.
    std::uint32_t connections = 64;
    std::string request_class;
    std::vector<std::string> services;
    std::vector<std::string> callers;
    // Zero: no X-Deadline-Ms.
    duration deadline = duration::zero();
    bool orders = false;
    // Distinct keys that orders draw from; 0: each order has its own.
    std::uint64_t keys = 0;
    // Repeats of an order without a known outcome.
    std::uint32_t repeats = 3;
    duration repeat_pause = std::chrono::milliseconds{100};
    // From the start of the program.
    duration start = duration::zero();
    // Requests that start during the warm-up are sent but not counted.
    duration warmup = duration::zero();
    // Counted time; follows the warm-up.
    duration length = std::chrono::seconds{10};
};

struct load_options
{
    // Entry hosts to ask for the list first, as IP:PORT.
    std::vector<std::string> hosts;
    std::vector<stream_options> streams;
    std::string record_path;
    std::uint64_t seed = 1;
};

/// Throws std::runtime_error naming the option that is wrong.
[[nodiscard]] load_options parse_options(int argc, const char** argv);

} // namespace ebonywick::load
