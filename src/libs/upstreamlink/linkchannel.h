// A blocking HTTP connection whose requests end at a deadline, whatever the peer sends.
#pragma once

#include "base/clock.h"
#include "httpstream/messagereader.h"
#include "settings/declaration.h"

#include <memory>
#include <optional>
#include <string>

namespace ebonywick {

/// One request at a time. All functions but stop() are to be called by one thread.
class link_channel
{
public:
    /// Replies beyond `limits` fail.
    link_channel(const endpoint& peer, message_limits limits);
    ~link_channel();
    link_channel(const link_channel&) = delete;
    link_channel& operator=(const link_channel&) = delete;

    /// Opens the connection, and closes an earlier one. False if that fails within the time.
    bool connect(duration timeout);
    /// False if the connection is closed, or the peer has sent bytes without a request.
    [[nodiscard]] bool is_open() const;
    /// Sends the request and returns the final reply. Nothing if it is not complete within the
    /// time, is not valid or too large; the connection is closed then.
    std::optional<http_message> exchange(const std::string& request, duration timeout);
    /// Ends what is in progress and makes further calls fail. Thread-safe.
    void stop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
