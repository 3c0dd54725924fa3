// Runs a node in the main thread of the process and handles its signals.
#include "node/runnode.h"

#include "logging/logger.h"
#include "node/node.h"

#include <csignal>
#include <ctime>
#include <exception>
#include <optional>

#include <pthread.h>
#include <unistd.h>

namespace ebonywick {

namespace {

constexpr int exit_drained = 0;
constexpr int exit_aborted = 3;
constexpr int exit_failed = 7;
constexpr long drain_poll_ns = 20'000'000;

/// Waits for one of `signals`, at most `timeout` if it is not null. True if one
/// arrived.
bool wait_for_signal(const sigset_t& signals, const timespec* timeout)
{
    return sigtimedwait(&signals, nullptr, timeout) > 0;
}

} // namespace

int run_node(const node_settings& settings)
{
    // Blocked before any thread starts, because threads inherit the mask: only this
    // thread receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    logger log{static_cast<log_level>(settings.log_level)};
    try {
        node instance{settings, log};
        instance.start();
        while (sigwaitinfo(&signals, nullptr) < 0) {
        }
        instance.begin_drain();
        const timespec poll{0, drain_poll_ns};
        while (!instance.advance_drain()) {
            if (!wait_for_signal(signals, &poll))
                continue;
            log.write(log_level::error, "drain_aborted",
                      {{"requests_cut", static_cast<std::uint64_t>(instance.active_requests())},
                       {"remedy", "send one signal only and wait for the drain"}});
            // Gives the log thread time to write the line before the process ends.
            usleep(100'000);
            _exit(exit_aborted);
        }
        log.write(log_level::info, "drain_finished", {});
    } catch (const std::exception& ex) {
        log.write(log_level::error, "node_failed",
                  {{"message", std::string_view{ex.what()}},
                   {"remedy", "check the addresses in the settings"}});
        return exit_failed;
    }
    return exit_drained;
}

} // namespace ebonywick
