// Tracks up to when the witnesses confirm this host's versions of the configuration
// and the roster, and whether this host, as a witness, may confirm versions itself.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "membership/hoststate.h"
#include "settings/roster.h"

#include <map>
#include <optional>
#include <vector>

namespace ebonywick {

/// Currency of one host: it is current while a majority of each witness set has
/// confirmed, within freshness_bound, that it knows no newer version. During a
/// change of witnesses there are two sets, the present and the previous one.
/// Not thread-safe.
///
/// A witness keeps no state across restarts. After its start or appointment it
/// issues no token until
/// - it has tokens, issued since then, from a majority of the other witnesses of
///   each set, none with a newer version than its own; or
/// - a majority of the witnesses of each set, itself included, has been heard not
///   to issue tokens for lease_duration + freshness_bound, and this host has the
///   newest versions announced by any host. Without that majority no host got
///   tokens meanwhile, so no host is current any more at the end of the wait, and
///   peers and the store had time to announce newer versions. This is how a new
///   fleet starts, and one whose hosts were all restarted.
class currency_tracker
{
public:
    currency_tracker(host_id self, incarnation_number incarnation, time_point started);

    void set_roster(const roster& hosts, object_version version, time_point now);
    void set_config(object_version version, time_point now);

    /// Takes in a token of `token.witness`, received directly or relayed. `issued` is
    /// a lower bound of the time of issue.
    void add_token(const currency_token& token, time_point issued);
    /// Another host replied to a heartbeat; `issues` is whether it issues tokens.
    void note_reply(const host_id& from, incarnation_number incarnation, bool issues);
    /// A host has announced these versions.
    void note_versions(object_version config, object_version roster);

    /// Renews this host's own token, if it may issue one, and recomputes
    /// current_until() and confirmed_at().
    void advance(time_point now);

    /// Tokens to relay, with their present ages. Expired ones are left out.
    [[nodiscard]] std::vector<currency_token> tokens(time_point now) const;
    [[nodiscard]] time_point current_until() const { return current_until_; }
    /// When this host learned that a majority of each witness set has its roster and
    /// configuration versions; empty: not known yet.
    [[nodiscard]] std::optional<time_point> confirmed_at() const { return confirmed_at_; }
    /// Witnesses to which this host sends heartbeats because it may not issue tokens
    /// yet; empty if it may, or if it is no witness.
    [[nodiscard]] std::vector<host_id> witnesses_to_ask() const;

private:
    struct received_token
    {
        currency_token token;
        time_point issued{};
    };
    using witness_set = std::vector<host_id>;

    [[nodiscard]] bool is_witness() const;
    // A majority of the other witnesses has issued tokens since appointed_at_, none with
    // a newer version than this host's.
    [[nodiscard]] bool majority_of_others_confirms(const witness_set& set) const;
    [[nodiscard]] bool majority_not_issuing(const witness_set& set) const;
    [[nodiscard]] time_point current_until_of(const witness_set& set) const;
    // A majority of the witnesses has this host's versions or newer ones.
    [[nodiscard]] bool majority_has_own_versions(const witness_set& set) const;
    void update_issuing(time_point now);

    host_id self_;
    incarnation_number incarnation_;
    witness_set witnesses_;
    witness_set previous_;
    object_version config_ = 0;
    object_version roster_ = 0;
    // Newest versions announced by any host.
    object_version newest_config_ = 0;
    object_version newest_roster_ = 0;
    std::map<host_id, received_token> tokens_;
    bool issues_tokens_ = false;
    // Start of this incarnation, or a later appointment as witness. Older tokens do
    // not count for the right to issue tokens.
    time_point appointed_at_{};
    // Witnesses that did not issue tokens when they were heard since appointed_at_.
    std::map<host_id, incarnation_number> witnesses_not_issuing_;
    std::optional<time_point> majority_not_issuing_since_;
    time_point current_until_{};
    std::optional<time_point> confirmed_at_;
};

} // namespace ebonywick
