// ebonywick-store-standin: in-memory emulation of the platform's object store, with faults
// that tests inject over HTTP.
#include "httplistener.h"
#include "objecttable.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <popt.h>

#include <csignal>
#include <exception>
#include <fstream>
#include <iterator>
#include <mutex>
#include <stdexcept>

namespace {

using namespace ebonywick;
using namespace ebonywick::standin;

struct command_line
{
    int port = 0;
    int admin_port = 0;
    std::string hosts_file;
    std::string record_file;
};

command_line parse_command_line(int argc, const char** argv)
{
    int port = 0;
    int admin_port = 0;
    char* hosts_file = nullptr;
    char* record_file = nullptr;
    const poptOption table[] = {
        {"port", 0, POPT_ARG_INT, &port, 0, "port on loopback", "PORT"},
        {"admin-port", 0, POPT_ARG_INT, &admin_port, 0,
         "port of /admin that stays open during outages (default: port + 1)", "PORT"},
        {"hosts-file", 0, POPT_ARG_STRING, &hosts_file, 0, "JSON file returned by GET /hosts",
         "FILE"},
        {"record", 0, POPT_ARG_STRING, &record_file, 0, "file to write one JSON line per write to",
         "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    const int rc = poptGetNextOpt(context);
    const bool extra = poptPeekArg(context) != nullptr;
    poptFreeContext(context);
    if (rc < -1)
        throw std::runtime_error{poptStrerror(rc)};
    if (extra || port <= 0 || port > 65534)
        throw std::runtime_error{"--port 1..65534 is required, and no other arguments are allowed"};
    return {port, admin_port == 0 ? port + 1 : admin_port, hosts_file == nullptr ? "" : hosts_file,
            record_file == nullptr ? "" : record_file};
}

outage_mode parse_outage_mode(const std::string& text)
{
    if (text == "refuse")
        return outage_mode::refuse;
    if (text == "hang")
        return outage_mode::hang;
    if (text != "off")
        throw std::runtime_error{"outage must be off, refuse or hang"};
    return outage_mode::none;
}

/// Routes requests to the objects and executes admin commands.
class store_server
{
public:
    store_server(const command_line& options, object_table& objects)
        : options_{options}, objects_{objects}, store_{static_cast<std::uint16_t>(options.port),
                                                       [this](const http_request& it) {
                                                           return serve(it);
                                                       }},
          admin_{static_cast<std::uint16_t>(options.admin_port), [this](const http_request& it) {
                     return serve_admin(it);
                 }}
    {
    }

    bool open() { return store_.open() && admin_.open(); }
    void close()
    {
        admin_.close();
        store_.close();
    }

private:
    std::optional<http_reply> serve(const http_request& request)
    {
        if (request.path.starts_with("/admin"))
            return serve_admin(request);
        if (request.path != "/hosts")
            return objects_.serve(request);
        std::ifstream file{options_.hosts_file};
        std::string text{std::istreambuf_iterator<char>{file}, {}};
        return http_reply{200, "", text.empty() ? R"({"hosts":[]})" : text};
    }

    std::optional<http_reply> serve_admin(const http_request& request)
    {
        if (request.method == "GET" && request.path == "/admin/stats")
            return http_reply{200, "", objects_.stats()};
        if (request.method != "POST" || request.path != "/admin")
            return http_reply{404, "", ""};
        try {
            apply_command(nlohmann::json::parse(request.body));
            return http_reply{200, "", "{}"};
        } catch (const std::exception& ex) {
            return http_reply{400, "", nlohmann::json{{"error", ex.what()}}.dump()};
        }
    }

    void apply_command(const nlohmann::json& command)
    {
        const std::lock_guard lock{mutex_};
        const fault_settings before = objects_.faults();
        fault_settings faults = before;
        for (const auto& [name, value] : command.items()) {
            if (name == "outage")
                faults.outage = parse_outage_mode(value.get<std::string>());
            else if (name == "late_effect")
                faults.late_effect = value.get<bool>();
            else if (name == "slow_ms")
                faults.delay = std::chrono::milliseconds{value.get<std::int64_t>()};
            else if (name == "lose_replies")
                faults.lost_reply_share = value.get<double>();
            else if (name == "lose_prefix")
                faults.lost_reply_prefix = value.get<std::string>();
            else if (name == "stale_reads")
                faults.stale_read_share = value.get<double>();
            else if (name != "seed" && name != "reset_stats" && name != "keep_copy" &&
                     name != "restore")
                throw std::runtime_error{"unknown command " + name};
        }
        if (command.contains("seed"))
            objects_.seed(command["seed"].get<std::uint64_t>());
        if (command.value("reset_stats", false))
            objects_.reset_stats();
        if (command.value("keep_copy", false))
            objects_.keep_copy();
        if (command.value("restore", false))
            objects_.restore();
        objects_.set_faults(faults);
        const bool refuse = faults.outage == outage_mode::refuse;
        if (refuse && before.outage != outage_mode::refuse)
            store_.close();
        if (!refuse && before.outage == outage_mode::refuse && !store_.open())
            throw std::runtime_error{"cannot listen again after the outage"};
    }

    const command_line options_;
    object_table& objects_;
    // Serializes admin commands.
    std::mutex mutex_;
    http_listener store_;
    http_listener admin_;
};

} // namespace

int main(int argc, const char** argv)
{
    try {
        const command_line options = parse_command_line(argc, argv);
        // Blocked before any thread starts, so that only sigwait() receives them.
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        object_table objects{options.record_file};
        store_server standin{options, objects};
        if (!standin.open())
            throw std::runtime_error{"cannot listen; is the port in use?"};
        fmt::print(stderr, "store stand-in on 127.0.0.1:{}, admin on 127.0.0.1:{}\n", options.port,
                   options.admin_port);
        int signal_number = 0;
        sigwait(&signals, &signal_number);
        standin.close();
        // Skips destructors, because connection threads may still use the objects.
        std::_Exit(0);
    } catch (const std::exception& ex) {
        fmt::print(stderr, "ebonywick-store-standin: {}\n", ex.what());
        return 2;
    }
}
