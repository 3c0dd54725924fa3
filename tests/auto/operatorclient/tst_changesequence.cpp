// Tests of the outcome of an operator's change with lost replies, concurrent changes and outages
// of the store.
#include "control/objectcodec.h"
#include "operatorclient/changesequence.h"

#include <criterion/criterion.h>

#include <random>

using namespace ebonywick;

namespace {

const object_state base{7, {"other"}};
const change_event lost = put_result{put_unconfirmed{}};
const change_event refused = put_result{put_refused{"down"}};
const change_event mismatch = put_result{put_mismatch{8}};
const change_event unreadable = read_failed{"down"};

// The action after `events`.
change_action replay(const std::vector<change_event>& events, const object_state& from = base)
{
    change_sequence sequence{"mine", from};
    auto action = sequence.start();
    for (const auto& event : events)
        action = sequence.handle(event);
    return action;
}

bool is_write_at(const change_action& action, object_version version)
{
    const auto* write = std::get_if<write_object>(&action);
    return write != nullptr && write->expected == version;
}

} // namespace

// Failure: an unconditional write overwrites another operator's change.
Test(change_sequence, writes_are_conditional_on_the_version_read)
{
    cr_assert((is_write_at(replay({}), 7)));
    cr_assert((is_write_at(replay({}, {}), 0)));
    cr_assert((replay({put_result{put_accepted{8}}}) == change_action{change_accepted{8, false}}));
}

// Failure: a change whose reply was lost is reported as a conflict with itself.
Test(change_sequence, a_change_with_a_lost_reply_is_found_by_its_id)
{
    cr_assert((replay({lost, object_state{8, {"mine", "other"}}}) ==
               change_action{change_accepted{8, false}}));
    cr_assert((replay({lost, object_state{9, {"later", "mine", "other"}}}) ==
               change_action{change_accepted{9, true}}));
    // The write without a reply takes effect only after the object was read.
    cr_assert((is_write_at(replay({lost, base}), 7)));
    cr_assert((replay({lost, base, mismatch, object_state{8, {"mine", "other"}}}) ==
               change_action{change_accepted{8, false}}));
}

// Failure: an operator whose change was not written is told that it was accepted.
Test(change_sequence, another_change_is_a_conflict)
{
    cr_assert((replay({mismatch, object_state{8, {"theirs", "other"}}}) ==
               change_action{change_conflict{8}}));
    cr_assert((replay({lost, object_state{8, {"theirs", "other"}}}) ==
               change_action{change_conflict{8}}));
}

// Failure: a stale read after a mismatch or a lost reply decides the outcome.
Test(change_sequence, stale_reads_are_repeated)
{
    cr_assert(std::holds_alternative<read_object>(replay({mismatch, base})));
    cr_assert(std::holds_alternative<read_object>(replay({lost, object_state{6, {"older"}}})));
    std::vector<change_event> events{mismatch};
    events.insert(events.end(), change_sequence::max_retries + 1, base);
    cr_assert((replay(events) == change_action{change_conflict{8}}));
    events.insert(events.begin(), {lost, base});
    cr_assert(std::holds_alternative<change_unknown>(replay(events)));
}

// Failure: a change that may still be written is reported as not written.
Test(change_sequence, an_outage_is_refused_only_if_nothing_can_be_written)
{
    cr_assert((replay({refused}) == change_action{change_refused{"down"}}));
    std::vector<change_event> events{mismatch};
    events.insert(events.end(), change_sequence::max_retries + 1, unreadable);
    cr_assert((replay(events) == change_action{change_refused{"down"}}));
    events.front() = lost;
    cr_assert((replay(events) == change_action{change_unknown{"down"}}));
    events.pop_back();
    cr_assert(std::holds_alternative<read_object>(replay(events)));
    // The refusal of the second write does not tell the outcome of the first.
    cr_assert((std::holds_alternative<read_object>(replay({lost, base, refused}))));
    // The change ids no longer reach back to the base state, so the id may have been dropped.
    const object_state moved{40, std::vector<std::string>(max_change_ids, "theirs")};
    cr_assert((std::holds_alternative<change_unknown>(replay({lost, moved}))));
    cr_assert((replay({mismatch, moved}) == change_action{change_conflict{40}}));
}

// Failure: a sequence of faults leads to a wrong outcome, or to none within 40 steps.
Test(change_sequence, outcomes_are_correct_for_random_faults)
{
    std::mt19937 engine{11};
    for (int round = 0; round < 20000; ++round) {
        object_state stored = base;
        // Returned by stale reads.
        object_state previous{6, {"older"}};
        bool was_written = false;
        // A write had no reply and may still take effect.
        bool in_flight = false;
        change_sequence sequence{"mine", base};
        auto action = sequence.start();
        int steps = 0;
        const auto write = [&](const std::string& id) {
            previous = stored;
            ++stored.version;
            stored.change_ids.insert(stored.change_ids.begin(), id);
            stored.change_ids.resize(std::min(stored.change_ids.size(), max_change_ids));
            was_written = was_written || id == "mine";
        };
        for (; std::holds_alternative<write_object>(action) ||
               std::holds_alternative<read_object>(action);
             ++steps) {
            cr_assert_lt(steps, 40);
            for (auto others = engine() % 24; others > 22; --others)
                write("theirs");
            if (engine() % 200 == 0)
                for (int it = 0; it < 20; ++it)
                    write("theirs");
            if (in_flight && engine() % 2 == 0) {
                in_flight = false;
                if (stored.version == base.version)
                    write("mine");
            }
            const auto fault = engine() % 3;
            if (std::holds_alternative<read_object>(action)) {
                action = sequence.handle(fault == 0   ? unreadable
                                         : fault == 1 ? change_event{previous}
                                                      : change_event{stored});
            } else if (fault == 0) {
                action = sequence.handle(refused);
            } else if (fault == 1) {
                in_flight = true;
                action = sequence.handle(lost);
            } else if (stored.version == std::get<write_object>(action).expected) {
                write("mine");
                action = sequence.handle(put_result{put_accepted{stored.version}});
            } else {
                action = sequence.handle(put_result{put_mismatch{stored.version}});
            }
        }
        if (std::holds_alternative<change_accepted>(action))
            cr_assert(was_written);
        else if (!std::holds_alternative<change_unknown>(action))
            cr_assert(!was_written && (!in_flight || stored.version != base.version));
    }
}
