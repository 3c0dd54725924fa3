// Handles signals, reloads the settings file and runs the event loop.
#include "gateway/rungateway.h"

#include "gateway/gateway.h"
#include "settings/yamlreader.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <exception>
#include <fstream>
#include <random>
#include <sstream>

#include <sys/stat.h>

namespace ebonywick {

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 7;
// The settings file may change without a SIGHUP, so it is polled.
constexpr duration settings_check_interval = std::chrono::seconds{2};

std::string read_text(const std::string& path)
{
    std::ifstream in{path};
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

/// Polls the settings file and applies valid changes to the gateway.
class settings_file_watcher
{
public:
    settings_file_watcher(timer_queue& timers, std::string path, gateway& target,
                          event_loop_logger& log)
        : path_(std::move(path)), target_(target), log_(log), applied_text_(read_text(path_)),
          last_read_version_(current_version()), check_timer_(timers, [this] { check(); })
    {
        check_timer_.set_after(settings_check_interval);
    }

    void reload()
    {
        last_read_version_ = current_version();
        std::string text = read_text(path_);
        if (text == applied_text_)
            return;
        const auto read = read_gateway_settings(text, path_);
        if (const auto* problems = std::get_if<1>(&read)) {
            log_.write(log_level::error, "settings_rejected",
                       {{"problem", to_string(problems->front())}});
            return;
        }
        applied_text_ = std::move(text);
        target_.apply(std::get<0>(read));
    }

private:
    using file_version = std::pair<std::int64_t, std::int64_t>;

    [[nodiscard]] file_version current_version() const
    {
        struct stat info
        {
        };
        if (::stat(path_.c_str(), &info) != 0)
            return {};
        return {info.st_mtim.tv_sec * 1'000'000'000 + info.st_mtim.tv_nsec, info.st_size};
    }

    void check()
    {
        if (current_version() != last_read_version_)
            reload();
        check_timer_.set_after(settings_check_interval);
    }

    std::string path_;
    gateway& target_;
    event_loop_logger& log_;
    std::string applied_text_;
    // Modification time in nanoseconds and size of the file when it was last read.
    file_version last_read_version_;
    loop_timer check_timer_;
};

} // namespace

int run_gateway(const gateway_settings& settings, const std::string& settings_path)
{
    std::signal(SIGPIPE, SIG_IGN);
    event_loop_logger log{static_cast<log_level>(settings.log_level)};
    try {
        boost::asio::io_context loop{1};
        timer_queue timers{loop, boot_clock::now};
        gateway instance{loop, timers, settings, log, std::random_device{}()};
        settings_file_watcher watcher{timers, settings_path, instance, log};
        boost::asio::signal_set signals{loop, SIGTERM, SIGINT, SIGHUP};
        std::function<void()> wait = [&] {
            signals.async_wait([&](const boost::system::error_code& ec, int number) {
                if (ec)
                    return;
                if (number == SIGHUP)
                    watcher.reload();
                else
                    instance.leave([&] { loop.stop(); });
                wait();
            });
        };
        wait();
        instance.start();
        loop.run();
        loop.poll();
    } catch (const std::exception& ex) {
        log.write(log_level::error, "gateway_failed",
                  {{"message", std::string_view{ex.what()}},
                   {"remedy", "check the addresses in the settings"}});
        log.flush(boot_clock::now());
        return exit_failed;
    }
    return exit_ok;
}

} // namespace ebonywick
