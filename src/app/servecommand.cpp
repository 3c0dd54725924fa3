// Subcommand `ebonywick serve`.
#include "commandsupport.h"
#include "exitcodes.h"

#ifdef EBONYWICK_HAS_NODE
#include "node/runnode.h"
#endif

#include <fmt/format.h>

namespace ebonywick {

int serve_command(const command_arguments& arguments)
{
    const auto path = arguments.option("settings").value_or("");
    const auto text = read_file(path);
    if (const auto* failure = std::get_if<command_failure>(&text))
        return report(*failure);
    const auto read = read_node_settings(std::get<0>(text), path);
    if (const auto* problems = std::get_if<1>(&read))
        return report(command_failure{exit_codes::invalid, "the settings are not valid:\n" +
                                                               format_problems(*problems)});
    if (arguments.has("check-settings")) {
        fmt::print("{}: valid\n", path);
        return exit_codes::ok;
    }
#ifdef EBONYWICK_HAS_NODE
    return run_node(std::get<0>(read));
#else
    return report(command_failure{exit_codes::other, "this binary was built without the node"});
#endif
}

} // namespace ebonywick
