// Selection of snapshots and replicas, and the observations behind it.
#include "query/replicaselector.h"

#include "query/querycoordinator.h"
#include "query/replicatable.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ebonywick {

using namespace std::chrono_literals;

namespace {

// The hedge delay is this quantile of the latencies, so about 1.5 % of the calls exceed it.
constexpr double hedge_quantile = 0.985;
// A shorter delay would hedge calls that are only delayed by the scheduler.
constexpr duration min_hedge_delay = 1ms;
// Fewer samples do not determine the 0.985 quantile.
constexpr std::uint64_t min_samples = 64;
// The quantile requires a scan of the histogram, so it is not refreshed on each sample.
constexpr std::uint32_t samples_per_refresh = 64;
constexpr double average_weight = 0.1;
// Latency that the score assumes while there is no sample.
constexpr double default_average_ns = 1e6;
// No calls are hedged for this long after an upstream last shed load.
constexpr duration hedge_pause = 100ms;
// A leaving upstream is tried again after this time, because only a reply can show that it
// has returned. Its dispatcher refuses the call while it is still leaving.
constexpr duration leaving_recheck_delay = 2s;
// An upstream is probed if its versions are unknown or were reported longer ago than this.
constexpr duration probe_interval = 1s;
// An upstream that shed load or failed is avoided for this long. The backoff after failures
// doubles with each failure in a row; its maximum is about the time of a handover.
constexpr duration overload_backoff = 10ms;
constexpr duration min_failure_backoff = 100ms;
constexpr duration max_failure_backoff = 2s;

duration failure_backoff(std::uint32_t failures)
{
    return std::min(max_failure_backoff, min_failure_backoff * (1U << std::min(failures, 5U)));
}

enum eligibility : std::uint8_t { preferred, avoided, last_resort, not_eligible };

} // namespace

struct replica_selector::state
{
    explicit state(std::uint64_t seed) : random(seed) {}

    [[nodiscard]] eligibility eligibility_of(const replica_record& record, snapshot wanted) const;
    [[nodiscard]] bool is_probe_due(const replica_record& record) const;
    [[nodiscard]] double score(const replica_record& record) const;
    replica_table::index pick_less_loaded(std::span<const replica_table::index> candidates);
    void add_sample(replica_record& record, duration latency);

    replica_table table;
    random_source random;
    latency_window latencies;
    time_point now{};
    time_point hedge_pause_until{};
    time_point next_exploration_at{};
    duration hedge_delay = duration::zero();
    std::uint32_t samples_since_refresh = 0;
    // Moving average over all upstreams; used for an upstream without samples.
    double group_average_ns = default_average_ns;
    // Cache for newest_complete(); invalidated by observations that may change it.
    std::vector<snapshot> complete_snapshots;
    time_point complete_valid_until = time_point::min();
};

eligibility replica_selector::state::eligibility_of(const replica_record& record,
                                                    snapshot wanted) const
{
    if (!record.is_usable(now))
        return not_eligible;
    const bool is_avoided = record.avoided_until > now;
    if (wanted.version == 0 || record.holds(wanted))
        return is_avoided ? avoided : preferred;
    return record.versions_known ? not_eligible : last_resort;
}

bool replica_selector::state::is_probe_due(const replica_record& record) const
{
    // An old list of versions is treated like none: an upstream that has switched to a new
    // version gets no calls for the old one, so no reply would show the switch.
    return now != time_point{} && now >= record.next_probe_at && record.is_usable(now) &&
           record.avoided_until <= now && now - record.versions_reported_at >= probe_interval;
}

double replica_selector::state::score(const replica_record& record) const
{
    const double average = record.average_ns > 0.0 ? record.average_ns : group_average_ns;
    const double load = double(record.outstanding) + double(record.reported_queue) / 2.0 + 1.0;
    // A cold upstream runs fewer calls at once, so each outstanding call weighs more.
    return average * load * (record.cold ? record.cold_factor : 1.0);
}

