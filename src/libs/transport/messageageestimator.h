// Estimates how long messages were queued or in transit between hosts, whose clocks
// are not synchronized.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <map>
#include <mutex>

namespace ebonywick {

/// The smallest difference seen between the receiver's clock and the timestamps of a
/// sender is taken as a message without delay. The age of a message is the amount by
/// which its difference exceeds that. Thread-safe.
class message_age_estimator
{
public:
    /// Delay of the message compared with the fastest one from this incarnation of the
    /// sender; zero for the first one. `sent_at` is the sender's clock, `received_at`
    /// the receiver's.
    duration estimate(const host_id& sender, incarnation_number incarnation, time_point sent_at,
                      time_point received_at)
    {
        const duration difference = received_at - sent_at;
        const std::lock_guard lock{mutex_};
        entry& it = entries_[sender];
        if (it.incarnation != incarnation || difference < it.min_difference)
            it = entry{incarnation, difference};
        return difference - it.min_difference;
    }

private:
    struct entry
    {
        incarnation_number incarnation = 0;
        duration min_difference = duration::max();
    };

    std::mutex mutex_;
    // Guarded by mutex_.
    std::map<host_id, entry> entries_;
};

} // namespace ebonywick
