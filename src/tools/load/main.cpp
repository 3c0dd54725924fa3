// ebonywick-load: drives entry hosts as callers do and reports what they got.
#include "entrydirectory.h"
#include "hostconnections.h"
#include "loadoptions.h"
#include "loadstream.h"
#include "requestlog.h"

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

double seconds(const timeval& time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

double processor_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

void run(const load_options& options)
{
    request_log log{options.record_path};
    host_connections connections;
    std::map<std::string, std::unique_ptr<entry_directory>> directories;
    directory_map by_caller;
    std::uint64_t seed = options.seed;
    for (const stream_options& stream : options.streams) {
        for (const std::string& it : stream.callers) {
            auto& directory = directories[it];
            if (!directory)
                directory =
                    std::make_unique<entry_directory>(options.hosts, it, connections, ++seed);
            by_caller[it] = directory.get();
        }
    }
    const time_point begin = boot_clock::now();
    std::vector<std::unique_ptr<load_stream>> streams;
    for (const stream_options& it : options.streams)
        streams.push_back(
            std::make_unique<load_stream>(it, options.seed, begin, by_caller, connections, log));
    std::string text;
    for (const auto& it : streams) {
        it->join();
        text += fmt::format("{}\"{}\":{}", text.empty() ? "" : ",", it->name(), it->report());
    }
    fmt::print("{{\"streams\":{{{}}},\"elapsed_ms\":{:.0f},\"processor_seconds\":{:.3f}}}\n", text,
               to_milliseconds(boot_clock::now() - begin), processor_seconds());
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
