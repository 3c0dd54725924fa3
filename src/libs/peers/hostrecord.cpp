// JSON encoding of host records and protobuf encoding of datagrams.
#include "peers/hostrecord.h"

#include "base/hashing.h"
#include "jsontext/jsontext.h"
#include "wire/ebonywick.pb.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace ebonywick {

namespace {

// Layout of EntryHeartbeat.digest_state.
constexpr std::uint32_t ready_bit = 1;
constexpr std::uint32_t leaving_bit = 2;
constexpr std::uint32_t strained_bit = 4;
constexpr std::uint32_t reads_store_bit = 8;
constexpr std::uint32_t age_unit = 16;
// Keeps an encoded age within 32 bits. Such an old entry counts as silent in any case.
constexpr std::int64_t max_age_ms = 100'000;

// More cores than a host has; an entry with a larger number is not of a host.
constexpr double max_processor_share = 1024;

// EntryHeartbeat.limit_rate of an upstream without a limit.
constexpr double no_limit_rate = -1.0;
// Clocks count the time since a start of the system, in ns; this is 146 years.
constexpr std::uint64_t max_sent_at = std::uint64_t{1} << 62U;

std::uint32_t encode_age(duration age)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(age).count(), 0, max_age_ms));
}

std::uint32_t encode_state(const digest_entry& it)
{
    return encode_age(it.age) * age_unit + (it.ready ? ready_bit : 0) +
           (it.leaving ? leaving_bit : 0) + (it.strained ? strained_bit : 0) +
           (it.reads_store ? reads_store_bit : 0);
}

// Fields of RolloutReport.counts for each route.
constexpr int counts_per_route = 8;

void encode_counts(const answer_counts& it, wire::RolloutReport& into)
{
    into.add_counts(it.answers);
    into.add_counts(it.failed);
    into.add_counts(it.timed);
    into.add_counts(it.slow);
}

void encode_rollout(const rollout_report& it, wire::RolloutReport& into)
{
    into.set_order(it.order);
    into.set_stage(static_cast<std::uint32_t>(it.stage));
    into.set_age_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(it.age).count()));
    into.set_clear(it.clear);
    into.set_requests(it.requests);
    into.set_target_calls(it.target_calls);
    for (const route_answers& each : it.routes) {
        into.add_route(each.route);
        encode_counts(each.target, into);
        encode_counts(each.others, into);
    }
}

answer_counts decode_counts(const wire::RolloutReport& in, int at)
{
    return {in.counts(at), in.counts(at + 1), in.counts(at + 2), in.counts(at + 3)};
}

std::optional<rollout_report> decode_rollout(const wire::RolloutReport& in)
{
    constexpr std::uint64_t max_age = 30ULL * 86'400'000;
    if (in.stage() > static_cast<std::uint32_t>(rollout_stage::rolled_back) ||
        in.counts_size() != in.route_size() * counts_per_route || in.age_ms() > max_age)
        return std::nullopt;
    rollout_report out;
    out.order = in.order();
    out.stage = static_cast<rollout_stage>(in.stage());
    out.age = std::chrono::milliseconds{in.age_ms()};
    out.clear = in.clear();
    out.requests = in.requests();
    out.target_calls = in.target_calls();
    for (int it = 0; it < in.route_size(); ++it) {
        const int at = it * counts_per_route;
        out.routes.push_back(
            {in.route(it), decode_counts(in, at), decode_counts(in, at + counts_per_route / 2)});
    }
    return out;
}

// Rounded up, so that what is told does not look newer than it is.
std::uint32_t encode_report_age(duration age)
{
    using std::chrono::milliseconds;
    const auto ms = std::chrono::ceil<milliseconds>(age).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(ms, 0, std::numeric_limits<std::uint32_t>::max()));
}

