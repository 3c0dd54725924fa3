// Options and the `--stream` notation.
#include "loadoptions.h"

#include "settings/declaration.h"

#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <iterator>
#include <memory>
#include <stdexcept>
#include <string_view>

namespace ebonywick::load {

namespace {

constexpr std::uint32_t most_threads = 1000;

double to_number(std::string_view name, std::string_view text)
{
    double number = 0;
    const char* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, number);
    if (ec != std::errc{} || end != last || number < 0)
        throw std::runtime_error{fmt::format("{}: '{}' is no number from 0", name, text)};
    return number;
}

duration to_duration(std::string_view name, std::string_view text)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{to_number(name, text)});
}

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto part = text.substr(0, text.find(separator));
        parts.emplace_back(part);
        text.remove_prefix(std::min(text.size(), part.size() + 1));
    }
    return parts;
}

/// Sets one value; the names are those of the long options.
void set(stream_options& stream, std::string_view name, const std::string& value)
{
    const auto count = [&] {
        return static_cast<std::uint32_t>(to_number(name, value));
    };
    if (name == "name")
        stream.name = value;
    else if (name == "rate")
        stream.rate = to_number(name, value);
    else if (name == "connections")
        stream.connections = count();
    else if (name == "class")
        stream.request_class = value;
    else if (name == "service")
        stream.services = split(value, '+');
    else if (name == "caller")
        stream.callers = split(value, '+');
    else if (name == "deadline-ms")
        stream.deadline = to_duration(name, value);
    else if (name == "orders")
        stream.orders = to_number(name, value) != 0;
    else if (name == "keys")
        stream.keys = static_cast<std::uint64_t>(to_number(name, value));
    else if (name == "repeats")
        stream.repeats = count();
    else if (name == "repeat-pause-ms")
        stream.repeat_pause = to_duration(name, value);
    else if (name == "start-ms")
        stream.start = to_duration(name, value);
    else if (name == "warmup-ms")
        stream.warmup = to_duration(name, value);
    else if (name == "duration-ms")
        stream.length = to_duration(name, value);
    else
        throw std::runtime_error{fmt::format("--stream: unknown value '{}'", name)};
}

stream_options parse_stream(const stream_options& defaults, const std::string& text)
{
    stream_options stream = defaults;
    for (const std::string& it : split(text, ',')) {
        const auto equals = it.find('=');
        if (equals == std::string::npos)
            throw std::runtime_error{fmt::format("--stream: '{}' is not NAME=VALUE", it)};
        set(stream, it.substr(0, equals), it.substr(equals + 1));
    }
    return stream;
}

void check(const load_options& options)
{
    if (options.hosts.empty())
        throw std::runtime_error{"give at least one --host IP:PORT"};
    for (const std::string& it : options.hosts) {
        if (!parse_endpoint(it))
            throw std::runtime_error{fmt::format("--host: '{}' is not IP:PORT", it)};
    }
    std::uint32_t threads = 0;
    for (const stream_options& it : options.streams) {
        if (it.services.empty())
            throw std::runtime_error{fmt::format("stream '{}' has no service", it.name)};
        if (it.connections == 0)
            throw std::runtime_error{fmt::format("stream '{}' has no connection", it.name)};
        threads += it.connections;
    }
    if (threads > most_threads)
        throw std::runtime_error{fmt::format("more than {} connections in all", most_threads)};
}

/// Option values that apply to all streams; each is followed by its help.
const char* const stream_values[][2] = {
    {"rate", "arrivals a second; without it the loop is closed"},
    {"connections", "requests at once (default 64)"},
    {"class", "X-Class: interactive or batch"},
    {"deadline-ms", "X-Deadline-Ms"},
    {"keys", "distinct keys of orders; 0: one for each order"},
    {"repeats", "repeats of an order without a known outcome (default 3)"},
    {"repeat-pause-ms", "pause before a repeat (default 100)"},
    {"start-ms", "start of the stream"},
    {"warmup-ms", "time at the start that is not counted"},
    {"duration-ms", "counted time (default 10000)"},
};

} // namespace

load_options parse_options(int argc, const char** argv)
{
    enum code { host = 1, service, caller, stream, record, seed, orders, first_value };
    std::vector<poptOption> table{
        {"host", 0, POPT_ARG_STRING, nullptr, host, "entry host to ask first, repeatable",
         "IP:PORT"},
        {"service", 0, POPT_ARG_STRING, nullptr, service, "service, repeatable", "NAME"},
        {"caller", 0, POPT_ARG_STRING, nullptr, caller, "X-Caller, repeatable", "NAME"},
        {"stream", 0, POPT_ARG_STRING, nullptr, stream,
         "stream with its own values, repeatable; lists are joined by +", "NAME=VALUE,..."},
        {"record", 0, POPT_ARG_STRING, nullptr, record, "one JSON line for each request", "FILE"},
        {"seed", 0, POPT_ARG_STRING, nullptr, seed, "seed of arrivals and choices", "N"},
        {"orders", 0, POPT_ARG_NONE, nullptr, orders, "send orders instead of queries", nullptr}};
    int next = first_value;
    for (const auto& [name, help] : stream_values)
        table.push_back({name, 0, POPT_ARG_STRING, nullptr, next++, help, "VALUE"});
    const poptOption help_and_end[] = {POPT_AUTOHELP POPT_TABLEEND};
    table.insert(table.end(), std::begin(help_and_end), std::end(help_and_end));

    load_options options;
    stream_options defaults;
    std::vector<std::string> streams;
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context{
        poptGetContext(nullptr, argc, argv, table.data(), 0), &poptFreeContext};
    int rc = 0;
    while ((rc = poptGetNextOpt(context.get())) > 0) {
        const std::unique_ptr<char, decltype(&std::free)> arg{poptGetOptArg(context.get()),
                                                              &std::free};
        const std::string value = arg ? arg.get() : "";
        if (rc == host)
            options.hosts.push_back(value);
        else if (rc == service)
            defaults.services.push_back(value);
        else if (rc == caller)
            defaults.callers.push_back(value);
        else if (rc == stream)
            streams.push_back(value);
        else if (rc == record)
            options.record_path = value;
        else if (rc == seed)
            options.seed = static_cast<std::uint64_t>(to_number("--seed", value));
        else if (rc == orders)
            defaults.orders = true;
        else
            set(defaults, stream_values[rc - first_value][0], value);
    }
    if (rc < -1)
        throw std::runtime_error{
            fmt::format("{}: {}", poptBadOption(context.get(), 0), poptStrerror(rc))};
    if (poptPeekArg(context.get()) != nullptr)
        throw std::runtime_error{fmt::format("unexpected '{}'", poptPeekArg(context.get()))};
    if (defaults.callers.empty())
        defaults.callers.emplace_back("load");
    for (const std::string& it : streams)
        options.streams.push_back(parse_stream(defaults, it));
    if (streams.empty())
        options.streams.push_back(defaults);
    check(options);
    return options;
}

} // namespace ebonywick::load
