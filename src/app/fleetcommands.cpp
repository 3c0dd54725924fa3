// Subcommands `ebonywick status`, `wait` and `witnesses`.
#include "commandsupport.h"
#include "exitcodes.h"

#include <fmt/format.h>

#include <limits>
#include <thread>

namespace ebonywick {

namespace {

// Short compared to the 3 s within which a change takes effect.
constexpr duration poll_interval = std::chrono::milliseconds{50};

// The hosts given by --hosts, or all hosts of the roster. Hosts given by --hosts have their
// address as id and no other addresses.
command_result<std::vector<roster_host>> requested_hosts(const command_arguments& arguments)
{
    std::vector<roster_host> out;
    if (const auto list = arguments.option("hosts")) {
        for (std::size_t begin = 0; begin <= list->size();) {
            const auto end = std::min(list->find(',', begin), list->size());
            const auto text = list->substr(begin, end - begin);
            const auto address = parse_endpoint(text);
            if (!address)
                return command_failure{exit_codes::usage, "--hosts must be IP:PORT,..."};
            out.push_back({.id = host_id{text},
                           .domain = {},
                           .http = *address,
                           .control = {},
                           .dispatch = {}});
            begin = end + 1;
        }
        return out;
    }
    if (!arguments.has("store"))
        return command_failure{exit_codes::usage, "--store or --hosts is required"};
    auto connection = connect(arguments);
    if (const auto* failure = std::get_if<command_failure>(&connection))
        return *failure;
    auto hosts = std::get<0>(connection)->session.read_roster();
    if (const auto* failure = std::get_if<error>(&hosts))
        return command_failure{
            exit_codes::store_unavailable,
            fmt::format("{}; hosts can be given with --hosts instead", failure->message)};
    return std::get<0>(hosts).object.hosts.hosts;
}

} // namespace

int status_command(const command_arguments& arguments)
{
    const auto timeout = number_option(arguments, "host-timeout-ms", 1000, 1, 60000);
    if (const auto* failure = std::get_if<command_failure>(&timeout))
        return report(*failure);
    const auto hosts = requested_hosts(arguments);
    if (const auto* failure = std::get_if<command_failure>(&hosts))
        return report(*failure);
    fmt::print("{}", status_table(poll_hosts(std::get<0>(hosts),
                                             std::chrono::milliseconds{std::get<0>(timeout)})));
    return exit_codes::ok;
}

int wait_command(const command_arguments& arguments)
{
    constexpr auto max = std::numeric_limits<object_version>::max();
    const auto version = number_option(arguments, "version", 0, 1, max);
    const auto wait_time = number_option(arguments, "timeout-ms", 10000, 0, 3600000);
    const auto timeout = number_option(arguments, "host-timeout-ms", 1000, 1, 60000);
    for (const auto* number : {&version, &wait_time, &timeout}) {
        if (const auto* failure = std::get_if<command_failure>(number))
            return report(*failure);
    }
    const auto hosts = requested_hosts(arguments);
    if (const auto* failure = std::get_if<command_failure>(&hosts))
        return report(*failure);
    const auto deadline = boot_clock::now() + std::chrono::milliseconds{std::get<0>(wait_time)};
    for (;;) {
        const auto polled =
            poll_hosts(std::get<0>(hosts), std::chrono::milliseconds{std::get<0>(timeout)});
        if (all_have_version(polled, std::get<0>(version))) {
            for (const auto& host : polled) {
                if (!host.report)
                    fmt::print("host `{}` does not answer and was ignored\n", host.id.value());
            }
            return exit_codes::ok;
        }
        if (boot_clock::now() >= deadline) {
            fmt::print("{}", status_table(polled));
            return report(
                command_failure{exit_codes::timeout,
                                fmt::format("not all hosts have version {}; check the hosts above",
                                            std::get<0>(version))});
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

int witnesses_command(const command_arguments& arguments)
{
    const auto connection = connect(arguments);
    if (const auto* failure = std::get_if<command_failure>(&connection))
        return report(*failure);
    auto& session = std::get<0>(connection)->session;
    if (arguments.has("replace")) {
        fmt::print(stderr,
                   "WARNING: this appoints new witnesses without the consent of the former ones.\n"
                   "Use it only if a majority of the former witnesses is lost for good. Former\n"
                   "witnesses that still run apart from the new ones can confirm an older\n"
                   "configuration there: stop them first.\n");
        return report(session.replace_witnesses());
    }
    const auto hosts = session.read_roster();
    if (const auto* failure = std::get_if<error>(&hosts))
        return report(command_failure{exit_codes::store_unavailable, failure->message});
    for (const auto& witness : std::get<0>(hosts).object.hosts.witnesses)
        fmt::print("{}\n", witness.value());
    return exit_codes::ok;
}

} // namespace ebonywick