replica_table::index
replica_selector::state::pick_less_loaded(std::span<const replica_table::index> candidates)
{
    if (candidates.size() == 1)
        return candidates.front();
    const std::size_t first = random.below(candidates.size());
    std::size_t second = random.below(candidates.size() - 1);
    if (second >= first)
        ++second;
    const double a = score(table.at(candidates[first]));
    const double b = score(table.at(candidates[second]));
    return a <= b ? candidates[first] : candidates[second];
}

void replica_selector::state::add_sample(replica_record& record, duration latency)
{
    const auto sample = static_cast<double>(latency.count());
    if (record.average_ns == 0.0)
        record.average_ns = sample;
    record.average_ns += average_weight * (sample - record.average_ns);
    group_average_ns += average_weight * (sample - group_average_ns);
    latencies.add(latency);
    if (++samples_since_refresh < samples_per_refresh || latencies.sample_count() < min_samples)
        return;
    samples_since_refresh = 0;
    hedge_delay = std::max(min_hedge_delay, latencies.quantile(hedge_quantile));
}

replica_selector::replica_selector(std::uint64_t seed) : state_(std::make_unique<state>(seed)) {}

replica_selector::~replica_selector() = default;

void replica_selector::advance(time_point now)
{
    state_->now = std::max(state_->now, now);
}

void replica_selector::configure(const service_declaration& service,
                                 const std::vector<failure_domain_id>& domains_out)
{
    state_->table.configure(service, domains_out);
    state_->complete_valid_until = time_point::min();
}

void replica_selector::set_unreachable(const std::set<upstream_id>& upstreams)
{
    for (replica_record& record : state_->table.records())
        record.unreachable = upstreams.contains(record.id);
    state_->complete_valid_until = time_point::min();
}

std::optional<snapshot> replica_selector::newest_complete(index_version above) const
{
    state& st = *state_;
    if (st.now >= st.complete_valid_until) {
        st.complete_snapshots = st.table.complete_snapshots(st.now);
        st.complete_valid_until = st.table.next_leaving_end(st.now);
    }
    if (st.complete_snapshots.empty() || st.complete_snapshots.front().version <= above)
        return std::nullopt;
    return st.complete_snapshots.front();
}

std::optional<shard_map_epoch> replica_selector::take_unexplored_epoch()
{
    state& st = *state_;
    const std::optional<snapshot> known = newest_complete();
    if (!known || known->epoch >= st.table.newest_epoch() || st.now < st.next_exploration_at)
        return std::nullopt;
    st.next_exploration_at = st.now + probe_interval;
    return st.table.newest_epoch();
}

std::optional<replica_choice> replica_selector::choose(const shard_name& shard, snapshot wanted,
                                                       std::span<const upstream_id> excluded)
{
    state& st = *state_;
    const std::span<const replica_table::index> replicas =
        st.table.replicas_of(shard, wanted.epoch);
    std::array<replica_table::index, 16> candidates{};
    std::size_t count = 0;
    eligibility best = not_eligible;
    std::optional<replica_table::index> probe;
    for (const replica_table::index it : replicas) {
        const replica_record& record = st.table.at(it);
        if (std::find(excluded.begin(), excluded.end(), record.id) != excluded.end())
            continue;
        const eligibility rank = st.eligibility_of(record, wanted);
        if (rank >= last_resort && excluded.empty() && st.is_probe_due(record))
            probe = it;
        if (rank == not_eligible || rank > best || (rank == best && count == candidates.size()))
            continue;
        if (rank < best)
            count = 0;
        best = rank;
        candidates[count++] = it;
    }
    if (count == 0 && !probe)
        return std::nullopt;
    const replica_table::index chosen =
        probe ? *probe : st.pick_less_loaded(std::span{candidates.data(), count});
    if (probe)
        st.table.at(chosen).next_probe_at = st.now + probe_interval;
    replica_choice choice{st.table.at(chosen).id, {}};
    choice.passed_over.reserve(replicas.size() - 1);
    for (const replica_table::index it : replicas) {
        if (it != chosen)
            choice.passed_over.push_back(st.table.at(it).id);
    }
    return choice;
}

