// The tables of settings.
#include "settings/settingtable.h"

#include <fmt/format.h>

namespace ebonywick {

namespace {

using enum setting_type;

constexpr setting_descriptor node_table[] = {
    {.key = "host", .type = name, .required = true, .help = "Id of this host in the roster."},
    {.key = "failure_domain",
     .type = name,
     .required = true,
     .help = "Failure domain that this host is in."},
    {.key = "http",
     .type = address,
     .required = true,
     .help = "Address for callers, operators and metrics."},
    {.key = "control",
     .type = address,
     .required = true,
     .help = "Address for heartbeats, leases and configuration between hosts."},
    {.key = "dispatch",
     .type = address,
     .required = true,
     .help = "Address for calls between hosts."},
    {.key = "store",
     .type = address,
     .required = true,
     .help = "Address of the platform's object store."},
    {.key = "seeds",
     .type = address_list,
     .default_value = "[]",
     .help = "Control addresses of hosts to ask for the configuration while the store is down."},
    {.key = "caller_connections",
     .type = integer,
     .default_value = "256",
     .unit = "connections",
     .min = 1,
     .max = 4096,
     .help = "Maximum number of concurrent caller connections; each uses one thread."},
    {.key = "worker_threads",
     .type = integer,
     .default_value = "2",
     .unit = "threads",
     .min = 1,
     .max = 64,
     .help = "Threads that coordinate queries."},
    {.key = "log_level",
     .type = choice,
     .default_value = "info",
     .choices = "debug|info|warning|error",
     .help = "Lowest severity of the records that are logged."},
};

constexpr setting_descriptor gateway_table[] = {
    {.key = "host", .type = name, .required = true, .help = "Id of this host; unique."},
    {.key = "failure_domain",
     .type = name,
     .required = true,
     .help = "Failure domain that this host is in."},
    {.key = "callers", .type = address, .required = true, .help = "Address for callers' requests."},
    {.key = "readiness",
     .type = address,
     .required = true,
     .help = "Address for the platform's readiness check."},
    {.key = "directory",
     .type = address,
     .required = true,
     .help = "Address at which callers ask for the entry hosts to use."},
    {.key = "heartbeats",
     .type = address,
     .required = true,
     .help = "UDP address for heartbeats between entry hosts."},
    {.key = "control",
     .type = address,
     .required = true,
     .help = "Address at which other entry hosts read this host's state."},
    {.key = "metrics",
     .type = address,
     .required = true,
     .help = "Address for metrics, path /metrics."},
    {.key = "store",
     .type = address,
     .required = true,
     .help = "Address of the platform's object store."},
    {.key = "seeds",
     .type = address_list,
     .default_value = "[]",
     .help = "Control addresses of entry hosts to ask for state while the store is down."},
    {.key = "processor_share",
     .type = number,
     .default_value = "1",
     .unit = "cores",
     .min = 0.01,
     .max = 1024,
     .help = "Processor cores that are available to this host."},
    {.key = "memory_mb",
     .type = integer,
     .default_value = "1024",
     .unit = "MB",
     .min = 32,
     .max = 1048576,
     .help = "Memory that is available to this process."},
    {.key = "held_bytes_ratio",
     .type = number,
     .default_value = "0.35",
     .unit = "fraction of memory_mb",
     .min = 0.05,
     .max = 0.9,
     .help = "Memory for the requests, answers and replies that this host holds; beyond it callers "
             "that make no progress are cut off."},
    {.key = "max_descriptors",
     .type = integer,
     .default_value = "65536",
     .unit = "descriptors",
     .min = 64,
     .max = 1048576,
     .help = "Descriptors that are available to this process; the system's limit applies if it is "
             "lower."},
    {.key = "caller_descriptor_ratio",
     .type = number,
     .default_value = "0.6",
     .unit = "fraction of max_descriptors",
     .min = 0.05,
     .max = 0.9,
     .help = "Descriptors for accepted connections; beyond it connections without a request are "
             "closed. The rest is for upstreams, the store and other hosts."},
    {.key = "grace_s",
     .type = number,
     .default_value = "6",
     .unit = "s",
     .min = 0.5,
     .max = 3600,
     .help = "Time between SIGTERM and SIGKILL."},
    {.key = "extra_call_ratio",
     .type = number,
     .default_value = "0.2",
     .unit = "calls per request",
     .min = 0,
     .max = 10,
     .help = "Hedges and retries that all hosts together may send to a service per request."},
    {.key = "extra_call_window_s",
     .type = number,
     .default_value = "10",
     .unit = "s",
     .min = 0.1,
     .max = 3600,
     .help = "Sliding window in which extra calls are counted."},
    {.key = "extra_call_slack",
     .type = number,
     .default_value = "100",
     .unit = "calls",
     .min = 0,
     .max = 1000000,
     .help = "Extra calls that all hosts may send in each window in addition to the ratio."},
    {.key = "stale_keys",
     .type = choice,
     .default_value = "accept",
     .choices = "accept|refuse",
     .help = "What becomes of requests with a customer's key while this host may lack a newer "
             "configuration."},
    {.key = "key_max_age_ms",
     .type = number,
     .default_value = "5000",
     .unit = "ms",
     .min = 100,
     .max = 3600000,
     .help = "With `stale_keys: refuse`, time since the configuration was last confirmed after "
             "which keys are refused."},
    {.key = "quota_window_s",
     .type = number,
     .default_value = "5",
     .unit = "s",
     .min = 0.1,
     .max = 3600,
     .help = "Sliding window in which the requests of a customer with a quota are counted."},
    {.key = "quota_overage",
     .type = number,
     .default_value = "0.1",
     .unit = "",
     .min = 0,
     .max = 10,
     .help = "Part of a quota by which all hosts together may exceed it."},
    {.key = "quota_slack",
     .type = number,
     .default_value = "20",
     .unit = "requests",
     .min = 0,
     .max = 1000000,
     .help = "Requests of a customer that all hosts together may run in each window in addition."},
    {.key = "exposure_share",
     .type = number,
     .default_value = "0",
     .unit = "calls per request",
     .min = 0,
     .max = 1,
     .help = "Part of a service's requests that an unproven version may get in a roll-out. 0: "
             "roll-outs are not served."},
    {.key = "exposure_slack",
     .type = number,
     .default_value = "50",
     .unit = "calls",
     .min = 0,
     .max = 1000000,
     .help = "Calls that an unproven version may get from all hosts in addition to the share."},
    {.key = "rollback_ms",
     .type = number,
     .default_value = "5000",
     .unit = "ms",
     .min = 1000,
     .max = 3600000,
     .help = "Time within which a bad version has to be out of use at all hosts; hosts exchange "
             "their counts 20 times in it."},
    {.key = "log_level",
     .type = choice,
     .default_value = "info",
     .choices = "debug|info|warning|error",
     .help = "Lowest severity of the records that are logged."},
};

constexpr setting_descriptor declaration_table[] = {
    {.key = "services", .type = list, .required = true, .help = "The services, see `service`."},
    {.key = "presets",
     .type = list,
     .required = true,
     .help = "Mapping from the name of a preset to its policy values, see `preset`."},
    {.key = "preset_in_force",
     .type = name,
     .required = true,
     .help = "Name of the preset whose policy values apply."},

    {.section = "service",
     .key = "name",
     .type = name,
     .required = true,
     .help = "Unique name, as used in the path /v1/services/NAME."},
    {.section = "service",
     .key = "class",
     .type = choice,
     .default_value = "interactive",
     .choices = "interactive|batch",
     .help = "Class of requests without the header X-Class."},
    {.section = "service",
     .key = "yields_first",
     .type = choice,
     .default_value = "latency",
     .choices = "latency|coverage",
     .help = "What a query gives up first: with `coverage` it ends at the preset's deadline if at "
             "least least_coverage is reached, with `latency` it waits for full coverage until "
             "the caller's deadline."},
    {.section = "service",
     .key = "least_coverage",
     .type = number,
     .default_value = "1",
     .unit = "fraction of the shards",
     .min = 0,
     .max = 1,
     .help = "Coverage below which a request ends as `unknown` without hits."},
    {.section = "service",
     .key = "shard_maps",
     .type = list,
     .required = true,
     .help = "Shard maps by ascending epoch, see `shard_map`; more than one during a "
             "repartition."},

    {.section = "shard_map",
     .key = "epoch",
     .type = integer,
     .default_value = "1",
     .min = 1,
     // Above 2^53 a JSON reader that uses doubles would round the value.
     .max = 9007199254740992.0,
     .help = "Number of the shard map; increases with each repartition."},
    {.section = "shard_map",
     .key = "shards",
     .type = list,
     .required = true,
     .help = "Shards that a query must cover, see `shard`; at least one."},

    {.section = "shard",
     .key = "name",
     .type = name,
     .required = true,
     .help = "Name of the shard; unique in its shard map."},
    {.section = "shard",
     .key = "replicas",
     .type = list,
     .required = true,
     .help = "Searchers that serve the shard, see `replica`; at least one."},

    {.section = "replica",
     .key = "id",
     .type = name,
     .required = true,
     .help = "Id of the upstream; unique. Shard maps of one service may share an upstream if they "
             "declare it identically."},
    {.section = "replica",
     .key = "address",
     .type = address,
     .required = true,
     .help = "HTTP address of the upstream; unique."},
    {.section = "replica",
     .key = "failure_domain",
     .type = name,
     .required = true,
     .help = "Failure domain that the upstream is in."},
    {.section = "replica",
     .key = "slots",
     .type = integer,
     .default_value = "1",
     .unit = "calls",
     .min = 1,
     .max = 1024,
     .help = "Calls that the upstream runs concurrently when warm."},
    {.section = "replica",
     .key = "connections",
     .type = integer,
     .default_value = "64",
     .unit = "connections",
     .min = 4,
     .max = 65535,
     .help = "Total number of connections that the upstream accepts; at least slots + 3."},
    {.section = "replica",
     .key = "cold_concurrency",
     .type = integer,
     .default_value = "1",
     .unit = "calls",
     .min = 1,
     .max = 1024,
     .help = "Concurrent calls that the upstream can run during its cold start; at most slots."},

    {.section = "preset",
     .key = "deadline_ms",
     .type = number,
     .default_value = "1000",
     .unit = "ms",
     .min = 1,
     .max = 600000,
     .help = "Target latency of a query; callers' deadlines default to twice this value."},
    {.section = "preset",
     .key = "hedge_budget",
     .type = number,
     .default_value = "0.025",
     .unit = "hedges and retries per first attempt",
     .min = 0,
     .max = 1,
     .help = "Extra calls that hedging and retrying may send."},
    {.section = "preset",
     .key = "interactive_limit",
     .type = integer,
     .default_value = "256",
     .unit = "queries",
     .min = 1,
     .max = 100000,
     .help = "Maximum number of interactive queries that one entry host runs concurrently."},
    {.section = "preset",
     .key = "batch_limit",
     .type = integer,
     .default_value = "64",
     .unit = "queries",
     .min = 1,
     .max = 100000,
     .help = "Maximum number of batch queries that one entry host runs concurrently; the "
             "adaptive limit does not exceed it."},
    {.section = "preset",
     .key = "batch_queue",
     .type = integer,
     .default_value = "1024",
     .unit = "requests",
     .min = 0,
     .max = 1000000,
     .help = "Maximum number of batch requests that wait at one entry host."},
    {.section = "preset",
     .key = "target_queue_wait_ms",
     .type = number,
     .default_value = "1",
     .unit = "ms",
     .min = 0.001,
     .max = 10000,
     .help = "Wait in the queues of upstreams above which the adaptive batch limit decreases."},
    {.section = "preset",
     .key = "domains_out",
     .type = name_list,
     .default_value = "[]",
     .help = "Failure domains that receive no new calls while the preset is in force; each must "
             "be the failure domain of a declared upstream."},
};

} // namespace

std::span<const setting_descriptor> node_setting_table()
{
    return node_table;
}

std::span<const setting_descriptor> gateway_setting_table()
{
    return gateway_table;
}

std::span<const setting_descriptor> declaration_setting_table()
{
    return declaration_table;
}

std::string_view to_string(setting_type type)
{
    switch (type) {
    case name:
        return "name";
    case address:
        return "address";
    case address_list:
        return "list of addresses";
    case name_list:
        return "list of names";
    case integer:
        return "integer";
    case number:
        return "number";
    case choice:
        return "choice";
    case list:
        return "section";
    }
    return "";
}

std::string accepted_values_text(const setting_descriptor& setting)
{
    switch (setting.type) {
    case name:
        return "1 to 64 of A-Z a-z 0-9 . _ -, first a letter or digit";
    case address:
        return "IPv4:PORT except 0.0.0.0";
    case address_list:
        return "[IPv4:PORT, ...]";
    case name_list:
        return "[NAME, ...]";
    case integer:
        return fmt::format("{} to {}", static_cast<std::uint64_t>(setting.min),
                           static_cast<std::uint64_t>(setting.max));
    case number:
        return fmt::format("{} to {}", setting.min, setting.max);
    case choice: {
        std::string words{setting.choices};
        for (auto at = words.find('|'); at != std::string::npos; at = words.find('|', at))
            words.replace(at, 1, ", ");
        return words;
    }
    case list:
        return "at least one entry";
    }
    return "";
}

} // namespace ebonywick
