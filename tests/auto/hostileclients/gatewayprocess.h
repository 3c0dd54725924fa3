// A gateway process with lowered limits on loopback; the stand-ins of the store and the upstreams
// run on a thread of the test.
#pragma once

#include "gatewayfixture.h"

#include "settings/settingtable.h"

#include <boost/asio/executor_work_guard.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string_view>
#include <thread>

#include <sys/resource.h>
#include <sys/wait.h>

namespace ebonywick {

/// Limits of the process: its settings if it knows them, and the bounds of the test.
struct process_limits
{
    std::uint32_t memory_mb = 40;
    // Also the limit that the system enforces.
    std::uint32_t descriptors = 1024;
};

class gateway_process
{
public:
    explicit gateway_process(process_limits limits = {},
                             duration service_time = std::chrono::milliseconds{5},
                             std::uint32_t records = 5)
        : limits_(limits), fixture_(2, fixture_clock::system)
    {
        for (auto& it : fixture_.upstreams)
            it->set_replies(service_time, records);
        publish();
        write_settings();
        start();
        keep_running_.emplace(boost::asio::make_work_guard(fixture_.loop));
        loop_thread_ = std::thread{[this] {
            fixture_.loop.run();
        }};
    }
    ~gateway_process()
    {
        keep_running_.reset();
        fixture_.loop.stop();
        loop_thread_.join();
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
        std::error_code ignored;
        std::filesystem::remove(path_, ignored);
    }
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;

    [[nodiscard]] const endpoint& callers() const { return fixture_.settings.callers; }
    [[nodiscard]] const endpoint& metrics() const { return fixture_.settings.metrics; }
    [[nodiscard]] bool lives() const { return ::kill(process_, 0) == 0 && !ended(); }
    void stop() const { ::kill(process_, SIGTERM); }
    /// Waits until the process has ended; false if it was ended by a signal.
    [[nodiscard]] bool ends_by_itself() const
    {
        int status = 0;
        return ::waitpid(process_, &status, 0) != process_ || WIFEXITED(status);
    }
    /// Largest resident size so far, in megabytes.
    [[nodiscard]] std::uint32_t peak_mb() const
    {
        std::ifstream in{fmt::format("/proc/{}/status", process_)};
        std::string line;
        while (std::getline(in, line)) {
            if (line.starts_with("VmHWM:"))
                return static_cast<std::uint32_t>(std::stoul(line.substr(6)) / 1024);
        }
        return UINT32_MAX;
    }
    /// Waits until the process has used no processor time for a while, at most 30 s: it has read
    /// then what it reads of a crowd.
    void wait_until_idle() const
    {
        constexpr int checks = 300;
        constexpr int quiet_checks = 10;
        int quiet = 0;
        std::uint64_t before = 0;
        for (int it = 0; it < checks && quiet < quiet_checks; ++it) {
            const std::uint64_t now = processor_ticks();
            quiet = now > before + 1 ? 0 : quiet + 1;
            before = now;
            std::this_thread::sleep_for(std::chrono::milliseconds{100});
        }
    }
    [[nodiscard]] std::size_t open_descriptors() const
    {
        std::error_code ec;
        const std::filesystem::directory_iterator begin{fmt::format("/proc/{}/fd", process_), ec};
        return ec ? SIZE_MAX : static_cast<std::size_t>(std::distance(begin, {}));
    }

private:
    void publish()
    {
        json configuration = fixture_.configuration(1);
        // Long times, so that no part of a crowd ends for being slow while the test measures.
        configuration["limits"] = {{"max_header_bytes", 16384},
                                   {"max_body_bytes", 262144},
                                   {"header_timeout_ms", 120000},
                                   {"idle_timeout_ms", 120000}};
        configuration["routes"][0]["top_k"] = 4000;
        for (std::size_t it = 0; it < fixture_.ids.size(); ++it)
            fixture_.store.put("servers", fixture_.ids[it], fixture_.entries[it]);
        fixture_.store.put("config", "main", configuration);
    }
    void write_settings()
    {
        const gateway_settings& s = fixture_.settings;
        path_ = fmt::format("{}/ebonywick-hostile-{}-{}.yaml",
                            std::filesystem::temp_directory_path().string(), ::getpid(),
                            s.callers.port);
        std::ofstream out{path_};
        out << "host: h1\nfailure_domain: z0\nlog_level: error\n"
            << "callers: " << to_string(s.callers) << "\nreadiness: " << to_string(s.readiness)
            << "\ndirectory: " << to_string(s.directory)
            << "\nheartbeats: " << to_string(s.heartbeats) << "\ncontrol: " << to_string(s.control)
            << "\nmetrics: " << to_string(s.metrics) << "\nstore: " << to_string(s.store) << "\n";
        const auto known = [](std::string_view key) {
            return std::ranges::any_of(gateway_setting_table(),
                                       [&](const auto& it) { return it.key == key; });
        };
        if (known("memory_mb"))
            out << "memory_mb: " << limits_.memory_mb << "\n";
        if (known("max_descriptors"))
            out << "max_descriptors: " << limits_.descriptors << "\n";
    }
    void start()
    {
        process_ = ::fork();
        if (process_ != 0)
            return;
        const rlimit descriptors{limits_.descriptors, limits_.descriptors};
        ::setrlimit(RLIMIT_NOFILE, &descriptors);
        ::execl(EBONYWICK_BINARY, EBONYWICK_BINARY, "gateway", "--settings", path_.c_str(),
                nullptr);
        ::_exit(127);
    }
    [[nodiscard]] std::uint64_t processor_ticks() const
    {
        // Fields 14 and 15 are the times in user and in system mode; the second one is a name in
        // parentheses.
        std::ifstream in{fmt::format("/proc/{}/stat", process_)};
        std::string text;
        std::getline(in, text);
        std::istringstream fields{text.substr(text.rfind(')') + 1)};
        std::string skipped;
        for (int it = 0; it < 11; ++it)
            fields >> skipped;
        std::uint64_t user = 0;
        std::uint64_t system = 0;
        fields >> user >> system;
        return user + system;
    }
    [[nodiscard]] bool ended() const
    {
        siginfo_t info{};
        return ::waitid(P_PID, static_cast<id_t>(process_), &info, WEXITED | WNOHANG | WNOWAIT) ==
                   0 &&
               info.si_pid != 0;
    }

    process_limits limits_;
    gateway_fixture fixture_;
    std::string path_;
    pid_t process_ = -1;
    std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
        keep_running_;
    std::thread loop_thread_;
};

} // namespace ebonywick
