// Requests that have crashed upstreams: which of them are rejected, for how long, and what hosts
// tell each other of them.
#pragma once

#include "base/identifiers.h"
#include "quarantine/constants.h"
#include "quarantine/crashrecord.h"
#include "ratelimits/fleetshare.h"

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace ebonywick {

/// Nothing speaks against the request.
struct pass_request
{
    auto operator<=>(const pass_request&) const = default;
};

/// The request is suspected: one upstream of each service may get it, without hedges and retries.
struct pass_request_once
{
    // It is tried after the end of a block, which is still in force for all other requests.
    bool trial = false;

    auto operator<=>(const pass_request_once&) const = default;
};

/// The request has crashed upstreams and must not be sent.
struct reject_request
{
    // The blocked hash.
    std::uint64_t key = 0;
    // Until it may be tried again; another host may do that.
    duration retry_after{};

    auto operator<=>(const reject_request&) const = default;
};

using quarantine_decision = std::variant<pass_request, pass_request_once, reject_request>;

/// A change that is worth a log line, and that other hosts have to know at once.
struct quarantine_change
{
    enum class kind : std::uint8_t { blocked, released };

    kind what = kind::blocked;
    std::uint64_t key = 0;
    // It is the hash of a resource.
    bool resource = false;
    // Of a block: how often it was blocked, and crashes that this host knows of.
    std::uint32_t strikes = 0;
    std::size_t crashes = 0;

    auto operator<=>(const quarantine_change&) const = default;
};

[[nodiscard]] std::string_view to_string(quarantine_change::kind kind);

/// One host's view. Crashes are counted by the two hashes of a request_key alike. Views of
/// different hosts become the same as far as messages arrive: crashes are added, of two blocks the
/// one with more strikes holds, or else the earlier one, and a release goes before the crashes and
/// blocks that are older. Time is passed in and does not go back. Not thread-safe.
class quarantine
{
public:
    /// `self` is this host.
    explicit quarantine(host_id self);

    /// Decides on a request that has arrived. A trial is counted as begun.
    [[nodiscard]] quarantine_decision decide(const request_key& key, time_point now);
    /// Whether calls of a request that was admitted may no longer be sent. Not for trials.
    [[nodiscard]] bool blocks(const request_key& key) const;

    /// Runs of this host ended because an upstream did.
    void crashed(const std::vector<crash_record>& records, time_point now,
                 std::vector<quarantine_change>& out);
    /// An upstream of the service has run a request to its end.
    void replied(const request_run& run, time_point now, std::vector<quarantine_change>& out);

    /// Hosts that send calls, which try a request in turn after its block.
    void set_sharing_hosts(const sharing_hosts& hosts) { hosts_ = hosts.known; }
    /// What to tell other hosts now. The older blocks are told in turn.
    [[nodiscard]] quarantine_report report(time_point now);
    /// Takes over what another host tells.
    void merge(const quarantine_report& report, time_point now,
               std::vector<quarantine_change>& out);

    /// Keys that are blocked, or were blocked and await a trial.
    [[nodiscard]] std::size_t blocked_count() const;
    /// All keys that are remembered.
    [[nodiscard]] std::size_t size() const { return records_.size(); }
    /// How long the block with this number lasts, from 1.
    [[nodiscard]] static duration block_time(std::uint32_t strikes);

private:
    // Until when a block is remembered: for as long again as it lasted, so that the next one is
    // longer.
    [[nodiscard]] static time_point memory_end(std::uint32_t strikes, time_point blocked_at);

    struct counted_crash
    {
        std::uint32_t attempt = 0;
        std::uint32_t upstream = 0;
        std::uint32_t service = 0;
        time_point at;
    };
    struct record
    {
        bool resource = false;
        // Any two differ in attempt, upstream and moment.
        std::vector<counted_crash> crashes;
        // All upstreams that ended while such a request ran on them, the latest last; at most
        // max_upstreams.
        std::deque<std::uint32_t> upstreams;
        time_point updated_at{};
        // 0 unless blocked.
        std::uint32_t strikes = 0;
        // As in block_report.
        std::uint32_t services = 0;
        time_point blocked_at{};
        // When this host has learned of the block.
        time_point block_known_at{};
        // When this host began its last trial.
        time_point tried_at{};

        [[nodiscard]] bool blocked() const { return strikes > 0; }
        [[nodiscard]] time_point block_end() const { return blocked_at + block_time(strikes); }
        // Until when it is remembered.
        [[nodiscard]] time_point end() const
        {
            return blocked() ? memory_end(strikes, blocked_at)
                             : updated_at + quarantine_constants::crash_retention;
        }
        [[nodiscard]] std::size_t max_crashes() const
        {
            return resource ? quarantine_constants::max_resource_crashes
                            : quarantine_constants::max_crashes;
        }
    };
    struct release
    {
        std::uint64_t key = 0;
        std::uint32_t service = 0;
        time_point at;
        // When this host has learned of it, or has met a host that had not.
        time_point known_at;
    };
    struct own_crash
    {
        crash_record of;
        time_point known_at;
    };
    using record_map = std::unordered_map<std::uint64_t, record>;

    void count(const std::vector<crash_record>& records, time_point now,
               std::vector<quarantine_change>& out);
    void count_for(std::uint64_t key, bool resource, const crash_record& it, time_point now,
                   std::vector<quarantine_change>& out);
    void block(std::uint64_t key, record& of, time_point now, std::vector<quarantine_change>& out);
    // Other requests that ran on the upstreams of a blocked one are not to blame.
    void explain_crashes(std::uint64_t by, const record& of);
    // Whether a blocked request other than `key` explains the end of the upstream.
    [[nodiscard]] bool explained(std::uint64_t key, std::uint32_t upstream) const;
    void release_key(std::uint64_t key, std::uint32_t service, time_point at, time_point now,
                     std::vector<quarantine_change>& out);
    // Whether a reply has shown, at `at` or later, that one of `services` runs the request.
    [[nodiscard]] bool released_since(std::uint64_t key, std::uint32_t services,
                                      time_point at) const;
    void tell_release_again(std::uint64_t key, time_point now);
    [[nodiscard]] bool may_try(std::uint64_t key, const record& of, time_point now) const;
    record& record_of(std::uint64_t key, bool resource, time_point now);
    void forget_outdated(time_point now);
    void forget_one();
    [[nodiscard]] std::vector<block_report> blocks_to_tell(time_point now);

    host_id self_;
    std::vector<host_id> hosts_;
    record_map records_;
    // Oldest first.
    std::deque<release> releases_;
    // Crashes of this host that are still told to others, oldest first.
    std::deque<own_crash> own_crashes_;
    // The first of the older blocks in the next message. Hosts begin with different ones.
    std::size_t next_told_;
};

} // namespace ebonywick
