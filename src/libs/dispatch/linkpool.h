// The links of one gate: which one carries the next call, which ones are
// probed, and how many are open.
#pragma once

#include "base/clock.h"
#include "dispatch/upstreamdispatcher.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ebonywick {

inline constexpr duration probe_interval = std::chrono::milliseconds{500};

/// Not thread-safe. Appends its actions to the list that is passed in.
class link_pool
{
public:
    using actions = std::vector<dispatcher_action>;

    void configure(std::uint32_t slots, std::uint32_t connections);

    /// Takes the idle link that was verified most recently.
    std::optional<std::uint32_t> take(time_point now);
    /// The link that was taken carries no call after all.
    void give_back(std::uint32_t link);
    /// The call on the link ended; `verified` if the upstream answered.
    void release(std::uint32_t link, bool verified, time_point now, actions& out);
    /// Closes the link, because it was silent or failed.
    void lose(std::uint32_t link, time_point now, actions& out);
    void opened(const link_opened& ev, time_point now, actions& out);
    void probed(const link_probed& ev, time_point now, actions& out);

    /// Opens links up to `wanted`; with `starved` one more if none is usable.
    void ensure(std::uint32_t wanted, bool starved, time_point now, actions& out);
    /// Probes idle links that are due and gives up those that never reported.
    void tick(time_point now, actions& out);
    /// Closes idle links; busy ones close when their call ends.
    void retire(actions& out);
    /// Ends retire().
    void resume() { retired_ = false; }

    /// A new connection failed and no other link works.
    [[nodiscard]] bool unavailable() const;
    /// When the probe that reported last was sent.
    [[nodiscard]] time_point probe_sent() const { return probe_sent_; }

private:
    enum class link_state { opening, idle, busy, probing };

    struct link
    {
        std::uint32_t number = 0;
        link_state state = link_state::opening;
        // Last reply, or when it was opened.
        time_point verified{};
        // When the present state began.
        time_point since{};
        // Another link was silent since this one was verified; probed before use.
        bool suspect = false;
    };

    [[nodiscard]] link* find(std::uint32_t number);
    [[nodiscard]] bool usable(const link& it, time_point now) const;
    void probe(link& it, time_point now, actions& out);
    static void verify(link& it, time_point now);
    void probe_unverified(time_point now, actions& out);
    void close(link& it, actions& out);

    // At most max_links_ + those that are busy when the maximum falls.
    std::vector<link> links_;
    std::uint32_t max_links_ = 2;
    // Numbers are not used twice, so a late report cannot reach another link.
    std::uint32_t next_number_ = 1;
    time_point probe_sent_{};
    time_point open_failed_at_{};
    bool open_failed_ = false;
    bool retired_ = false;
};

} // namespace ebonywick
