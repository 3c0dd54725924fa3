// Parses subcommands and options with popt.
#include "commandline.h"

#include "exitcodes.h"

#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <cstdlib>
#include <memory>

namespace ebonywick {

namespace {

std::string command_help(const command& entry)
{
    std::string out = fmt::format("Usage: ebonywick {}{}{} [OPTION...]\n\n{}.\n\n", entry.name,
                                  entry.argument.empty() ? "" : " ", entry.argument, entry.help);
    for (const auto& option : entry.options)
        out += fmt::format("  --{:<28}{}{}\n",
                           option.value.empty() ? std::string{option.name}
                                                : fmt::format("{}={}", option.name, option.value),
                           option.help, option.required ? " (required)" : "");
    return out + "  --help                        print this text\n";
}

// Prints the message to standard error; returns the exit code.
int usage_error(const std::string& message)
{
    fmt::print(stderr, "ebonywick: {}; see `ebonywick --help`\n", message);
    return exit_codes::usage;
}

// Options of a subcommand for popt. The value of an option is its index in `entry.options` plus
// 1; --help has the value after the last one. The table refers to `names`.
std::vector<poptOption> popt_table(const command& entry, const std::vector<std::string>& names)
{
    std::vector<poptOption> out;
    for (std::size_t it = 0; it < entry.options.size(); ++it)
        out.push_back({names[it].c_str(), '\0',
                       entry.options[it].value.empty() ? POPT_ARG_NONE : POPT_ARG_STRING, nullptr,
                       static_cast<int>(it) + 1, nullptr, nullptr});
    out.push_back(
        {"help", 'h', POPT_ARG_NONE, nullptr, static_cast<int>(out.size()) + 1, nullptr, nullptr});
    out.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
    return out;
}

// Parses the words after the name of the subcommand and runs it.
int run_command(const command& entry, const std::vector<std::string>& words)
{
    std::vector<std::string> names;
    for (const auto& option : entry.options)
        names.emplace_back(option.name);
    const auto table = popt_table(entry, names);
    std::vector<const char*> argv{"ebonywick"};
    for (const auto& word : words)
        argv.push_back(word.c_str());
    argv.push_back(nullptr);
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context{
        poptGetContext("ebonywick", static_cast<int>(argv.size()) - 1, argv.data(), table.data(),
                       0),
        poptFreeContext};

    command_arguments arguments;
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0) {
        const auto index = static_cast<std::size_t>(code) - 1;
        if (index == entry.options.size()) {
            fmt::print("{}", command_help(entry));
            return exit_codes::ok;
        }
        const std::unique_ptr<char, void (*)(void*)> value{poptGetOptArg(context.get()), std::free};
        arguments.set(names[index], value ? value.get() : "");
    }
    if (code < -1)
        return usage_error(
            fmt::format("{}: {}", poptBadOption(context.get(), 0), poptStrerror(code)));
    while (const char* word = poptGetArg(context.get()))
        arguments.add(word);
    for (const auto& option : entry.options) {
        if (option.required && !arguments.has(option.name))
            return usage_error(fmt::format("{}: --{} is missing", entry.name, option.name));
    }
    const std::size_t expected = entry.argument.empty() ? 0 : 1;
    if (arguments.positional().size() != expected)
        return usage_error(fmt::format("{}: {} expected", entry.name,
                                       expected == 0 ? "no argument" : entry.argument));
    return entry.run(arguments);
}

} // namespace

void command_arguments::set(std::string name, std::string value)
{
    options_.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string> command_arguments::option(std::string_view name) const
{
    const auto it = std::find_if(options_.begin(), options_.end(),
                                 [&](const auto& option) { return option.first == name; });
    return it == options_.end() ? std::nullopt : std::optional{it->second};
}

std::string general_help()
{
    std::string out = "Usage: ebonywick COMMAND [ARGUMENT] [OPTION...]\n\nCommands:\n";
    for (const auto& entry : commands())
        out += fmt::format("  {:<32}{}\n", fmt::format("{} {}", entry.name, entry.argument),
                           entry.help);
    return out + "\n`ebonywick COMMAND --help` describes a command.\n\n"
                 "Exit codes: 0 ok, 1 usage, 2 invalid settings or declaration, 3 aborted by a\n"
                 "second signal, 4 conflict, 5 store unavailable, 6 timeout, 7 other.\n";
}

int run_command_line(const std::vector<std::string>& words)
{
    if (words.empty())
        return usage_error("a command is missing");
    if (words.front() == "--help" || words.front() == "-h" || words.front() == "help") {
        fmt::print("{}", general_help());
        return exit_codes::ok;
    }
    if (words.front() == "--version") {
        fmt::print("ebonywick {}\n", EBONYWICK_VERSION);
        return exit_codes::ok;
    }
    for (const auto& entry : commands()) {
        if (entry.name == words.front())
            return run_command(entry, {words.begin() + 1, words.end()});
    }
    return usage_error(fmt::format("unknown command `{}`", words.front()));
}

} // namespace ebonywick
