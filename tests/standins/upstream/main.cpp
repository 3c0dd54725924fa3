// ebonywick-upstream-standin: simulates many upstreams on loopback ports.
#include "adminserver.h"
#include "base/hashing.h"
#include "recorder.h"
#include "upstream.h"

#include <popt.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <stdexcept>

namespace {

using namespace ebonywick;
using namespace ebonywick::standin;

struct command_line
{
    int base_port = 0;
    int shards = 0;
    int count = 0;
    int replicas = 1;
    int admin_port = 0;
    int threads = 2;
    int slots = 4;
    int connections = 75;
    int delay_us = 1000;
    int connect_delay_us = 0;
    double straggler_share = 0;
    double straggler_factor = 20;
    int warm = 0;
    int cold_concurrency = 1;
    double cold_factor = 1.5;
    double collapse_factor = 50;
    int warm_after = 200;
    int no_shed = 0;
    int hits = 3;
    int version = 1;
    int epoch = 1;
    int seed = 1;
    char* catalogue = nullptr;
    char* record = nullptr;
};

command_line parse_command_line(int argc, const char** argv)
{
    command_line line;
    const auto number = [](const char* name, int& value, const char* help) {
        return poptOption{name, '\0', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &value, 0,
                          help, "N"};
    };
    const auto real = [](const char* name, double& value, const char* help) {
        return poptOption{name, '\0', POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT, &value, 0,
                          help, "X"};
    };
    const auto flag = [](const char* name, int& value, const char* help) {
        return poptOption{name, '\0', POPT_ARG_NONE, &value, 0, help, nullptr};
    };
    const auto text = [](const char* name, char*& value, const char* help) {
        return poptOption{name, '\0', POPT_ARG_STRING, static_cast<void*>(&value), 0, help, "FILE"};
    };
    const poptOption options[] = {
        number("base-port", line.base_port, "port of the first searcher; required"),
        number("count", line.count, "same as --shards"),
        number("shards", line.shards, "number of shards; replica J of shard I is searcher sI-rJ"),
        number("replicas", line.replicas, "replicas per shard"),
        number("admin-port", line.admin_port, "port of /admin; 0: none"),
        number("threads", line.threads, "worker threads"),
        number("slots", line.slots, "concurrent calls per searcher"),
        number("connections", line.connections, "connections accepted per searcher"),
        number("delay-us", line.delay_us, "median call time in microseconds"),
        number("connect-delay-us", line.connect_delay_us,
               "microseconds added to the first call of a connection"),
        real("straggler-share", line.straggler_share, "share of slow calls (stragglers), 0 to 1"),
        real("straggler-factor", line.straggler_factor,
             "call time of stragglers, as a multiple of the median"),
        flag("warm", line.warm, "start warm instead of cold"),
        number("cold-concurrency", line.cold_concurrency,
               "concurrent calls above which a cold searcher collapses"),
        real("cold-factor", line.cold_factor, "call time while cold, as a multiple of the median"),
        real("collapse-factor", line.collapse_factor,
             "call time while collapsed, as a multiple of the median"),
        number("warm-after", line.warm_after, "calls after which a cold searcher is warm"),
        flag("no-shed", line.no_shed, "slow down when the slots are full instead of answering 429"),
        number("hits", line.hits, "synthetic hits per reply"),
        number("index-version", line.version, "index version held at the start"),
        number("epoch", line.epoch, "epoch of the shard map"),
        number("seed", line.seed, "seed of call times and boot ids"),
        text("catalogue", line.catalogue, "JSON array of items to search"),
        text("record", line.record, "file to append one JSON line per call event to"),
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    const int rc = poptGetNextOpt(context);
    const std::string bad_option = rc < -1 ? poptBadOption(context, 0) : "";
    poptFreeContext(context);
    if (rc < -1)
        throw std::invalid_argument(bad_option + ": " + poptStrerror(rc));
    if (line.count > 0)
        line.shards = line.count;
    if (line.base_port <= 0 || line.shards <= 0 || line.replicas <= 0 || line.threads <= 0)
        throw std::invalid_argument("--base-port and --count or --shards must be positive");
    return line;
}

upstream_options options_of(const command_line& line)
{
    upstream_options it;
    it.slots = static_cast<std::uint32_t>(line.slots);
    it.connections = static_cast<std::size_t>(line.connections);
    it.delay = std::chrono::microseconds{line.delay_us};
    it.connect_delay = std::chrono::microseconds{line.connect_delay_us};
    it.straggler_share = line.straggler_share;
    it.straggler_factor = line.straggler_factor;
    it.cold = line.warm == 0;
    it.cold_concurrency = static_cast<std::uint32_t>(line.cold_concurrency);
    it.cold_factor = line.cold_factor;
    it.collapse_factor = line.collapse_factor;
    it.warm_after = static_cast<std::uint32_t>(line.warm_after);
    it.shed_above_slots = line.no_shed == 0;
    it.hits = static_cast<std::uint32_t>(line.hits);
    it.version = static_cast<std::uint64_t>(line.version);
    it.epoch = static_cast<std::uint64_t>(line.epoch);
    it.seed = static_cast<std::uint64_t>(line.seed);
    return it;
}

/// Distributes the items of the catalogue over the shards by hash.
std::vector<std::vector<nlohmann::json>> read_catalogue(const char* path, std::size_t shards)
{
    std::vector<std::vector<nlohmann::json>> parts(shards);
    if (path == nullptr)
        return parts;
    std::ifstream file{path};
    for (const nlohmann::json& item : nlohmann::json::parse(file))
        parts[stable_hash(item.dump()) % shards].push_back(item);
    return parts;
}

void serve(const command_line& line)
{
    const auto shards = static_cast<std::size_t>(line.shards);
    const auto replicas = static_cast<std::size_t>(line.replicas);
    const auto catalogue = read_catalogue(line.catalogue, shards);
    recorder record{line.record == nullptr ? "" : line.record};
    std::vector<std::unique_ptr<http_worker>> workers;
    workers.reserve(static_cast<std::size_t>(line.threads));
    for (int n = 0; n < line.threads; ++n)
        workers.push_back(std::make_unique<http_worker>());
    std::vector<hosted_upstream> upstreams;
    upstreams.reserve(shards * replicas);
    for (std::size_t n = 0; n < shards * replicas; ++n) {
        const std::string shard = "s" + std::to_string(n / replicas);
        http_worker& worker = *workers[n % workers.size()];
        auto model = std::make_unique<upstream>(
            worker, record, shard + "-r" + std::to_string(n % replicas), shard,
            static_cast<std::uint16_t>(static_cast<std::size_t>(line.base_port) + n),
            options_of(line), catalogue[n / replicas]);
        model->open();
        upstreams.push_back({&worker, std::move(model), static_cast<std::uint32_t>(n % replicas)});
    }
    for (const auto& it : workers)
        it->start();
    std::unique_ptr<admin_server> admin;
    if (line.admin_port != 0)
        admin =
            std::make_unique<admin_server>(static_cast<std::uint16_t>(line.admin_port), upstreams);
    std::fprintf(stderr, "event=ready searchers=%zu base_port=%d\n", upstreams.size(),
                 line.base_port);

    sigset_t stop;
    sigemptyset(&stop);
    sigaddset(&stop, SIGTERM);
    sigaddset(&stop, SIGINT);
    const timespec interval{0, 100'000'000};
    while (sigtimedwait(&stop, nullptr, &interval) < 0)
        record.flush();
    admin.reset();
    for (const auto& it : workers)
        it->stop();
}

} // namespace

int main(int argc, const char** argv)
{
    // Blocked before any thread starts, so that only sigtimedwait() receives them.
    sigset_t stop;
    sigemptyset(&stop);
    sigaddset(&stop, SIGTERM);
    sigaddset(&stop, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stop, nullptr);
    try {
        serve(parse_command_line(argc, argv));
    } catch (const std::exception& ex) {
        std::fprintf(stderr, "ebonywick-upstream-standin: %s\n", ex.what());
        return 1;
    }
    return 0;
}
