// Age of messages that may have been queued for long between two hosts whose
// clocks differ.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <map>
#include <mutex>

namespace ebonywick {

/// The smallest difference seen between the receiver's clock and a sender's
/// stamp stands for a message without delay; a message's age is how much its
/// difference exceeds that. Thread-safe.
class message_age
{
public:
    /// Time that the message spent on its way beyond the fastest one of this
    /// sender's incarnation. Zero for the first message of an incarnation.
    duration of(const host_id& sender, incarnation_number incarnation, time_point sent_at,
                time_point received_at)
    {
        const duration difference = received_at - sent_at;
        const std::lock_guard lock{mutex_};
        entry& it = entries_[sender];
        if (it.incarnation != incarnation || difference < it.smallest)
            it = entry{incarnation, difference};
        return difference - it.smallest;
    }

private:
    struct entry
    {
        incarnation_number incarnation = 0;
        duration smallest = duration::max();
    };

    std::mutex mutex_;
    std::map<host_id, entry> entries_;
};

} // namespace ebonywick
