// Which configuration and roster versions the witnesses confirm, and whether
// this host, if it is a witness, may confirm them itself.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "membership/hoststate.h"
#include "settings/roster.h"

#include <map>
#include <optional>
#include <vector>

namespace ebonywick {

/// Currency rule of one host. Not thread-safe.
///
/// A witness without knowledge of its former life issues no token until
/// - it has tokens, issued after its start or appointment, from a majority of
///   the other witnesses of each set, none above its own versions; or
/// - a majority of the witnesses of each set, itself included, were all heard
///   without such knowledge, for lease_duration + freshness_bound, and this host
///   has the newest versions that any host has shown. That majority could give
///   tokens to nobody meanwhile, so no host is current any more when it ends; the
///   wait lets the peers and the store show newer versions. This starts a new
///   fleet, and one whose hosts were all restarted.
class currency_tracker
{
public:
    currency_tracker(host_id self, incarnation_number incarnation, time_point started);

    void set_roster(const roster& hosts, object_version version, time_point now);
    void set_config(object_version version, time_point now);

    /// A relayed token; `issued` is a lower bound of the time of issue.
    void add_token(const currency_token& token, time_point issued);
    /// A direct reply of another host; `issues` tells whether it issues tokens.
    void note_reply(const host_id& from, incarnation_number incarnation, bool issues);
    /// Some host shows these versions.
    void note_versions(object_version config, object_version roster);

    /// Issues this host's own token and renews the derived times.
    void advance(time_point now);

    /// Tokens to pass on, with their ages.
    [[nodiscard]] std::vector<currency_token> tokens(time_point now) const;
    [[nodiscard]] time_point current_until() const { return current_until_; }
    /// Since when a majority of each witness set is known to have this host's
    /// roster and configuration; empty: not known yet.
    [[nodiscard]] std::optional<time_point> confirmed_at() const { return confirmed_at_; }
    /// Witnesses that this host asks directly, because it may issue no token yet.
    [[nodiscard]] std::vector<host_id> witnesses_to_ask() const;

private:
    struct seen_token
    {
        currency_token token;
        time_point issued{};
    };
    using witness_set = std::vector<host_id>;

    [[nodiscard]] bool is_witness() const;
    [[nodiscard]] bool learned_from_others(const witness_set& set) const;
    [[nodiscard]] bool all_new(const witness_set& set) const;
    [[nodiscard]] time_point set_current_until(const witness_set& set) const;
    [[nodiscard]] bool set_confirms(const witness_set& set) const;
    void learn(time_point now);

    host_id self_;
    incarnation_number incarnation_;
    witness_set witnesses_;
    witness_set previous_;
    object_version config_ = 0;
    object_version roster_ = 0;
    // Highest versions that any host has shown.
    object_version shown_config_ = 0;
    object_version shown_roster_ = 0;
    std::map<host_id, seen_token> tokens_;
    bool issues_ = false;
    // Start or appointment: older tokens prove nothing about this life.
    time_point unready_since_{};
    // Witnesses heard without knowledge since unready_since_.
    std::map<host_id, incarnation_number> new_witnesses_;
    std::optional<time_point> all_new_since_;
    time_point current_until_{};
    std::optional<time_point> confirmed_at_;
};

} // namespace ebonywick
