// Buffering and the writes to standard output.
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
    const double least_allowance = level >= log_level::warning ? -lines_per_second / 2 : 1.0;
    if (allowance_ < least_allowance || pending_.size() >= buffer_bytes) {
        ++dropped_;
        return;
    }
    allowance_ -= 1.0;
    append_log_line(pending_, level, event, fields);
}

void event_loop_logger::flush(time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - renewed_at_).count();
    allowance_ = std::min(lines_per_second, allowance_ + elapsed * lines_per_second);
    renewed_at_ = now;
    if (dropped_ > dropped_reported_) {
        append_drop_line(pending_, dropped_ - dropped_reported_, dropped_);
        dropped_reported_ = dropped_;
    }
    std::size_t done = 0;
    while (done < pending_.size()) {
        // A pipe that is ready takes this much without blocking.
        const std::size_t n = std::min<std::size_t>(pending_.size() - done, PIPE_BUF);
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0)
            break;
        const ssize_t written = ::write(STDOUT_FILENO, pending_.data() + done, n);
        if (written <= 0)
            break;
        done += static_cast<std::size_t>(written);
    }
    std::copy(pending_.begin() + static_cast<std::ptrdiff_t>(done), pending_.end(),
              pending_.begin());
    pending_.resize(pending_.size() - done);
}

} // namespace ebonywick
