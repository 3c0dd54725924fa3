// Subcommand `ebonywick gateway`.
#include "commandsupport.h"
#include "exitcodes.h"

#include "gateway/rungateway.h"
#include "settings/yamlreader.h"

#include <fmt/format.h>

#include <csignal>

namespace ebonywick {

int gateway_command(const command_arguments& arguments)
{
    // SIGHUP, the request to reload the settings, must not end the process before the event loop
    // handles it. Ignoring it loses no reload, since the settings are only read below.
    std::signal(SIGHUP, SIG_IGN);
    const auto path = arguments.option("settings").value_or("");
    const auto text = read_file(path);
    if (const auto* failure = std::get_if<command_failure>(&text))
        return report(*failure);
    const auto read = read_gateway_settings(std::get<0>(text), path);
    if (const auto* problems = std::get_if<1>(&read))
        return report(command_failure{exit_codes::invalid, "the settings are not valid:\n" +
                                                               format_problems(*problems)});
    if (arguments.has("check-settings")) {
        fmt::print("{}: valid\n", path);
        return exit_codes::ok;
    }
    return run_gateway(std::get<0>(read), path);
}

} // namespace ebonywick
