// Decides how one conditional write of a store object ends.
#include "operatorclient/changesequence.h"

#include "control/objectcodec.h"

#include <algorithm>
#include <utility>

namespace ebonywick {

change_sequence::change_sequence(std::string change_id, object_state base)
    : change_id_(std::move(change_id)), base_(std::move(base)), newest_known_(base_.version)
{
}

change_action change_sequence::start() const
{
    return write_object{base_.version, {}};
}

change_action change_sequence::handle(const change_event& event)
{
    return std::visit([this](const auto& it) { return on(it); }, event);
}

change_action change_sequence::on(const put_result& result)
{
    if (const auto* accepted = std::get_if<put_accepted>(&result))
        return change_accepted{accepted->version, false};
    if (std::holds_alternative<put_unconfirmed>(result)) {
        may_be_written_ = true;
        return read_object{};
    }
    if (const auto* refused = std::get_if<put_refused>(&result)) {
        // An earlier write without a reply may have taken effect.
        if (may_be_written_)
            return on(read_failed{refused->reason});
        return change_refused{refused->reason};
    }
    // The object moved on: by this change, if an earlier reply was lost, or by
    // another one.
    newest_known_ = std::max(newest_known_, std::get<put_mismatch>(result).current);
    return read_object{};
}

change_action change_sequence::on(const object_state& current)
{
    const auto& ids = current.change_ids;
    if (std::find(ids.begin(), ids.end(), change_id_) != ids.end())
        return change_accepted{current.version, ids.front() != change_id_};
    if (current.version < newest_known_) {
        if (++repeats_ <= most_repeats)
            return read_object{repeat_delay};
        if (may_be_written_)
            return change_unknown{"the store returned only older versions"};
        return change_conflict{newest_known_};
    }
    if (current.version == base_.version) {
        if (++repeats_ > most_repeats)
            return change_unknown{"the store's replies were lost repeatedly"};
        return write_object{base_.version, repeat_delay};
    }
    // If the history no longer reaches back to the base, this change may have
    // been accepted and dropped from it.
    const bool covers_base =
        base_.change_ids.empty()
            ? ids.size() < max_change_ids
            : std::find(ids.begin(), ids.end(), base_.change_ids.front()) != ids.end();
    if (may_be_written_ && !covers_base)
        return change_unknown{"too many other changes followed to tell"};
    return change_conflict{current.version};
}

change_action change_sequence::on(const read_failed& failure)
{
    if (++repeats_ <= most_repeats)
        return read_object{repeat_delay};
    if (may_be_written_)
        return change_unknown{failure.reason};
    return change_refused{failure.reason};
}

} // namespace ebonywick
