// Metric families of the gateway and their time series by label.
#include "metrics/gatewaymetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <utility>

namespace ebonywick {

namespace {

using prometheus::Counter;
using prometheus::Histogram;

const Histogram::BucketBoundaries& latency_buckets()
{
    static const Histogram::BucketBoundaries buckets{0.002, 0.005, 0.01, 0.02, 0.04, 0.06, 0.1,
                                                     0.15,  0.3,   0.6,  1.2,  2.5,  6.0};
    return buckets;
}

double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

struct gateway_metrics::state
{
    prometheus::Registry registry;
    prometheus::Family<Histogram>& requests =
        prometheus::BuildHistogram()
            .Name("ebonywick_gateway_request_duration_seconds")
            .Help("Time from the arrival of a caller's request to its outcome")
            .Register(registry);
    prometheus::Family<Counter>& calls_started =
        prometheus::BuildCounter()
            .Name("ebonywick_gateway_calls_total")
            .Help("Calls sent to upstreams; hedges and retries are extra load")
            .Register(registry);
    prometheus::Family<Histogram>& calls_ended =
        prometheus::BuildHistogram()
            .Name("ebonywick_gateway_call_duration_seconds")
            .Help("Time from the decision for a call to its end, by result")
            .Register(registry);
    Counter& missing = prometheus::BuildCounter()
                           .Name("ebonywick_gateway_missing_parts_total")
                           .Help("Shards that answers had to leave out")
                           .Register(registry)
                           .Add({});
    prometheus::Family<Counter>& store_calls = prometheus::BuildCounter()
                                                   .Name("ebonywick_gateway_store_calls_total")
                                                   .Help("Calls to the platform's store")
                                                   .Register(registry);
    prometheus::Family<Counter>& unreadable_objects =
        prometheus::BuildCounter()
            .Name("ebonywick_gateway_unreadable_objects_total")
            .Help("Objects of the store that were ignored because they cannot be read")
            .Register(registry);
    Counter& refused_connections =
        prometheus::BuildCounter()
            .Name("ebonywick_gateway_refused_connections_total")
            .Help("Connections that were refused at the addresses of upstreams")
            .Register(registry)
            .Add({});
    Counter& upstream_crashes =
        prometheus::BuildCounter()
            .Name("ebonywick_gateway_upstream_crashes_total")
            .Help("Upstreams that have ended while calls of this host ran on them")
            .Register(registry)
            .Add({});
    Counter& quarantined_requests =
        prometheus::BuildCounter()
            .Name("ebonywick_gateway_quarantined_requests_total")
            .Help("Requests that were rejected because they crash upstreams")
            .Register(registry)
            .Add({});
    Counter& store_restorations =
        prometheus::BuildCounter()
            .Name("ebonywick_gateway_store_restorations_total")
            .Help("Restorations of the store from an older copy that this host has seen")
            .Register(registry)
            .Add({});
    // Time series by label value, since a look-up in the family costs more than the rest of an
    // update.
    std::map<std::pair<std::string, std::string>, Histogram*> request_series;
    std::map<std::string, Counter*, std::less<>> calls_started_series;
    std::map<std::string, Histogram*, std::less<>> calls_ended_series;
};

gateway_metrics::gateway_metrics() : state_(std::make_unique<state>()) {}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::request_ended(const std::string& route, std::string_view outcome,
                                    duration latency)
{
    Histogram*& series = state_->request_series[{route, std::string{outcome}}];
    if (series == nullptr)
        series = &state_->requests.Add({{"route", route}, {"outcome", std::string{outcome}}},
                                       latency_buckets());
    series->Observe(to_seconds(latency));
}

void gateway_metrics::call_started(std::string_view reason)
{
    auto found = state_->calls_started_series.find(reason);
    if (found == state_->calls_started_series.end())
        found = state_->calls_started_series
                    .emplace(reason, &state_->calls_started.Add({{"reason", std::string{reason}}}))
                    .first;
    found->second->Increment();
}

void gateway_metrics::call_ended(std::string_view result, duration latency)
{
    auto found = state_->calls_ended_series.find(result);
    if (found == state_->calls_ended_series.end())
        found = state_->calls_ended_series
                    .emplace(result, &state_->calls_ended.Add({{"result", std::string{result}}},
                                                              latency_buckets()))
                    .first;
    found->second->Observe(to_seconds(latency));
}

void gateway_metrics::shards_missing(std::size_t count)
{
    state_->missing.Increment(static_cast<double>(count));
}

void gateway_metrics::store_call(std::string_view outcome)
{
    state_->store_calls.Add({{"outcome", std::string{outcome}}}).Increment();
}

void gateway_metrics::objects_unreadable(std::string_view collection, std::size_t count)
{
    state_->unreadable_objects.Add({{"collection", std::string{collection}}})
        .Increment(static_cast<double>(count));
}

void gateway_metrics::store_restored()
{
    state_->store_restorations.Increment();
}

void gateway_metrics::connection_refused()
{
    state_->refused_connections.Increment();
}

void gateway_metrics::upstream_crashed()
{
    state_->upstream_crashes.Increment();
}

void gateway_metrics::request_quarantined()
{
    state_->quarantined_requests.Increment();
}

std::string gateway_metrics::exposition(const gauges& values)
{
    const auto set = [&](const char* name, const char* help, double value) {
        prometheus::BuildGauge()
            .Name(name)
            .Help(help)
            .Register(state_->registry)
            .Add({})
            .Set(value);
    };
    set("ebonywick_gateway_config_version", "Routing configuration in force",
        static_cast<double>(values.config_version));
    set("ebonywick_gateway_upstreams", "Upstreams in the table",
        static_cast<double>(values.upstreams));
    set("ebonywick_gateway_limited_upstreams", "Upstreams that state a limit of their calls",
        static_cast<double>(values.limited_upstreams));
    set("ebonywick_gateway_calls_to_limited_upstreams", "Calls to such upstreams since the start",
        static_cast<double>(values.calls_to_limited_upstreams));
    set("ebonywick_gateway_leaving_upstreams",
        "Upstreams that have stated in a reply that they are leaving",
        static_cast<double>(values.leaving_upstreams));
    set("ebonywick_gateway_calls_to_leaving_upstreams", "Calls to such upstreams since the start",
        static_cast<double>(values.calls_to_leaving_upstreams));
    set("ebonywick_gateway_paused_upstreams", "Upstreams that have asked this host for a pause",
        static_cast<double>(values.paused_upstreams));
    set("ebonywick_gateway_calls_to_paused_upstreams", "Calls to such upstreams since the start",
        static_cast<double>(values.calls_to_paused_upstreams));
    set("ebonywick_gateway_blocked_requests",
        "Requests that are rejected because they crash upstreams",
        static_cast<double>(values.blocked_requests));
    set("ebonywick_gateway_upstream_connections", "Open connections to upstreams",
        static_cast<double>(values.upstream_connections));
    set("ebonywick_gateway_upstream_connections_opened", "Connections opened since the start",
        static_cast<double>(values.upstream_connections_opened));
    set("ebonywick_gateway_caller_connections", "Open connections of callers",
        static_cast<double>(values.caller_connections));
    auto& held = prometheus::BuildGauge()
                     .Name("ebonywick_gateway_held_bytes")
                     .Help("Bytes held for callers and others")
                     .Register(state_->registry);
    for (const auto& [of, bytes] : values.held_bytes)
        held.Add({{"class", std::string{of}}}).Set(static_cast<double>(bytes));
    set("ebonywick_gateway_requests_without_room",
        "Requests given up or rejected for want of memory since the start",
        static_cast<double>(values.requests_without_room));
    set("ebonywick_gateway_connections_without_descriptor",
        "Connections closed for want of descriptors since the start",
        static_cast<double>(values.connections_without_descriptor));
    set("ebonywick_gateway_entry_hosts", "Entry hosts that callers are told to use",
        static_cast<double>(values.entry_hosts));
    set("ebonywick_gateway_store_epoch", "Restorations of the store that its replies state",
        static_cast<double>(values.store_epoch));
    auto& ages = prometheus::BuildGauge()
                     .Name("ebonywick_gateway_store_reply_age_seconds")
                     .Help("Time since the store last answered a call of the collection")
                     .Register(state_->registry);
    for (const auto& [collection, age] : values.store_reply_ages)
        ages.Add({{"collection", std::string{collection}}}).Set(to_seconds(age));
    set("ebonywick_gateway_state_behind_seconds",
        "How long this host has lacked a change that another one has",
        to_seconds(values.state_behind));
    set("ebonywick_gateway_log_lines_dropped", "Log lines dropped since the start",
        static_cast<double>(values.log_lines_dropped));
    return prometheus::TextSerializer{}.Serialize(state_->registry.Collect());
}

} // namespace ebonywick
