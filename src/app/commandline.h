// The subcommands, their options, and the parser of the command line.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ebonywick {

/// An option of a subcommand.
struct command_option
{
    std::string_view name;
    // Placeholder of the value in the help text; empty for a flag.
    std::string_view value;
    std::string_view help;
    bool required = false;
};

/// Parsed options and positional arguments of a subcommand.
class command_arguments
{
public:
    void set(std::string name, std::string value);
    void add(std::string argument) { positional_.push_back(std::move(argument)); }

    /// Value of the option, empty text for a flag; nothing if the option was not given.
    [[nodiscard]] std::optional<std::string> option(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const { return option(name).has_value(); }
    [[nodiscard]] const std::vector<std::string>& positional() const { return positional_; }

private:
    std::vector<std::pair<std::string, std::string>> options_;
    std::vector<std::string> positional_;
};

/// A subcommand.
struct command
{
    std::string_view name;
    // Placeholder of the only positional argument; empty if the subcommand has none.
    std::string_view argument;
    std::string_view help;
    std::vector<command_option> options;
    // Returns the exit code.
    int (*run)(const command_arguments& arguments) = nullptr;
};

/// All subcommands in the order of the help text.
[[nodiscard]] const std::vector<command>& commands();

/// Parses the words after `ebonywick` and runs the subcommand. Returns the exit
/// code.
int run_command_line(const std::vector<std::string>& words);

/// Text of `ebonywick --help`.
[[nodiscard]] std::string general_help();

/// Each runs the subcommand of its name and returns the exit code.
int serve_command(const command_arguments& arguments);
int gateway_command(const command_arguments& arguments);
int validate_command(const command_arguments& arguments);
int show_command(const command_arguments& arguments);
int diff_command(const command_arguments& arguments);
int apply_command(const command_arguments& arguments);
int preset_command(const command_arguments& arguments);
int status_command(const command_arguments& arguments);
int wait_command(const command_arguments& arguments);
int witnesses_command(const command_arguments& arguments);
int reference_command(const command_arguments& arguments);
int completion_command(const command_arguments& arguments);

} // namespace ebonywick
