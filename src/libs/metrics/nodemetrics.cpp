// Metric families of the node and the labels of their time series.
#include "metrics/nodemetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace ebonywick {

namespace {

using prometheus::Histogram;

const Histogram::BucketBoundaries& latency_buckets()
{
    static const Histogram::BucketBoundaries buckets{0.001, 0.002, 0.004, 0.008, 0.016, 0.032,
                                                     0.065, 0.13,  0.25,  0.5,   1.0,   2.0};
    return buckets;
}

const Histogram::BucketBoundaries& wait_buckets()
{
    static const Histogram::BucketBoundaries buckets{0.0001, 0.0005, 0.001, 0.005, 0.02, 0.1, 0.5};
    return buckets;
}

const Histogram::BucketBoundaries& coverage_buckets()
{
    static const Histogram::BucketBoundaries buckets{0.5, 0.9, 0.95, 0.99, 0.9999, 1.0};
    return buckets;
}

double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

struct node_metrics::state
{
    prometheus::Registry registry;

    prometheus::Family<Histogram>& latency =
        prometheus::BuildHistogram()
            .Name("ebonywick_request_duration_seconds")
            .Help("Time from the arrival of a caller's request to its outcome")
            .Register(registry);
    prometheus::Family<Histogram>& coverage =
        prometheus::BuildHistogram()
            .Name("ebonywick_answer_coverage_ratio")
            .Help("Share of a service's shards that an answer covered")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& failures =
        prometheus::BuildCounter()
            .Name("ebonywick_request_failures_total")
            .Help("Requests that ended as not run or unknown, by error kind")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& calls =
        prometheus::BuildCounter()
            .Name("ebonywick_calls_total")
            .Help("Calls sent to upstreams; hedges and retries are extra load")
            .Register(registry);
    Histogram& queue_wait = prometheus::BuildHistogram()
                                .Name("ebonywick_call_queue_wait_seconds")
                                .Help("Time that calls waited in the queues of upstreams")
                                .Register(registry)
                                .Add({}, wait_buckets());
    prometheus::Counter& unmatched = prometheus::BuildCounter()
                                         .Name("ebonywick_unmatched_replies_total")
                                         .Help("Replies that no outstanding call waited for")
                                         .Register(registry)
                                         .Add({});
    prometheus::Counter& expired = prometheus::BuildCounter()
                                       .Name("ebonywick_expired_messages_total")
                                       .Help("Calls between hosts that arrived after their time")
                                       .Register(registry)
                                       .Add({});

    /// Registers the gauge if necessary and sets it.
    void set(const char* name, const char* help, double value)
    {
        prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
    }
};

node_metrics::node_metrics() : state_(std::make_unique<state>()) {}
node_metrics::~node_metrics() = default;

void node_metrics::request_ended(std::string_view service, std::string_view traffic,
                                 std::string_view outcome, duration latency)
{
    state_->latency
        .Add({{"service", std::string{service}},
              {"class", std::string{traffic}},
              {"outcome", std::string{outcome}}},
             latency_buckets())
        .Observe(to_seconds(latency));
}

void node_metrics::coverage_observed(std::string_view service, double share)
{
    state_->coverage.Add({{"service", std::string{service}}}, coverage_buckets()).Observe(share);
}

void node_metrics::request_failed(error_kind kind)
{
    state_->failures.Add({{"kind", std::string{to_string(kind)}}}).Increment();
}

void node_metrics::call_sent(std::string_view service, std::string_view reason)
{
    state_->calls.Add({{"service", std::string{service}}, {"reason", std::string{reason}}})
        .Increment();
}

void node_metrics::queue_wait_observed(duration queue_wait)
{
    state_->queue_wait.Observe(to_seconds(queue_wait));
}

void node_metrics::reply_unmatched()
{
    state_->unmatched.Increment();
}

void node_metrics::message_expired()
{
    state_->expired.Increment();
}

std::string node_metrics::exposition(const gauges& values)
{
    const auto to_double = [](std::uint64_t n) {
        return static_cast<double>(n);
    };
    state& s = *state_;
    s.set("ebonywick_held_searchers", "Searchers that this host holds",
          to_double(values.held_upstreams));
    s.set("ebonywick_cold_searchers", "Held upstreams below their declared slots",
          to_double(values.cold_upstreams));
    s.set("ebonywick_calls_in_flight", "Calls that this host runs at upstreams as their holder",
          to_double(values.calls_in_flight));
    s.set("ebonywick_calls_queued", "Calls that wait in this host's queues for upstreams",
          to_double(values.calls_queued));
    s.set("ebonywick_config_version", "Version of the configuration in force",
          to_double(values.config_version));
    s.set("ebonywick_roster_version", "Version of the roster in force",
          to_double(values.roster_version));
    s.set("ebonywick_configuration_current", "1 if the configuration is confirmed as current",
          values.current ? 1.0 : 0.0);
    s.set("ebonywick_store_calls", "Calls to the object store since the start",
          to_double(values.store_calls));
    s.set("ebonywick_control_sent_bytes", "Bytes of control messages sent",
          to_double(values.control_sent_bytes));
    s.set("ebonywick_control_received_bytes", "Bytes of control messages received",
          to_double(values.control_received_bytes));
    s.set("ebonywick_control_messages", "Control messages sent and received",
          to_double(values.control_messages));
    s.set("ebonywick_control_cpu_microseconds", "Processor time of the control decisions",
          to_double(values.control_cpu_us));
    s.set("ebonywick_log_lines_dropped", "Log lines dropped because the queue was full",
          to_double(values.log_lines_dropped));
    return prometheus::TextSerializer{}.Serialize(s.registry.Collect());
}

} // namespace ebonywick
