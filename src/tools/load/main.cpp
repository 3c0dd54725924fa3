// ebonywick-load: sends requests to entry hosts as callers do and prints a report of the
// answers as JSON.
#include "entryhostlist.h"
#include "hostconnections.h"
#include "loadoptions.h"
#include "loadstream.h"
#include "requestrecorder.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <exception>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace ebonywick;
using namespace ebonywick::load;

double to_seconds(const timeval& time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

double processor_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return to_seconds(usage.ru_utime) + to_seconds(usage.ru_stime);
}

void run(const load_options& options)
{
    request_recorder recorder{options.record_path};
    host_connections connections;
    std::map<std::string, std::unique_ptr<entry_host_list>> host_lists;
    host_list_map by_caller;
    std::uint64_t seed = options.seed;
    for (const stream_options& stream : options.streams) {
        for (const std::string& it : stream.callers) {
            auto& host_list = host_lists[it];
            if (!host_list)
                host_list =
                    std::make_unique<entry_host_list>(options.hosts, it, connections, ++seed);
            by_caller[it] = host_list.get();
        }
    }
    const time_point program_start = boot_clock::now();
    std::vector<std::unique_ptr<load_stream>> streams;
    for (const stream_options& it : options.streams)
        streams.push_back(std::make_unique<load_stream>(it, options.seed, program_start, by_caller,
                                                        connections, recorder));
    std::string stream_reports;
    for (const auto& it : streams) {
        it->join();
        stream_reports +=
            fmt::format("{}\"{}\":{}", stream_reports.empty() ? "" : ",", it->name(), it->report());
    }
    fmt::print("{{\"streams\":{{{}}},\"elapsed_ms\":{:.0f},\"processor_seconds\":{:.3f}}}\n",
               stream_reports, to_milliseconds(boot_clock::now() - program_start),
               processor_seconds());
}

} // namespace

int main(int argc, const char** argv)
{
    try {
        run(parse_options(argc, argv));
        return 0;
    } catch (const std::exception& ex) {
        fmt::print(stderr, "ebonywick-load: {}\n", ex.what());
        return 2;
    }
}
