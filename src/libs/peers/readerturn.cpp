// Times of the readers' turns.
#include "peers/readerturn.h"

namespace ebonywick {

duration time_to_turn(const reader_position& position, duration interval, time_point now)
{
    const duration round = interval * static_cast<duration::rep>(position.count);
    const duration due = interval * static_cast<duration::rep>(position.index);
    duration out = (due - now.time_since_epoch() - position.clock_offset) % round;
    while (out < interval / 16)
        out += round;
    return out;
}

} // namespace ebonywick
