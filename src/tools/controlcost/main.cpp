// ebonywick-control-cost HOSTS SECONDS [START_S]: prints the processor time, messages, bytes
// and memory that the control plane of a settled fleet needs, as one JSON object.
#include "controlfleet.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>

namespace {

using namespace std::chrono_literals;

// Longest simulated start. A fleet that hasn't settled by then is measured nevertheless; the
// report says `settled: false` and the exit status is 1.
constexpr long max_start_s = 300;

double resident_memory_kib()
{
    std::ifstream file{"/proc/self/statm"};
    double all = 0;
    double resident = 0;
    file >> all >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024.0;
}

int measure(std::size_t hosts, int seconds, int start_limit_s)
{
    ebonywick::control_fleet fleet{hosts};
    const double kib_before = resident_memory_kib();
    fleet.start();
    int start_s = 0;
    for (bool settled = false; !settled && start_s < start_limit_s; ++start_s) {
        fleet.reset_statistics();
        fleet.run(1s);
        settled = fleet.settled();
    }
    const double kib = resident_memory_kib() - kib_before;
    fleet.reset_statistics();
    fleet.count_bytes(true);
    fleet.run(std::chrono::seconds{seconds});
    const ebonywick::control_statistics statistics = fleet.statistics();
    const bool settled = fleet.settled();
    const double config_ms = fleet.measure_adoption_ms(ebonywick::object_kind::config);
    const double roster_ms = fleet.measure_adoption_ms(ebonywick::object_kind::roster);
    const double n = static_cast<double>(hosts) * seconds;
    const auto rate = [&](std::size_t it) {
        return static_cast<double>(it) / n;
    };
    const nlohmann::ordered_json report{
        {"hosts", hosts},
        {"measured_s", seconds},
        {"simulated_start_s", start_s},
        {"settled", settled},
        {"cpu_ms_per_host_second", statistics.agent_cpu_s * 1e3 / n},
        {"bytes_sent_per_host_second", rate(statistics.bytes)},
        {"bytes_sent_and_received_per_host_second", 2 * rate(statistics.bytes)},
        {"messages_sent_per_host_second", rate(statistics.messages)},
        {"heartbeats_per_host_second", rate(statistics.heartbeats)},
        {"replies_per_host_second", rate(statistics.replies)},
        {"news_per_host_second", rate(statistics.gossip_updates)},
        {"fence_messages_per_host_second", rate(statistics.fence_messages)},
        {"tokens_per_host_second", rate(statistics.tokens)},
        {"own_updates_per_host_second", rate(statistics.own_updates)},
        {"other_updates_per_host_second", rate(statistics.other_updates)},
        {"adopt_config_ms", config_ms},
        {"adopt_roster_ms", roster_ms},
        {"resident_kib_per_agent", kib / static_cast<double>(hosts)},
    };
    fmt::print("{}\n", report.dump(2));
    return settled ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    const auto argument = [&](int it, long fallback) {
        return it < argc ? std::strtol(argv[it], nullptr, 10) : fallback;
    };
    const long hosts = argument(1, 0);
    const long seconds = argument(2, 0);
    const long start_s = argument(3, max_start_s);
    if (argc > 4 || hosts < 4 || hosts > 999 || seconds < 1 || seconds > 600 || start_s < 1 ||
        start_s > max_start_s) {
        fmt::print(
            stderr,
            "usage: ebonywick-control-cost HOSTS(4..999) SECONDS(1..600) [START_S(1..300)]\n");
        return 2;
    }
    try {
        return measure(static_cast<std::size_t>(hosts), static_cast<int>(seconds),
                       static_cast<int>(start_s));
    } catch (const std::exception& ex) {
        fmt::print(stderr, "{}\n", ex.what());
        return 2;
    }
}
