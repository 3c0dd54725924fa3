// Pool of the links (connections) to one upstream: selects the link of the next call,
// probes idle links and decides how many are open.
#pragma once

#include "base/clock.h"
#include "dispatch/upstreamdispatcher.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ebonywick {

/// An idle link is probed when it was last verified this long ago.
inline constexpr duration probe_interval = std::chrono::milliseconds{500};

/// Not thread-safe. Links are identified by number; the owner executes the actions that
/// are appended to `out` and reports back with the on_* functions.
class link_pool
{
public:
    using actions = std::vector<dispatcher_action>;

    /// Sets the upper limit of links from the declared slots and connections.
    void configure(std::uint32_t slots, std::uint32_t connections);

    /// Marks the most recently verified usable link as busy; empty if there is none.
    std::optional<std::uint32_t> acquire(time_point now);
    /// Makes an acquired link idle again that was given no call.
    void return_unused(std::uint32_t link);
    /// The call on the link has ended; `verified` if the upstream answered on it.
    void release(std::uint32_t link, bool verified, time_point now, actions& out);
    /// Closes a link that failed or timed out. All others must be probed before use.
    void discard(std::uint32_t link, time_point now, actions& out);
    void on_opened(const link_opened& ev, time_point now, actions& out);
    void on_probed(const link_probed& ev, time_point now, actions& out);

    /// Opens links up to `wanted`, at least two and at most the limit of the pool. With
    /// `none_usable` it opens one more, unless one is being opened.
    void open_missing(std::uint32_t wanted, bool none_usable, time_point now, actions& out);
    /// Probes idle links that are due and closes links that have not reported in time.
    void tick(time_point now, actions& out);
    /// Closes all links; busy ones are closed when their call ends.
    void drain(actions& out);
    /// Allows links to be opened again after drain().
    void resume() { draining_ = false; }

    /// True if the last connection attempt failed and no other link may still work.
    [[nodiscard]] bool unavailable() const;
    /// Send time of the last probe that was answered.
    [[nodiscard]] time_point last_probe_sent() const { return last_probe_sent_; }

private:
    enum class link_state { opening, idle, busy, probing };

    struct link
    {
        std::uint32_t number = 0;
        link_state state = link_state::opening;
        // Time of the last reply, or of opening.
        time_point verified_at{};
        // Start of the current state.
        time_point state_since{};
        // Another link failed since this one was verified.
        bool needs_probe = false;
    };

    [[nodiscard]] link* find(std::uint32_t number);
    [[nodiscard]] bool usable(const link& it, time_point now) const;
    void probe(link& it, time_point now, actions& out);
    static void mark_verified(link& it, time_point now);
    void probe_unverified(time_point now, actions& out);
    void close(link& it, actions& out);

    // At most max_links_, except for links that were in use when that limit was lowered.
    std::vector<link> links_;
    std::uint32_t max_links_ = 2;
    // Numbers are never reused, so a late report cannot be taken for another link's.
    std::uint32_t next_number_ = 1;
    time_point last_probe_sent_{};
    time_point open_failed_at_{};
    bool open_failed_ = false;
    bool draining_ = false;
};

} // namespace ebonywick
