// Tests the log: each record takes one line whatever its values contain, the level is respected,
// and dropped lines are counted.
#include "logging/logger.h"

#include <criterion/criterion.h>

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <string>

using namespace ebonywick;

namespace {

/// Redirects standard error to a pipe; take() restores it and returns the text.
class captured_stderr
{
public:
    captured_stderr()
    {
        saved_ = dup(STDERR_FILENO);
        cr_assert_eq(pipe(ends_), 0);
        dup2(ends_[1], STDERR_FILENO);
        close(ends_[1]);
    }

    std::string take()
    {
        std::fflush(stderr);
        dup2(saved_, STDERR_FILENO);
        close(saved_);
        std::string out;
        char buf[4096];
        for (ssize_t n = read(ends_[0], buf, sizeof buf); n > 0;
             n = read(ends_[0], buf, sizeof buf))
            out.append(buf, static_cast<std::size_t>(n));
        close(ends_[0]);
        return out;
    }

private:
    int saved_ = -1;
    int ends_[2] = {-1, -1};
};

} // namespace

// Guards against log injection: a caller's name with a line break must not forge a second line.
Test(logger, value_with_line_break_stays_on_one_line)
{
    captured_stderr capture;
    {
        logger log{log_level::info};
        log.write(log_level::info, "request", {{"caller", "x\nlevel=error event=\"forged\""}});
    }
    const std::string text = capture.take();
    cr_assert_eq(std::count(text.begin(), text.end(), '\n'), 1);
    cr_assert(text.find("caller=\"x\\nlevel=error event=\\\"forged\\\"\"") != std::string::npos,
              "%s", text.c_str());
}

Test(logger, lines_below_the_level_are_not_written)
{
    captured_stderr capture;
    {
        logger log{log_level::warning};
        log.write(log_level::info, "quiet", {});
        log.write(log_level::error, "loud", {{"n", std::uint32_t{3}}});
    }
    const std::string text = capture.take();
    cr_assert(text.find("quiet") == std::string::npos);
    cr_assert(text.find("event=loud n=3\n") != std::string::npos);
}

// Guards against losing lines under load without a report in the log.
Test(logger, dropped_lines_are_counted_and_reported)
{
    captured_stderr capture;
    std::uint64_t dropped = 0;
    {
        logger log{log_level::info, 1};
        for (int it = 0; it < 500; ++it)
            log.write(log_level::info, "burst", {});
        dropped = log.dropped();
    }
    const std::string text = capture.take();
    cr_assert_gt(dropped, 0U);
    cr_assert(text.find("event=log_lines_dropped") != std::string::npos);
    cr_assert(text.find("total=" + std::to_string(dropped)) != std::string::npos);
}