void replica_selector::call_sent(const upstream_id& upstream)
{
    if (replica_record* record = state_->table.find(upstream))
        ++record->outstanding;
}

void replica_selector::call_ended(const upstream_id& upstream, std::optional<duration> latency)
{
    replica_record* record = state_->table.find(upstream);
    if (record == nullptr)
        return;
    // The count is reset if the declaration dropped and restored the upstream meanwhile.
    if (record->outstanding > 0)
        --record->outstanding;
    if (!latency)
        return;
    record->failures_in_a_row = 0;
    record->avoided_until = time_point{};
    state_->add_sample(*record, *latency);
}

void replica_selector::call_cancelled(const upstream_id& upstream, duration elapsed)
{
    call_ended(upstream, std::nullopt);
    // A call that was cancelled early says nothing about its latency.
    if (state_->hedge_delay == duration::zero() || elapsed < state_->hedge_delay)
        return;
    if (replica_record* record = state_->table.find(upstream))
        state_->add_sample(*record, elapsed);
}

void replica_selector::observe_failure(const upstream_id& upstream, error_kind kind,
                                       snapshot wanted)
{
    state& st = *state_;
    replica_record* record = st.table.find(upstream);
    if (record == nullptr)
        return;
    switch (kind) {
    case error_kind::version_not_held:
        if (std::erase_if(record->versions, [&](const held_version& it) {
                return it.version == wanted.version && (it.epoch == 0 || it.epoch == wanted.epoch);
            }) > 0)
            st.complete_valid_until = time_point::min();
        return;
    case error_kind::upstream_leaving:
        record->leaving_until = st.now + leaving_recheck_delay;
        st.complete_valid_until = time_point::min();
        return;
    case error_kind::overloaded:
        record->avoided_until = std::max(record->avoided_until, st.now + overload_backoff);
        return;
    case error_kind::cancelled:
    case error_kind::deadline_too_short:
        return;
    case error_kind::reply_lost:
    case error_kind::reply_invalid:
    case error_kind::deadline_exceeded:
        // A single lost reply is more likely a fault of a link than of the upstream.
        if (++record->failures_in_a_row >= 2)
            record->avoided_until = st.now + failure_backoff(record->failures_in_a_row - 2);
        return;
    default:
        record->avoided_until = st.now + failure_backoff(record->failures_in_a_row++);
        return;
    }
}

void replica_selector::observe_snapshot(const upstream_id& upstream, snapshot from)
{
    replica_record* record = state_->table.find(upstream);
    if (record == nullptr)
        return;
    for (held_version& it : record->versions) {
        if (it.version != from.version || it.epoch == from.epoch)
            continue;
        it.epoch = from.epoch;
        state_->complete_valid_until = time_point::min();
    }
}

void replica_selector::observe(const upstream_report& report)
{
    state& st = *state_;
    if (st.table.apply(report, st.now, leaving_recheck_delay))
        st.complete_valid_until = time_point::min();
    if (report.shedding)
        observe_shedding(st.now);
}

duration replica_selector::hedge_delay() const
{
    return state_->hedge_delay;
}

bool replica_selector::may_hedge(time_point now) const
{
    return now >= state_->hedge_pause_until;
}

bool replica_selector::is_cold(const upstream_id& upstream) const
{
    const replica_record* record = state_->table.find(upstream);
    return record == nullptr || record->cold;
}

void replica_selector::observe_shedding(time_point now)
{
    advance(now);
    state_->hedge_pause_until = std::max(state_->hedge_pause_until, now + hedge_pause);
}

} // namespace ebonywick
