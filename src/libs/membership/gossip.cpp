// Member table and bounded retransmission of member updates.
#include "membership/gossip.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <tuple>
#include <utility>

namespace ebonywick {

namespace {

bool is_newer(const member_update& a, const member_update& b)
{
    // Two monitors may assign the same sequence; then the status decides.
    return std::tie(a.incarnation, a.sequence, a.status) >
           std::tie(b.incarnation, b.sequence, b.status);
}

} // namespace

member_gossip::member_gossip(host_id self, incarnation_number incarnation)
    : own_{std::move(self), incarnation, 1, host_status::joining}
{
}

void member_gossip::set_roster(const roster& hosts)
{
    // Sequence 0 marks a host from which no update has arrived yet.
    std::map<host_id, record> kept;
    for (const roster_host& host : hosts.hosts) {
        const auto it = members_.find(host.id);
        if (host.id != own_.host)
            kept.emplace(host.id, it == members_.end()
                                      ? record{member_update{host.id, 0, 0, host_status::joining}}
                                      : it->second);
    }
    members_ = std::move(kept);
    std::erase_if(to_retransmit_, [&](const auto& it) { return !members_.contains(it); });
}

std::uint32_t member_gossip::retransmissions() const
{
    // About three times the number of rounds in which an update reaches every host.
    return 3 * static_cast<std::uint32_t>(std::bit_width(members_.size() + 1));
}

void member_gossip::announce(host_status status)
{
    if (own_.status == status)
        return;
    ++own_.sequence;
    own_.status = status;
}

std::optional<member_update> member_gossip::mark_down(const host_id& host)
{
    const auto it = members_.find(host);
    if (it == members_.end() || it->second.update.status == host_status::down)
        return std::nullopt;
    member_update update = it->second.update;
    ++update.sequence;
    update.status = host_status::down;
    it->second = record{update, retransmissions()};
    to_retransmit_.insert(update.host);
    return update;
}

bool member_gossip::apply(const member_update& update)
{
    if (update.host == own_.host) {
        superseded_ = superseded_ || update.incarnation > own_.incarnation;
        if (update.incarnation == own_.incarnation && update.status != own_.status &&
            update.sequence >= own_.sequence)
            own_.sequence = update.sequence + 1;
        return false;
    }
    const auto it = members_.find(update.host);
    if (it == members_.end())
        return false;
    record& known = it->second;
    // A copy from another host counts as one retransmission.
    if (known.sends_left > 0 && update == known.update && --known.sends_left == 0)
        to_retransmit_.erase(update.host);
    if (!is_newer(update, known.update))
        return false;
    it->second = record{update, retransmissions()};
    to_retransmit_.insert(update.host);
    return true;
}

host_status member_gossip::status_of(const host_id& host) const
{
    if (host == own_.host)
        return own_.status;
    const auto it = members_.find(host);
    return it == members_.end() ? host_status::joining : it->second.update.status;
}

incarnation_number member_gossip::incarnation_of(const host_id& host) const
{
    if (host == own_.host)
        return own_.incarnation;
    const auto it = members_.find(host);
    return it == members_.end() ? 0 : it->second.update.incarnation;
}

std::vector<member_update> member_gossip::updates_for(const host_id& to, bool with_own,
                                                      std::size_t repeats, const host_id* about)
{
    std::vector<member_update> updates;
    const auto add = [&](const member_update& update) {
        const bool listed = std::any_of(updates.begin(), updates.end(),
                                        [&](const auto& it) { return it.host == update.host; });
        if (updates.size() < max_updates && update.sequence != 0 && !listed)
            updates.push_back(update);
    };
    if (with_own)
        add(own_);
    if (const auto it = members_.find(to);
        it != members_.end() && it->second.update.status == host_status::down)
        add(it->second.update);
    if (about != nullptr)
        if (const auto it = members_.find(*about); it != members_.end())
            add(it->second.update);

    auto next = to_retransmit_.lower_bound(next_retransmission_);
    for (std::size_t n = to_retransmit_.size(); n > 0 && updates.size() < max_updates; --n) {
        if (next == to_retransmit_.end())
            next = to_retransmit_.begin();
        if (*next == to) {
            ++next;
            continue;
        }
        record& known = members_.at(*next);
        add(known.update);
        next = --known.sends_left == 0 ? to_retransmit_.erase(next) : std::next(next);
    }
    next_retransmission_ = next == to_retransmit_.end() ? host_id{} : *next;

    auto it = members_.lower_bound(next_repeat_);
    for (std::size_t n = 0; n < std::min(repeats, members_.size()); ++n, ++it) {
        if (it == members_.end())
            it = members_.begin();
        add(it->second.update);
    }
    next_repeat_ = it == members_.end() ? host_id{} : it->first;
    return updates;
}

} // namespace ebonywick