void encode_quarantine(const quarantine_report& report, wire::EntryHeartbeat& into)
{
    for (const crash_report& it : report.crashes) {
        wire::CrashReport& out = *into.add_crashes();
        out.set_request(it.run.key.request);
        out.set_resource(it.run.key.resource);
        out.set_attempt(it.run.attempt);
        out.set_service(it.run.service);
        out.set_upstream(it.upstream);
        out.set_age_ms(encode_report_age(it.age));
    }
    for (const block_report& it : report.blocks) {
        wire::BlockReport& out = *into.add_blocks();
        out.set_key(it.key);
        out.set_strikes(it.strikes);
        out.set_services(it.services);
        out.set_age_ms(encode_report_age(it.age));
    }
    for (const release_report& it : report.releases) {
        wire::ReleaseReport& out = *into.add_releases();
        out.set_key(it.key);
        out.set_service(it.service);
        out.set_age_ms(encode_report_age(it.age));
    }
}

quarantine_report decode_quarantine(const wire::EntryHeartbeat& in)
{
    using std::chrono::milliseconds;
    quarantine_report out;
    for (const wire::CrashReport& it : in.crashes())
        out.crashes.push_back({{{it.request(), it.resource()}, it.attempt(), it.service()},
                               it.upstream(),
                               milliseconds{it.age_ms()}});
    for (const wire::BlockReport& it : in.blocks())
        out.blocks.push_back({it.key(), it.strikes(), it.services(), milliseconds{it.age_ms()}});
    for (const wire::ReleaseReport& it : in.releases())
        out.releases.push_back({it.key(), it.service(), milliseconds{it.age_ms()}});
    return out;
}

} // namespace

bool applied_revisions::is_ahead_of(const applied_revisions& other) const
{
    if (epoch != other.epoch)
        return epoch > other.epoch;
    return configuration > other.configuration || upstreams > other.upstreams ||
           domains > other.domains || hosts > other.hosts || rollouts > other.rollouts;
}

void applied_revisions::merge(const applied_revisions& other)
{
    if (other.epoch < epoch)
        return;
    if (other.epoch > epoch) {
        *this = other;
        return;
    }
    configuration = std::max(configuration, other.configuration);
    upstreams = std::max(upstreams, other.upstreams);
    domains = std::max(domains, other.domains);
    hosts = std::max(hosts, other.hosts);
    rollouts = std::max(rollouts, other.rollouts);
}

std::string encode_host_record(const host_record& record)
{
    return nlohmann::json{
        {"incarnation", record.incarnation},          {"callers", to_string(record.callers)},
        {"heartbeats", to_string(record.heartbeats)}, {"control", to_string(record.control)},
        {"failure_domain", record.domain.value()},    {"processor_share", record.processor_share}}
        .dump();
}

