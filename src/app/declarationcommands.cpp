// Subcommands `ebonywick validate`, `show`, `diff`, `apply` and `preset`.
#include "commandsupport.h"
#include "exitcodes.h"

#include "control/configdiff.h"
#include "settings/capacitywarnings.h"

#include <fmt/format.h>

#include <limits>

namespace ebonywick {

namespace {

// Prints a failed read of the store; returns the exit code.
int report_read_failure(const error& failure)
{
    const int code = failure.kind == error_kind::store_unavailable ? exit_codes::store_unavailable
                                                                   : exit_codes::invalid;
    return report(command_failure{
        code, fmt::format("{}: {}; {}", to_string(failure.kind), failure.message, failure.remedy)});
}

} // namespace

int validate_command(const command_arguments& arguments)
{
    const auto& path = arguments.positional().front();
    const auto config = load_declaration(path);
    if (const auto* failure = std::get_if<command_failure>(&config))
        return report(*failure);
    for (const auto& warning : capacity_warnings({}, std::get<0>(config)))
        fmt::print("warning: {}\n", to_string(warning));
    fmt::print("{}: valid\n", path);
    return exit_codes::ok;
}

int show_command(const command_arguments& arguments)
{
    const auto connection = connect(arguments);
    if (const auto* failure = std::get_if<command_failure>(&connection))
        return report(*failure);
    const auto current = std::get<0>(connection)->session.read_config();
    if (const auto* failure = std::get_if<error>(&current))
        return report_read_failure(*failure);
    const auto& found = std::get<0>(current);
    if (found.version == 0)
        return report(command_failure{exit_codes::other, "no declaration has been applied yet; use "
                                                         "`ebonywick apply`"});
    fmt::print("# version {0}; apply changes with --base {0}\n{1}", found.version,
               write_declaration(found.object.config));
    return exit_codes::ok;
}

int diff_command(const command_arguments& arguments)
{
    const auto config = load_declaration(arguments.positional().front());
    if (const auto* failure = std::get_if<command_failure>(&config))
        return report(*failure);
    const auto connection = connect(arguments);
    if (const auto* failure = std::get_if<command_failure>(&connection))
        return report(*failure);
    const auto current = std::get<0>(connection)->session.read_config();
    if (const auto* failure = std::get_if<error>(&current))
        return report_read_failure(*failure);
    const auto& found = std::get<0>(current);
    for (const auto& difference : differences(found.object.config, std::get<0>(config)))
        fmt::print("{}\n", to_string(difference));
    for (const auto& warning : capacity_warnings(found.object.config, std::get<0>(config)))
        fmt::print("warning: {}\n", to_string(warning));
    fmt::print("stored version {}\n", found.version);
    return exit_codes::ok;
}

int apply_command(const command_arguments& arguments)
{
    const auto config = load_declaration(arguments.positional().front());
    if (const auto* failure = std::get_if<command_failure>(&config))
        return report(*failure);
    constexpr auto max = std::numeric_limits<object_version>::max();
    const auto base = number_option(arguments, "base", 0, 0, max);
    if (const auto* failure = std::get_if<command_failure>(&base))
        return report(*failure);
    const auto connection = connect(arguments);
    if (const auto* failure = std::get_if<command_failure>(&connection))
        return report(*failure);
    return report(std::get<0>(connection)
                      ->session.apply(std::get<0>(config), arguments.has("base")
                                                               ? std::optional{std::get<0>(base)}
                                                               : std::nullopt));
}

int preset_command(const command_arguments& arguments)
{
    const auto connection = connect(arguments);
    if (const auto* failure = std::get_if<command_failure>(&connection))
        return report(*failure);
    return report(std::get<0>(connection)
                      ->session.switch_preset(preset_name{arguments.positional().front()}));
}

} // namespace ebonywick
