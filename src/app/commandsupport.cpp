// Functions that the subcommands share.
#include "commandsupport.h"

#include "exitcodes.h"

#include <fmt/format.h>

#include <charconv>
#include <fstream>
#include <iterator>
#include <thread>

namespace ebonywick {

namespace {

// The store normally answers within milliseconds. A longer timeout would only delay the report
// of an outage to the operator.
constexpr duration store_timeout = std::chrono::milliseconds{2000};

} // namespace

int report(const command_failure& failure)
{
    fmt::print(stderr, "ebonywick: {}\n", failure.message);
    return failure.code;
}

int report(const change_report& change)
{
    switch (change.status) {
    case change_status::accepted:
        fmt::print("version {}\n", change.version);
        return exit_codes::ok;
    case change_status::unchanged:
        fmt::print("no difference\nversion {}\n", change.version);
        return exit_codes::ok;
    case change_status::conflict:
        return report(command_failure{exit_codes::conflict, change.message});
    case change_status::invalid:
        return report(command_failure{exit_codes::invalid, change.message});
    case change_status::unavailable:
    case change_status::unknown:
        return report(command_failure{exit_codes::store_unavailable, change.message});
    }
    return exit_codes::other;
}

command_result<std::string> read_file(const std::string& path)
{
    std::ifstream in{path, std::ios::binary};
    std::string out{std::istreambuf_iterator<char>{in}, {}};
    if (!in)
        return command_failure{exit_codes::other,
                               fmt::format("{} cannot be read; check path and permissions", path)};
    return out;
}

std::string format_problems(const std::vector<setting_problem>& problems)
{
    std::string out;
    for (const auto& problem : problems)
        out += (out.empty() ? "" : "\n") + to_string(problem);
    return out;
}

command_result<configuration> load_declaration(const std::string& path)
{
    const auto text = read_file(path);
    if (const auto* failure = std::get_if<command_failure>(&text))
        return *failure;
    auto read = read_declaration(std::get<0>(text), path);
    if (const auto* problems = std::get_if<1>(&read))
        return command_failure{exit_codes::invalid,
                               "the declaration is not valid:\n" + format_problems(*problems)};
    return std::get<0>(std::move(read));
}

command_result<std::uint64_t> number_option(const command_arguments& arguments,
                                            std::string_view name, std::uint64_t default_value,
                                            std::uint64_t min, std::uint64_t max)
{
    const auto text = arguments.option(name);
    if (!text)
        return default_value;
    std::uint64_t out = 0;
    const char* end = text->data() + text->size();
    const auto [last, ec] = std::from_chars(text->data(), end, out);
    if (ec != std::errc{} || last != end || out < min || out > max)
        return command_failure{exit_codes::usage,
                               fmt::format("--{} must be {} to {}", name, min, max)};
    return out;
}

operator_connection::operator_connection(const endpoint& address, duration host_timeout)
    : store(address, store_timeout),
      session(
          store, host_timeout, [](const std::string& line) { fmt::print("{}\n", line); },
          [](duration wait) { std::this_thread::sleep_for(wait); })
{
}

command_result<std::unique_ptr<operator_connection>> connect(const command_arguments& arguments)
{
    const auto address = parse_endpoint(arguments.option("store").value_or(""));
    if (!address)
        return command_failure{exit_codes::usage, "--store must be IP:PORT"};
    const auto timeout = number_option(arguments, "host-timeout-ms", 1000, 1, 60000);
    if (const auto* failure = std::get_if<command_failure>(&timeout))
        return *failure;
    return std::make_unique<operator_connection>(*address,
                                                 std::chrono::milliseconds{std::get<0>(timeout)});
}

} // namespace ebonywick