std::optional<host_record> decode_host_record(const std::string& name, std::string_view content)
{
    try {
        const auto document = parse_json(content);
        const auto callers = parse_endpoint(document.at("callers").get<std::string>());
        const auto heartbeats = parse_endpoint(document.at("heartbeats").get<std::string>());
        const auto control = parse_endpoint(document.at("control").get<std::string>());
        const auto& incarnation = document.at("incarnation");
        const auto processor_share = document.at("processor_share").get<double>();
        if (!callers || !heartbeats || !control || !incarnation.is_number_unsigned() ||
            !(processor_share > 0 && processor_share <= max_processor_share))
            return std::nullopt;
        return host_record{
            host_id{name},  incarnation.get<incarnation_number>(),
            *callers,       *heartbeats,
            *control,       failure_domain_id{document.at("failure_domain").get<std::string>()},
            processor_share};
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::uint32_t digest_hash(const host_id& id)
{
    return static_cast<std::uint32_t>(stable_hash(id.value()));
}

std::string encode_peer_message(const peer_message& message)
{
    const host_heartbeat& heartbeat = message.heartbeat;
    wire::EntryHeartbeat out;
    out.set_host(heartbeat.id.value());
    out.set_incarnation(heartbeat.incarnation);
    out.set_ready(heartbeat.ready);
    out.set_leaving(heartbeat.leaving);
    out.set_strained(heartbeat.strained);
    out.set_config(heartbeat.applied.configuration);
    out.set_upstreams(heartbeat.applied.upstreams);
    out.set_domains(heartbeat.applied.domains);
    out.set_hosts(heartbeat.applied.hosts);
    out.set_store_epoch(heartbeat.applied.epoch);
    out.set_rollouts(heartbeat.applied.rollouts);
    out.set_reads_store(heartbeat.reads_store);
    out.set_retains(heartbeat.retains);
    out.set_query(message.query);
    out.set_answered_query(message.answered_query);
    for (const digest_entry& it : message.digest) {
        out.add_digest_host(it.host);
        out.add_digest_incarnation(it.incarnation);
        out.add_digest_state(encode_state(it));
    }
    for (const limit_report& it : message.limits) {
        out.add_limit_upstream(it.upstream);
        out.add_limit_rate(it.limit.calls_per_second.value_or(no_limit_rate));
        // Rounded up: a statement must not look newer than it is.
        out.add_limit_age(encode_age(it.age + std::chrono::microseconds{999}));
    }
    for (const std::uint64_t it : message.leaving_upstreams)
        out.add_leaving_upstream(it);
    out.set_announces_change(message.announces_change);
    out.set_sent_at_ns(static_cast<std::uint64_t>(message.sent_at.time_since_epoch().count()));
    for (const customer_demand& it : message.customers) {
        out.add_customer(it.customer);
        out.add_customer_weight(it.weight);
    }
    for (const rollout_report& it : message.rollouts)
        encode_rollout(it, *out.add_rollout_reports());
    encode_quarantine(message.quarantine, out);
    return out.SerializeAsString();
}

std::optional<peer_message> decode_peer_message(std::string_view bytes)
{
    wire::EntryHeartbeat in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.host().empty() ||
        in.digest_incarnation_size() != in.digest_host_size() ||
        in.digest_state_size() != in.digest_host_size() ||
        in.limit_rate_size() != in.limit_upstream_size() ||
        in.limit_age_size() != in.limit_upstream_size() ||
        in.customer_weight_size() != in.customer_size() || in.sent_at_ns() > max_sent_at)
        return std::nullopt;
    peer_message out;
    out.heartbeat = {
        host_id{in.host()},
        in.incarnation(),
        in.ready(),
        in.leaving(),
        in.strained(),
        {in.config(), in.upstreams(), in.domains(), in.hosts(), in.store_epoch(), in.rollouts()},
        in.reads_store(),
        in.retains()};
    out.query = in.query();
    out.answered_query = in.answered_query();
    for (int it = 0; it < in.digest_host_size(); ++it) {
        const std::uint32_t state = in.digest_state(it);
        out.digest.push_back({in.digest_host(it), in.digest_incarnation(it),
                              std::chrono::milliseconds{state / age_unit}, (state & ready_bit) != 0,
                              (state & leaving_bit) != 0, (state & strained_bit) != 0,
                              (state & reads_store_bit) != 0});
    }
    out.leaving_upstreams.assign(in.leaving_upstream().begin(), in.leaving_upstream().end());
    for (int it = 0; it < in.customer_size(); ++it)
        out.customers.push_back({in.customer(it), in.customer_weight(it)});
    out.announces_change = in.announces_change();
    out.sent_at = time_point{duration{in.sent_at_ns()}};
    for (const wire::RolloutReport& it : in.rollout_reports()) {
        auto report = decode_rollout(it);
        if (!report)
            return std::nullopt;
        out.rollouts.push_back(*std::move(report));
    }
    out.quarantine = decode_quarantine(in);
    for (int it = 0; it < in.limit_upstream_size(); ++it) {
        const double rate = in.limit_rate(it);
        if (!std::isfinite(rate))
            return std::nullopt;
        out.limits.push_back({in.limit_upstream(it), rate < 0 ? stated_limit{} : stated_limit{rate},
                              std::chrono::milliseconds{in.limit_age(it)}});
    }
    return out;
}

} // namespace ebonywick
