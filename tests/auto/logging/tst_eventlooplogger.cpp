// Tests the rate limit, the buffer and the level of the log on standard output.
#include "logging/eventlooplogger.h"

#include <criterion/criterion.h>

#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

/// Redirects standard output to a pipe that the test reads.
struct output_pipe
{
    output_pipe()
    {
        cr_assert(::pipe(ends) == 0);
        saved = ::dup(STDOUT_FILENO);
        ::dup2(ends[1], STDOUT_FILENO);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~output_pipe()
    {
        ::dup2(saved, STDOUT_FILENO);
        ::close(saved);
        ::close(ends[0]);
        ::close(ends[1]);
    }
    output_pipe(const output_pipe&) = delete;
    output_pipe& operator=(const output_pipe&) = delete;
    std::string read_all() const
    {
        std::string out;
        char buf[65536];
        for (ssize_t n = 0; (n = ::read(ends[0], buf, sizeof buf)) > 0;)
            out.append(buf, static_cast<std::size_t>(n));
        return out;
    }

    int ends[2]{};
    int saved = -1;
};

} // namespace

// Guards against a log that takes unbounded processor time under load, or loses lines without
// counting them.
Test(event_loop_logger, lines_beyond_the_rate_are_dropped_and_counted)
{
    const output_pipe output;
    event_loop_logger log{log_level::info};
    log.flush(time_point{100s});
    for (int it = 0; it < 1000; ++it)
        log.write(log_level::info, "event", {});
    cr_assert(log.dropped() == 700);
    log.flush(time_point{101s});
    const std::string text = output.read_all();
    cr_assert(text.find("event=log_lines_dropped count=700 total=700") != std::string::npos);
    log.write(log_level::info, "after", {});
    cr_assert(log.dropped() == 700);
}

// Guards against a process that blocks because the reader of its output has stopped.
Test(event_loop_logger, full_output_does_not_block, .timeout = 10)
{
    const output_pipe output;
    event_loop_logger log{log_level::info};
    time_point now{100s};
    const std::string filler(400, 'x');
    for (int second = 0; second < 20; ++second) {
        now += 1s;
        log.flush(now);
        for (int it = 0; it < 300; ++it)
            log.write(log_level::info, "event", {{"filler", filler}});
    }
    cr_assert(log.dropped() > 0);
    cr_assert(!output.read_all().empty());
}

// Guards against writing lines below the level.
Test(event_loop_logger, lines_below_the_level_are_not_written)
{
    const output_pipe output;
    event_loop_logger log{log_level::warning};
    log.write(log_level::info, "hidden", {});
    log.write(log_level::error, "shown", {{"key", "two words"}});
    log.flush(time_point{100s});
    const std::string text = output.read_all();
    cr_assert(text.find("hidden") == std::string::npos);
    cr_assert(text.find("level=error event=shown key=\"two words\"") != std::string::npos);
}
