// Selection, probing and replacement of the links to one upstream.
#include "dispatch/linkpool.h"

#include <algorithm>

namespace ebonywick {

namespace {

// A link that was verified longer ago is probed before it carries a call. This happens
// only after a pause of the process or missed ticks.
constexpr duration max_unverified_time = 3 * probe_interval;
// A link reports the end of a probe within 100 ms and a failed connection within 500 ms.
// If it has not reported after these timeouts, its thread is taken to be stuck.
constexpr duration probe_report_timeout = std::chrono::milliseconds{500};
constexpr duration open_report_timeout = std::chrono::milliseconds{1500};
constexpr duration reopen_delay = std::chrono::milliseconds{500};

} // namespace

void link_pool::configure(std::uint32_t slots, std::uint32_t connections)
{
    // One of the declared connections is reserved for cancel requests and one for a
    // connection that the upstream has not closed yet.
    const std::uint32_t cap = connections > 2 ? connections - 2 : 1;
    max_links_ = std::min(slots + 2, cap);
}

link_pool::link* link_pool::find(std::uint32_t number)
{
    const auto it = std::find_if(links_.begin(), links_.end(),
                                 [&](const link& l) { return l.number == number; });
    return it == links_.end() ? nullptr : &*it;
}

bool link_pool::usable(const link& it, time_point now) const
{
    return it.state == link_state::idle && !it.needs_probe &&
           now - it.verified_at <= max_unverified_time;
}

std::optional<std::uint32_t> link_pool::acquire(time_point now)
{
    link* best = nullptr;
    for (link& it : links_) {
        if (usable(it, now) && (best == nullptr || it.verified_at > best->verified_at))
            best = &it;
    }
    if (best == nullptr)
        return std::nullopt;
    best->state = link_state::busy;
    best->state_since = now;
    return best->number;
}

void link_pool::return_unused(std::uint32_t number)
{
    link* it = find(number);
    if (it != nullptr && it->state == link_state::busy)
        it->state = link_state::idle;
}

void link_pool::release(std::uint32_t number, bool verified, time_point now, actions& out)
{
    link* it = find(number);
    if (it == nullptr || it->state != link_state::busy)
        return;
    it->state = link_state::idle;
    it->state_since = now;
    if (verified)
        mark_verified(*it, now);
    if (draining_ || links_.size() > max_links_)
        close(*it, out);
    else if (!usable(*it, now))
        probe(*it, now, out);
}

void link_pool::discard(std::uint32_t number, time_point now, actions& out)
{
    link* it = find(number);
    if (it == nullptr)
        return;
    close(*it, out);
    for (link& other : links_)
        other.needs_probe = true;
    probe_unverified(now, out);
}

void link_pool::on_opened(const link_opened& ev, time_point now, actions& out)
{
    link* it = find(ev.link);
    if (it == nullptr || it->state != link_state::opening)
        return;
    open_failed_ = !ev.success;
    if (!ev.success) {
        open_failed_at_ = now;
        close(*it, out);
        return;
    }
    it->state = link_state::idle;
    it->state_since = now;
    mark_verified(*it, now);
    if (draining_)
        close(*it, out);
}

void link_pool::on_probed(const link_probed& ev, time_point now, actions& out)
{
    link* it = find(ev.link);
    if (it == nullptr || it->state != link_state::probing)
        return;
    if (!ev.answered) {
        discard(ev.link, now, out);
        return;
    }
    last_probe_sent_ = it->state_since;
    it->state = link_state::idle;
    it->state_since = now;
    mark_verified(*it, now);
    if (draining_ || links_.size() > max_links_)
        close(*it, out);
}

void link_pool::open_missing(std::uint32_t wanted, bool none_usable, time_point now, actions& out)
{
    if (draining_ || (open_failed_ && now - open_failed_at_ < reopen_delay))
        return;
    const bool opening = std::any_of(links_.begin(), links_.end(), [](const link& it) {
        return it.state == link_state::opening;
    });
    if (open_failed_ && opening)
        return;
    auto target = std::max(wanted, 2U);
    if (none_usable && !opening)
        target = std::max(target, static_cast<std::uint32_t>(links_.size()) + 1);
    // After a failed connection, open only one to check whether the upstream is back.
    if (open_failed_)
        target = std::min(target, static_cast<std::uint32_t>(links_.size()) + 1);
    target = std::min(target, max_links_);
    while (links_.size() < target) {
        links_.push_back({next_number_, link_state::opening, now, now});
        out.emplace_back(open_link{next_number_});
        ++next_number_;
    }
}

void link_pool::tick(time_point now, actions& out)
{
    for (std::size_t n = links_.size(); n-- > 0;) {
        const link it = links_[n];
        if (it.state == link_state::opening && now - it.state_since > open_report_timeout)
            on_opened({it.number, false}, now, out);
        else if (it.state == link_state::probing && now - it.state_since > probe_report_timeout)
            discard(it.number, now, out);
        // close() moves the last link into the gap; n stays within the list.
        n = std::min(n, links_.size());
    }
    std::size_t idle = 0;
    const link* latest = nullptr;
    for (const link& it : links_) {
        if (it.state != link_state::idle)
            continue;
        ++idle;
        if (latest == nullptr || it.verified_at > latest->verified_at)
            latest = &it;
    }
    for (link& it : links_) {
        if (it.state != link_state::idle || now - it.verified_at < probe_interval)
            continue;
        // Of several idle links the most recently verified one stays ready for a call until
        // the next tick.
        if (&it == latest && idle > 1 && usable(it, now))
            continue;
        probe(it, now, out);
    }
    probe_unverified(now, out);
}

void link_pool::drain(actions& out)
{
    draining_ = true;
    for (std::size_t n = links_.size(); n-- > 0;) {
        if (links_[n].state != link_state::busy)
            close(links_[n], out);
    }
}

bool link_pool::unavailable() const
{
    return open_failed_ && std::none_of(links_.begin(), links_.end(), [&](const link& it) {
               return it.state == link_state::idle || it.state == link_state::probing ||
                      (it.state == link_state::busy && !it.needs_probe);
           });
}

void link_pool::mark_verified(link& it, time_point now)
{
    it.verified_at = now;
    it.needs_probe = false;
}

void link_pool::probe(link& it, time_point now, actions& out)
{
    it.state = link_state::probing;
    it.state_since = now;
    out.emplace_back(probe_link{it.number});
}

void link_pool::probe_unverified(time_point now, actions& out)
{
    for (link& it : links_) {
        if (it.state == link_state::idle && !usable(it, now))
            probe(it, now, out);
    }
}

void link_pool::close(link& it, actions& out)
{
    out.emplace_back(close_link{it.number});
    it = links_.back();
    links_.pop_back();
}

} // namespace ebonywick
