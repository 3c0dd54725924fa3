// Rendezvous choice of relays and replacement of those that do not answer.
#include "peers/digestqueries.h"

#include "base/hashing.h"

#include <algorithm>

namespace ebonywick {

namespace {

// How long a relay that did not answer is not asked again if there are others. Longer than the
// time for which a restarting host is away.
constexpr duration avoidance_time = std::chrono::seconds{5};

} // namespace

bool digest_queries::eligible(const host_record& it, bool own_domain, time_point now) const
{
    if (it.id == self_.id || (it.domain == self_.domain) != own_domain)
        return false;
    const auto avoided = avoided_until_.find(it.id);
    return avoided == avoided_until_.end() || avoided->second <= now;
}

void digest_queries::choose(slot& of, bool own_domain, std::span<const host_record> relays,
                            time_point now)
{
    const host_record* best = nullptr;
    const auto weight = [&](const host_record& it) {
        return rendezvous_weight(self_.id.value(), it.id.value());
    };
    // Falls back to the other failure domains, or to the own one.
    for (const bool domain : {own_domain, !own_domain}) {
        for (const host_record& it : relays) {
            const bool taken = std::any_of(slots_.begin(), slots_.end(), [&](const slot& other) {
                return &other != &of && other.relay && other.relay->id == it.id;
            });
            if (!taken && eligible(it, domain, now) &&
                (best == nullptr || weight(it) > weight(*best)))
                best = &it;
        }
        if (best != nullptr)
            break;
    }
    of.relay = best != nullptr ? std::optional{*best} : std::nullopt;
}

std::vector<host_record> digest_queries::next(std::span<const host_record> relays, time_point now)
{
    std::erase_if(avoided_until_, [&](const auto& it) { return it.second <= now; });
    std::vector<host_record> out;
    bool own_domain = true;
    for (slot& it : slots_) {
        if (it.relay && !it.answered)
            avoided_until_[it.relay->id] = now + avoidance_time;
        const bool known = it.relay && std::any_of(relays.begin(), relays.end(),
                                                   [&](const auto& of) { return of == *it.relay; });
        // A fallback to the wrong failure domain is reconsidered each time.
        const bool right_domain = it.relay && (it.relay->domain == self_.domain) == own_domain;
        if (!known || !it.answered || !right_domain)
            choose(it, own_domain, relays, now);
        it.answered = false;
        if (it.relay)
            out.push_back(*it.relay);
        own_domain = false;
    }
    return out;
}

void digest_queries::answered(const host_id& from, time_point now)
{
    last_answer_ = now;
    for (slot& it : slots_) {
        if (it.relay && it.relay->id == from)
            it.answered = true;
    }
}

} // namespace ebonywick
