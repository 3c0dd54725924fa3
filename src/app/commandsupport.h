// Shared by the subcommands: reading files, numbers and addresses, and turning
// reports into exit codes.
#pragma once

#include "commandline.h"

#include "operatorclient/operatorsession.h"
#include "settings/yamlreader.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ebonywick {

/// Ends a subcommand with a message and an exit code.
struct command_failure
{
    int code = 0;
    std::string message;
};

template <class T>
using command_result = std::variant<T, command_failure>;

/// Prints the failure to standard error; returns its exit code.
int report(const command_failure& failure);
/// Prints the end of a change; returns the exit code.
int report(const change_report& change);

[[nodiscard]] command_result<std::string> read_file(const std::string& path);
/// Reads and validates the declaration.
[[nodiscard]] command_result<configuration> load_declaration(const std::string& path);
/// All problems, one a line.
[[nodiscard]] std::string lines_of(const std::vector<setting_problem>& problems);
/// Value of a numeric option, or `fallback` without the option.
[[nodiscard]] command_result<std::uint64_t> number_option(const command_arguments& arguments,
                                                          std::string_view name,
                                                          std::uint64_t fallback,
                                                          std::uint64_t least, std::uint64_t most);

/// The store client and the session that a subcommand works with.
struct operator_connection
{
    operator_connection(const endpoint& address, duration host_timeout);

    object_store_client store;
    operator_session session;
};

/// From --store and --host-timeout-ms.
[[nodiscard]] command_result<std::unique_ptr<operator_connection>>
connect(const command_arguments& arguments);

} // namespace ebonywick
