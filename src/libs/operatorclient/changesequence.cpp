// State machine of one conditional write of a store object.
#include "operatorclient/changesequence.h"

#include "control/objectcodec.h"

#include <algorithm>
#include <utility>

namespace ebonywick {

change_sequence::change_sequence(std::string change_id, object_state base)
    : change_id_(std::move(change_id)), base_state_(std::move(base)),
      newest_version_(base_state_.version)
{
}

change_action change_sequence::start() const
{
    return write_object{base_state_.version, {}};
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
        write_may_take_effect_ = true;
        return read_object{};
    }
    if (const auto* refused = std::get_if<put_refused>(&result)) {
        // This write was refused, but an earlier one without a reply may have taken effect.
        if (write_may_take_effect_)
            return on(read_failed{refused->reason});
        return change_refused{refused->reason};
    }
    // The object has another version than expected: either another change was written, or this
    // change was and the reply was lost.
    newest_version_ = std::max(newest_version_, std::get<put_mismatch>(result).current);
    return read_object{};
}

change_action change_sequence::on(const object_state& current)
{
    const auto& ids = current.change_ids;
    if (std::find(ids.begin(), ids.end(), change_id_) != ids.end())
        return change_accepted{current.version, ids.front() != change_id_};
    if (current.version < newest_version_) {
        if (++retries_ <= max_retries)
            return read_object{retry_delay};
        if (write_may_take_effect_)
            return change_unknown{"the store returned only older versions"};
        return change_conflict{newest_version_};
    }
    if (current.version == base_state_.version) {
        if (++retries_ > max_retries)
            return change_unknown{"the store's replies were lost repeatedly"};
        return write_object{base_state_.version, retry_delay};
    }
    // If the list of change ids no longer reaches back to the base state, it may have contained
    // this change before.
    const bool history_reaches_base =
        base_state_.change_ids.empty()
            ? ids.size() < max_change_ids
            : std::find(ids.begin(), ids.end(), base_state_.change_ids.front()) != ids.end();
    if (write_may_take_effect_ && !history_reaches_base)
        return change_unknown{
            "so many other changes followed that the object no longer shows whether this one was "
            "written"};
    return change_conflict{current.version};
}

change_action change_sequence::on(const read_failed& failure)
{
    if (++retries_ <= max_retries)
        return read_object{retry_delay};
    if (write_may_take_effect_)
        return change_unknown{failure.reason};
    return change_refused{failure.reason};
}

} // namespace ebonywick
