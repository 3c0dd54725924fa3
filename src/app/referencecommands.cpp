// Subcommands `ebonywick reference` and `completion`.
#include "commandline.h"
#include "exitcodes.h"

#include "settings/reference.h"

#include <fmt/format.h>

namespace ebonywick {

int reference_command(const command_arguments& arguments)
{
    const auto& page = arguments.positional().front();
    if (page == "settings") {
        fmt::print("{}", settings_reference());
    } else if (page == "gateway") {
        fmt::print("{}", gateway_reference());
    } else if (page == "declaration") {
        fmt::print("{}", declaration_reference());
    } else {
        fmt::print(stderr,
                   "ebonywick: reference: `settings`, `gateway` or `declaration` expected\n");
        return exit_codes::usage;
    }
    return exit_codes::ok;
}

int completion_command(const command_arguments& arguments)
{
    if (arguments.positional().front() != "bash") {
        fmt::print(stderr, "ebonywick: completion: only `bash` is supported\n");
        return exit_codes::usage;
    }
    std::string names;
    std::string cases;
    for (const auto& entry : commands()) {
        names += fmt::format("{} ", entry.name);
        std::string options = "--help";
        for (const auto& option : entry.options)
            options += fmt::format(" --{}", option.name);
        if (entry.argument.find('|') != std::string_view::npos)
            options += " settings gateway declaration";
        cases += fmt::format("        {}) words=\"{}\" ;;\n", entry.name, options);
    }
    fmt::print("# Bash completion of ebonywick; made by `ebonywick completion bash`.\n"
               "_ebonywick() {{\n"
               "    local words=\"{}--help --version\"\n"
               "    [ \"$COMP_CWORD\" -gt 1 ] && case \"${{COMP_WORDS[1]}}\" in\n{}    esac\n"
               "    COMPREPLY=($(compgen -W \"$words\" -- \"${{COMP_WORDS[COMP_CWORD]}}\"))\n"
               "}}\ncomplete -o default -F _ebonywick ebonywick\n",
               names, cases);
    return exit_codes::ok;
}

} // namespace ebonywick
