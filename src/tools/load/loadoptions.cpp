// Parses the options and the values of `--stream`.
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

constexpr std::uint32_t max_threads = 1000;

double parse_number(std::string_view name, std::string_view text)
{
    double number = 0;
    const char* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, number);
    if (ec != std::errc{} || end != last || number < 0)
        throw std::runtime_error{fmt::format("{}: '{}' is not a non-negative number", name, text)};
    return number;
}

duration parse_duration(std::string_view name, std::string_view text)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{parse_number(name, text)});
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

/// Sets one option of a stream. `name` is that of the long option.
void set_stream_option(stream_options& stream, std::string_view name, const std::string& value)
{
    const auto count = [&] {
        return static_cast<std::uint32_t>(parse_number(name, value));
    };
    if (name == "name")
        stream.name = value;
    else if (name == "rate")
        stream.rate = parse_number(name, value);
    else if (name == "connections")
        stream.connections = count();
    else if (name == "class")
        stream.request_class = value;
    else if (name == "service")
        stream.services = split(value, '+');
    else if (name == "caller")
        stream.callers = split(value, '+');
    else if (name == "deadline-ms")
        stream.deadline = parse_duration(name, value);
    else if (name == "orders")
        stream.orders = parse_number(name, value) != 0;
    else if (name == "keys")
        stream.keys = static_cast<std::uint64_t>(parse_number(name, value));
    else if (name == "repeats")
        stream.repeats = count();
    else if (name == "repeat-pause-ms")
        stream.repeat_pause = parse_duration(name, value);
    else if (name == "start-ms")
        stream.start = parse_duration(name, value);
    else if (name == "warmup-ms")
        stream.warmup = parse_duration(name, value);
    else if (name == "duration-ms")
        stream.measured_time = parse_duration(name, value);
    else
        throw std::runtime_error{fmt::format("--stream: unknown name '{}'", name)};
}

stream_options parse_stream(const stream_options& defaults, const std::string& text)
{
    stream_options stream = defaults;
    for (const std::string& it : split(text, ',')) {
        const auto equals = it.find('=');
        if (equals == std::string::npos)
            throw std::runtime_error{fmt::format("--stream: '{}' is not NAME=VALUE", it)};
        set_stream_option(stream, it.substr(0, equals), it.substr(equals + 1));
    }
    return stream;
}

void validate(const load_options& options)
{
    if (options.hosts.empty())
        throw std::runtime_error{"at least one --host IP:PORT is required"};
    for (const std::string& it : options.hosts) {
        if (!parse_endpoint(it))
            throw std::runtime_error{fmt::format("--host: '{}' is not IP:PORT", it)};
    }
    std::uint32_t threads = 0;
    for (const stream_options& it : options.streams) {
        if (it.services.empty())
            throw std::runtime_error{
                fmt::format("stream '{}' has no service; use --service NAME", it.name)};
        if (it.connections == 0)
            throw std::runtime_error{
                fmt::format("stream '{}' needs at least one connection", it.name)};
        threads += it.connections;
    }
    if (threads > max_threads)
        throw std::runtime_error{
            fmt::format("the streams use more than {} connections in total", max_threads)};
}

/// Names and help texts of the options that apply to all streams.
const char* const stream_option_table[][2] = {
    {"rate", "arrivals per second; 0 (default): closed loop"},
    {"connections", "concurrent requests (default 64)"},
    {"class", "value of X-Class: interactive or batch"},
    {"deadline-ms", "value of X-Deadline-Ms"},
    {"keys", "number of distinct order keys; 0: one for each order"},
    {"repeats", "times to repeat an order with unknown outcome (default 3)"},
    {"repeat-pause-ms", "pause before a repeat (default 100)"},
    {"start-ms", "time from program start to the stream's first request"},
    {"warmup-ms", "warm-up at the stream's start, not counted"},
    {"duration-ms", "measured time after the warm-up (default 10000)"},
};

} // namespace

load_options parse_options(int argc, const char** argv)
{
    enum code { host = 1, service, caller, stream, record, seed, orders, first_stream_option };
    std::vector<poptOption> table{
        {"host", 0, POPT_ARG_STRING, nullptr, host,
         "entry host to fetch the host list from, repeatable", "IP:PORT"},
        {"service", 0, POPT_ARG_STRING, nullptr, service, "service, repeatable", "NAME"},
        {"caller", 0, POPT_ARG_STRING, nullptr, caller,
         "value of X-Caller, repeatable (default load)", "NAME"},
        {"stream", 0, POPT_ARG_STRING, nullptr, stream,
         "stream with options of its own, repeatable; list items are joined by +",
         "NAME=VALUE,..."},
        {"record", 0, POPT_ARG_STRING, nullptr, record, "write one JSON line per request", "FILE"},
        {"seed", 0, POPT_ARG_STRING, nullptr, seed, "seed of the random arrivals and choices", "N"},
        {"orders", 0, POPT_ARG_NONE, nullptr, orders, "send orders instead of queries", nullptr}};
    int next = first_stream_option;
    for (const auto& [name, help] : stream_option_table)
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
            options.seed = static_cast<std::uint64_t>(parse_number("--seed", value));
        else if (rc == orders)
            defaults.orders = true;
        else
            set_stream_option(defaults, stream_option_table[rc - first_stream_option][0], value);
    }
    if (rc < -1)
        throw std::runtime_error{
            fmt::format("{}: {}", poptBadOption(context.get(), 0), poptStrerror(rc))};
    if (poptPeekArg(context.get()) != nullptr)
        throw std::runtime_error{
            fmt::format("unexpected argument '{}'", poptPeekArg(context.get()))};
    if (defaults.callers.empty())
        defaults.callers.emplace_back("load");
    for (const std::string& it : streams)
        options.streams.push_back(parse_stream(defaults, it));
    if (streams.empty())
        options.streams.push_back(defaults);
    validate(options);
    return options;
}

} // namespace ebonywick::load
