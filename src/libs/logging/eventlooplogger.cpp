// Rate limit and buffer of the lines, and non-blocking writes to standard output.
#include "logging/eventlooplogger.h"

#include "logging/logline.h"

#include <algorithm>
#include <chrono>

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace ebonywick {

void event_loop_logger::write(log_level level, std::string_view event,
                              std::initializer_list<log_field> fields)
{
    if (!enabled(level))
        return;
    const double min_allowance = level >= log_level::warning ? -lines_per_second / 2 : 1.0;
    if (allowance_ < min_allowance || pending_.size() >= buffer_bytes) {
        ++dropped_;
        return;
    }
    allowance_ -= 1.0;
    append_log_line(pending_, level, event, fields);
}

void event_loop_logger::flush(time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - allowance_updated_at_).count();
    allowance_ = std::min(lines_per_second, allowance_ + elapsed * lines_per_second);
    allowance_updated_at_ = now;
    if (dropped_ > dropped_reported_) {
        append_drop_line(pending_, dropped_ - dropped_reported_, dropped_);
        dropped_reported_ = dropped_;
    }
    std::size_t flushed = 0;
    while (flushed < pending_.size()) {
        // A pipe that is ready for writing takes PIPE_BUF bytes without blocking.
        const std::size_t n = std::min<std::size_t>(pending_.size() - flushed, PIPE_BUF);
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0)
            break;
        const ssize_t written = ::write(STDOUT_FILENO, pending_.data() + flushed, n);
        if (written <= 0)
            break;
        flushed += static_cast<std::size_t>(written);
    }
    std::copy(pending_.begin() + static_cast<std::ptrdiff_t>(flushed), pending_.end(),
              pending_.begin());
    pending_.resize(pending_.size() - flushed);
}

} // namespace ebonywick
