// Choice of the relays that a host asks for digests.
#pragma once

#include "base/clock.h"
#include "peers/hostrecord.h"

#include <array>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace ebonywick {

/// Asks two relays, one of the host's own failure domain if there is one and one of another, so
/// that a partition between two failure domains does not hide the hosts behind it. A relay that
/// does not answer is replaced in the next interval. Not thread-safe.
class digest_queries
{
public:
    /// `self` is this host, which is never asked.
    explicit digest_queries(host_record self) : self_(std::move(self)) {}

    /// Relays to ask now; to be called once in each heartbeat interval.
    [[nodiscard]] std::vector<host_record> next(std::span<const host_record> relays,
                                                time_point now);
    /// `from` has answered.
    void answered(const host_id& from, time_point now);
    /// When a relay last answered; the epoch of the clock if none has.
    [[nodiscard]] time_point last_answer() const { return last_answer_; }

private:
    struct slot
    {
        // The relay that is asked; nothing before the first choice.
        std::optional<host_record> relay;
        // It has answered since it was last asked.
        bool answered = false;
    };

    [[nodiscard]] bool eligible(const host_record& it, bool own_domain, time_point now) const;
    void choose(slot& of, bool own_domain, std::span<const host_record> relays, time_point now);

    host_record self_;
    // The first one prefers relays of the own failure domain, the second one those of others.
    std::array<slot, 2> slots_;
    // Relays that did not answer, with the end of the time in which others are preferred.
    std::map<host_id, time_point> avoided_until_;
    time_point last_answer_{};
};

} // namespace ebonywick
